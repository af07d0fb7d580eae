"""The replicated rollouts: the newest one of each service, and rejected versions.

Time isn't replicated. Steps carry the time since the order as a member counts it, and
each member goes on counting from there.
"""

import enum
from collections.abc import Callable

import msgspec

from fuchsiacroft.config.bounds import PeriodS, Seconds, SoftwareVersion, Whole
from fuchsiacroft.control.log import StateMachine
from fuchsiacroft.rollouts.messages import Share, Stage
from fuchsiacroft.transport import codec

MAX_REJECTED_VERSIONS = 8
"""Versions of a service that stay excluded after a later order, the newest ones."""

_NEXT_STAGES = {
    Stage.CANARY: (Stage.CANARY, Stage.SHIFTED, Stage.ROLLED_BACK),
    Stage.SHIFTED: (Stage.SHIFTED, Stage.COMPLETED, Stage.ROLLED_BACK),
    Stage.COMPLETED: (Stage.COMPLETED,),
    Stage.ROLLED_BACK: (Stage.ROLLED_BACK,),
}


class Outcome(enum.Enum):
    """What operators are told of a rollout."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@codec.message("rollouts.begin")
class BeginRollout(msgspec.Struct, frozen=True):
    """Begin a rollout unless one of the service runs.

    `replaces` is the ended rollout, 0 if there is none, that the proposer knows to
    have ended too long ago for this order to be its repetition.
    """

    service: str
    to: SoftwareVersion
    duration_s: PeriodS
    share: Share
    replaces: Whole = 0


@codec.message("rollouts.step")
class StepRollout(msgspec.Struct, frozen=True):
    """Record the stage of a rollout, the time since its order, and the reason."""

    rollout: Whole
    stage: Stage
    share: Share
    elapsed_s: Seconds
    ended: bool = False
    reason: str = ""


@codec.message("rollouts.advance")
class AdvanceRollout(msgspec.Struct, frozen=True):
    """Record the time since the order of a rollout; the longest one counts."""

    rollout: Whole
    elapsed_s: Seconds


@codec.message("rollouts.begin_outcome")
class BeginOutcome(msgspec.Struct, frozen=True):
    """The rollout of the service after an order, and whether that order began it.

    An order that isn't `accepted` names another version than the running rollout.
    """

    rollout: Whole
    to: str
    begun: bool
    accepted: bool


class Rollout(msgspec.Struct, frozen=True):
    """A rollout; `number` is the log index of its order.

    `elapsed_s` is the time since the order at the last step. A rollout in the stage
    `COMPLETED` has not ended before no request runs on the old servers.
    """

    service: str
    to: str
    number: int
    duration_s: float
    share: float
    stage: Stage = Stage.CANARY
    elapsed_s: float = 0.0
    ended: bool = False
    reason: str = ""

    @property
    def outcome(self) -> Outcome:
        """Return whether the rollout runs, or how it ended."""
        if not self.ended:
            return Outcome.RUNNING
        is_completed = self.stage is Stage.COMPLETED
        return Outcome.COMPLETED if is_completed else Outcome.ROLLED_BACK


class _Snapshot(msgspec.Struct, frozen=True):
    newest: list[Rollout]
    rejected: list[Rollout]


class RolloutState(StateMachine):
    """The newest rollout of each service, and earlier ones that were rolled back."""

    commands = (BeginRollout, StepRollout, AdvanceRollout)

    def __init__(self) -> None:
        self._newest: dict[str, Rollout] = {}
        self._rejected: list[Rollout] = []
        self._listeners: list[Callable[[Rollout], None]] = []
        self._restore_listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[Rollout], None]) -> None:
        """Register a callback that is called with each rollout that changed."""
        self._listeners.append(listener)

    def on_restore(self, listener: Callable[[], None]) -> None:
        """Register a callback that is called when the whole state is replaced."""
        self._restore_listeners.append(listener)

    def apply(self, index: int, command: msgspec.Struct) -> msgspec.Struct | None:
        """Apply one command."""
        match command:
            case BeginRollout():
                return self._begin(index, command)
            case StepRollout():
                self._step(command)
            case AdvanceRollout():
                self._advance(command)
        return None

    def get(self, service: str) -> Rollout | None:
        """Return the newest rollout of a service, or None."""
        return self._newest.get(service)

    def newest(self) -> tuple[Rollout, ...]:
        """Return the newest rollout of each service, by name."""
        return tuple(self._newest[name] for name in sorted(self._newest))

    def running(self) -> tuple[Rollout, ...]:
        """Return the rollouts that have not ended."""
        return tuple(one for one in self._newest.values() if not one.ended)

    def all(self) -> tuple[Rollout, ...]:
        """Return the rejected and the newest rollouts in the order of their orders."""
        every = (*self._rejected, *self._newest.values())
        return tuple(sorted(every, key=lambda rollout: rollout.number))

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return msgspec.msgpack.encode(
            _Snapshot(list(self._newest.values()), self._rejected)
        )

    def restore(self, data: bytes) -> None:
        """Restore the whole state from a snapshot."""
        saved = msgspec.msgpack.decode(data, type=_Snapshot)
        self._newest = {rollout.service: rollout for rollout in saved.newest}
        self._rejected = saved.rejected
        for listener in self._restore_listeners:
            listener()
        for rollout in saved.newest:
            self._notify(rollout)

    def _begin(self, index: int, order: BeginRollout) -> BeginOutcome:
        known = self._newest.get(order.service)
        if known is not None and not known.ended:
            return BeginOutcome(known.number, known.to, False, known.to == order.to)
        if known is not None:
            if known.to == order.to and known.number != order.replaces:
                return BeginOutcome(known.number, known.to, False, True)
            self._reject(known)
        self._rejected = [
            one
            for one in self._rejected
            if (one.service, one.to) != (order.service, order.to)
        ]
        self._replace(
            Rollout(order.service, order.to, index, order.duration_s, order.share)
        )
        return BeginOutcome(index, order.to, True, True)

    def _step(self, step: StepRollout) -> None:
        known = self._running(step.rollout)
        if known is None or step.stage not in _NEXT_STAGES[known.stage]:
            return
        self._replace(
            msgspec.structs.replace(
                known,
                stage=step.stage,
                share=step.share,
                elapsed_s=max(known.elapsed_s, step.elapsed_s),
                ended=step.ended,
                reason=step.reason,
            )
        )

    def _advance(self, command: AdvanceRollout) -> None:
        known = self._running(command.rollout)
        if known is not None and command.elapsed_s > known.elapsed_s:
            elapsed_s = command.elapsed_s
            self._replace(msgspec.structs.replace(known, elapsed_s=elapsed_s))

    def _running(self, number: int) -> Rollout | None:
        return next((one for one in self.running() if one.number == number), None)

    def _reject(self, ended: Rollout) -> None:
        """Keep a version that was rolled back excluded while others are ordered."""
        if ended.stage is not Stage.ROLLED_BACK:
            return
        same = [one for one in self._rejected if one.service == ended.service]
        oldest = same[: max(len(same) + 1 - MAX_REJECTED_VERSIONS, 0)]
        kept = [one for one in self._rejected if one not in oldest]
        self._rejected = [*kept, ended]

    def _replace(self, rollout: Rollout) -> None:
        self._newest[rollout.service] = rollout
        self._notify(rollout)

    def _notify(self, rollout: Rollout) -> None:
        for listener in self._listeners:
            listener(rollout)
