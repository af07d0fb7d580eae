"""The service "rollouts" of a control member.

Every member accepts orders, keeps evidence and serves directives; the leader decides
and commits each step.
"""

import asyncio
import enum
from collections.abc import Callable

from expression import Error, Ok, Result

from fuchsiacroft.config.bounds import MAX_SPAN_S
from fuchsiacroft.control.log import ReplicatedLog
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.rollouts import step_log
from fuchsiacroft.rollouts.counts import total
from fuchsiacroft.rollouts.elapsed import RolloutTimes
from fuchsiacroft.rollouts.evidence import (
    LOST_AFTER_S,
    EvidenceStore,
    OldRuns,
    RolloutEvidence,
)
from fuchsiacroft.rollouts.judge import Judgement, judge
from fuchsiacroft.rollouts.limits import RolloutLimits
from fuchsiacroft.rollouts.messages import (
    DIRECTIVE_LEASE_S,
    Directive,
    Directives,
    Evidence,
    Stage,
)
from fuchsiacroft.rollouts.metrics import RolloutMetrics
from fuchsiacroft.rollouts.plan import Situation, next_step
from fuchsiacroft.rollouts.state import (
    AdvanceRollout,
    BeginOutcome,
    BeginRollout,
    Outcome,
    Rollout,
    RolloutState,
    StepRollout,
)
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import lease_now, now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.metrics import Metrics
from fuchsiacroft.utils.running_since import RunningSince
from fuchsiacroft.utils.tasks import BackgroundTasks

PLAN_PERIOD_S = 0.2
CONFIRM_PERIOD_S = 0.25
IDLE_CONFIRM_PERIOD_S = 0.5
"""Period without a running rollout; without any rollout, nothing is confirmed."""
CONFIRM_TIMEOUT_S = 0.5
CONFIRMATION_TTL_S = 1.0
"""With the lease of a directive it is well below the time in which a bad version must
get nothing more, also where a coordinator reaches an outdated member only."""
PROPOSE_TIMEOUT_S = 1.0
REPETITION_S = 5.0
"""An order to the same version is a repetition for so long after the rollout's end."""
ADVANCE_PERIOD_S = 1.0
"""How often the leader commits the time, for members that start again."""
FOLLOWER_ADVANCE_PERIOD_S = 2.0
"""A follower does so if the leader is behind, as it started later."""
SETTLE_S = 1.0
"""A member that starts or stood still knows all coordinators' evidence after it."""
LEASE_PART = 0.4
"""A directive runs out within this part of the time in which a rollback must work."""
WINDOWS_S = (15.0, 4.0)
"""A version that turns bad is judged by its last responses, not only by all."""
SHIFTED_WINDOW_S = 4.0
"""After the shift the old versions' responses are too old to compare the first ones."""

ServiceCheck = Callable[[str], bool]
LongestRun = Callable[[str], float]


class OrderError(enum.Enum):
    """Why an order was not accepted.

    After `UNSURE` it may still be carried out.
    """

    UNKNOWN_SERVICE = "unknown_service"
    OTHER_VERSION = "other_version"
    UNSURE = "unsure"


class ReadError(enum.Enum):
    """Why no rollout is returned."""

    NO_QUORUM = "no_quorum"
    NO_ROLLOUT = "no_rollout"


class RolloutController(Service):
    """Carries out rollouts on a control member.

    `is_known` returns whether the newest configuration has a service, and
    `longest_run_s` how long its longest usual runs take at most.
    """

    name = "rollouts"

    def __init__(
        self,
        state: RolloutState,
        limits: RolloutLimits,
        metrics: Metrics,
        is_known: ServiceCheck,
        longest_run_s: LongestRun,
    ) -> None:
        self._state = state
        self._limits = limits
        self._metrics = RolloutMetrics(metrics)
        self._is_known = is_known
        self._longest_run_s = longest_run_s
        self._times = RolloutTimes()
        self._evidence = EvidenceStore()
        self._confirmed_at: float | None = None
        self._heard_at: float | None = None
        self._running = RunningSince()
        self._tasks = BackgroundTasks("rollouts")
        state.on_change(self._on_change)
        state.on_restore(self._on_restore)

    async def start(self, kernel: Kernel) -> None:
        """Register the handler of evidence and start to plan."""
        self._log = kernel.get("log", ReplicatedLog)
        kernel.get("bus", Bus).register_handler(Evidence, self.on_evidence)
        self._started_at = now()
        self._tasks.spawn_repeated(self._confirm, "rollouts-confirm")
        self._tasks.spawn_repeated(self._plan, "rollouts-plan")

    async def stop(self) -> None:
        """Stop planning."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the newest rollout of each service."""
        return {
            "confirmed": self.is_confirmed,
            "rollouts": [
                {
                    "service": one.service,
                    "to": one.to,
                    "rollout": one.number,
                    "stage": one.stage.value,
                    "share": one.share,
                    "elapsed_s": round(one.elapsed_s, 1),
                    "duration_s": one.duration_s,
                    "ended": one.ended,
                    "reason": one.reason,
                }
                for one in self._state.all()
            ],
        }

    @property
    def is_confirmed(self) -> bool:
        """Return whether a read barrier succeeded within `CONFIRMATION_TTL_S`."""
        at = self._confirmed_at
        return at is not None and lease_now() - at < CONFIRMATION_TTL_S

    @property
    def hears_coordinators(self) -> bool:
        """Return whether a coordinator sent evidence lately, of any rollout or none."""
        at = self._heard_at
        return at is not None and now() - at <= LOST_AFTER_S

    async def order(
        self, service: str, to: str, duration_s: float, timeout_s: float
    ) -> Result[BeginOutcome, OrderError]:
        """Begin a rollout, or acknowledge a repeated order; the result is durable."""
        deadline = now() + timeout_s
        if (await self._log.read_barrier(timeout_s)).is_error():
            return Error(OrderError.UNSURE)
        if not self._is_known(service):
            return Error(OrderError.UNKNOWN_SERVICE)
        command = BeginRollout(
            service, to, duration_s, self._limits.share, self._replaced(service)
        )
        match await self._log.propose(command, max(deadline - now(), 0.0)):
            case Result(tag="ok", ok=applied):
                return _outcome(command, applied.result)
        return Error(OrderError.UNSURE)

    async def read_all(
        self, timeout_s: float
    ) -> Result[tuple[Rollout, ...], ReadError]:
        """Return the newest rollout of each service, by name."""
        if (await self._log.read_barrier(timeout_s)).is_error():
            return Error(ReadError.NO_QUORUM)
        return Ok(self._state.newest())

    async def read(self, service: str, timeout_s: float) -> Result[Rollout, ReadError]:
        """Return the newest rollout of a service."""
        if (await self._log.read_barrier(timeout_s)).is_error():
            return Error(ReadError.NO_QUORUM)
        rollout = self._state.get(service)
        return Ok(rollout) if rollout is not None else Error(ReadError.NO_ROLLOUT)

    def _replaced(self, service: str) -> int:
        """Return the ended rollout that an order now doesn't repeat, 0 if none."""
        known = self._state.get(service)
        if known is None or self._times.ended_s(known, now()) <= REPETITION_S:
            return 0
        return known.number

    async def _confirm(self) -> None:
        requested_at = lease_now()
        if (
            self._state.all()
            and (await self._log.read_barrier(CONFIRM_TIMEOUT_S)).is_ok()
        ):
            self._confirmed_at = requested_at
        is_idle = self._state.all() and not self._state.running()
        await asyncio.sleep(IDLE_CONFIRM_PERIOD_S if is_idle else CONFIRM_PERIOD_S)

    def on_evidence(self, sender: str, msg: Evidence) -> Directives:
        """Record a coordinator's evidence, and return the directives in force."""
        self._heard_at = now()
        running = (rollout.number for rollout in self._state.running())
        self._evidence.record(msg, running, now())
        if not self.is_confirmed:
            return Directives()
        return Directives(tuple(map(self._directive, self._state.all())), True)

    def _directive(self, rollout: Rollout) -> Directive:
        ended_s = 0.0
        if rollout.outcome is Outcome.COMPLETED:
            ended_s = min(self._times.ended_s(rollout, now()), MAX_SPAN_S)
        return Directive(
            rollout.service,
            rollout.to,
            rollout.number,
            rollout.stage,
            rollout.share,
            min(DIRECTIVE_LEASE_S, LEASE_PART * self._limits.rollback_s),
            ended_s,
        )

    def _on_change(self, rollout: Rollout) -> None:
        self._times.record(rollout, now())
        self._metrics.show_stage(rollout)

    def _on_restore(self) -> None:
        # A member that joins the group anew may lack later decisions.
        self._confirmed_at = None

    async def _plan(self) -> None:
        running_since = await self._running.sleep(PLAN_PERIOD_S)
        settles_at = max(self._started_at, running_since) + SETTLE_S
        running = self._state.running()
        self._evidence.keep_only(rollout.number for rollout in running)
        for rollout in running:
            evidence = self._evidence.get(rollout.number)
            counts = total(evidence.sample(now()).new.values())
            self._metrics.show_answers(rollout, counts)
            if self._log.is_leader and now() >= settles_at:
                await self._decide(rollout, evidence)
            await self._advance(rollout)

    async def _advance(self, rollout: Rollout) -> None:
        """Commit the time since the order if what is in the log is too old."""
        is_leader = self._log.is_leader
        period_s = ADVANCE_PERIOD_S if is_leader else FOLLOWER_ADVANCE_PERIOD_S
        elapsed_s = self._times.elapsed_s(rollout, now())
        newest = self._state.get(rollout.service)
        if newest is None or newest.number != rollout.number or newest.ended:
            return
        if elapsed_s - newest.elapsed_s >= period_s and self.is_confirmed:
            command = AdvanceRollout(rollout.number, elapsed_s)
            await self._log.propose(command, PROPOSE_TIMEOUT_S)

    async def _decide(self, rollout: Rollout, evidence: RolloutEvidence) -> None:
        situation = self._situation(rollout, evidence)
        step = next_step(situation)
        if (step.stage, step.ended) == (rollout.stage, rollout.ended):
            return
        share = _share(step.stage, rollout)
        command = StepRollout(
            rollout.number,
            step.stage,
            share,
            situation.elapsed_s,
            step.ended,
            step.reason.value,
        )
        step_log.log_step(rollout, situation, step, share)
        match await self._log.propose(command, PROPOSE_TIMEOUT_S):
            case Result(tag="error", error=failure):
                event(
                    "warning",
                    "rollout_step_not_committed",
                    service=rollout.service,
                    version=rollout.to,
                    stage=step.stage.value,
                    reason=failure.value,
                )

    def _situation(self, rollout: Rollout, evidence: RolloutEvidence) -> Situation:
        at = now()
        return Situation(
            stage=rollout.stage,
            duration_s=rollout.duration_s,
            elapsed_s=self._times.elapsed_s(rollout, at),
            stage_s=self._times.stage_s(rollout, at),
            longest_run_s=self._longest_run(rollout, evidence),
            judgement=self._judge(rollout, evidence),
            old_runs=self._old_runs(rollout, evidence),
        )

    def _longest_run(self, rollout: Rollout, evidence: RolloutEvidence) -> float:
        bound_s = self._longest_run_s(rollout.service)
        known_s = evidence.longest_run_s()
        return bound_s if known_s is None else min(known_s, bound_s)

    def _judge(self, rollout: Rollout, evidence: RolloutEvidence) -> Judgement:
        everything = evidence.since(float("-inf"))
        windows = [evidence.since(now() - window_s) for window_s in WINDOWS_S]
        if rollout.stage is Stage.CANARY:
            windows = [everything, *windows]
        else:
            windows = [evidence.since(now() - SHIFTED_WINDOW_S)]
        return judge(windows, self._limits.canary_slack, baseline=everything)

    def _old_runs(self, rollout: Rollout, evidence: RolloutEvidence) -> OldRuns:
        stages = {rollout.stage, Stage.COMPLETED}
        return evidence.old_runs(stages, now())


def create(
    state: RolloutState,
    limits: RolloutLimits,
    metrics: Metrics,
    is_known: ServiceCheck,
    longest_run_s: LongestRun,
) -> RolloutController:
    """Return the controller; `state` is registered with the log as "rollouts"."""
    return RolloutController(state, limits, metrics, is_known, longest_run_s)


def _outcome(
    order: BeginRollout, outcome: BeginOutcome
) -> Result[BeginOutcome, OrderError]:
    event(
        "info",
        "rollout_ordered",
        service=order.service,
        version=order.to,
        duration_s=order.duration_s,
        accepted=outcome.accepted,
        begun=outcome.begun,
        rollout=outcome.rollout,
        running=outcome.to,
    )
    return Ok(outcome) if outcome.accepted else Error(OrderError.OTHER_VERSION)


def _share(stage: Stage, rollout: Rollout) -> float:
    if stage is Stage.CANARY:
        return rollout.share
    return 0.0 if stage is Stage.ROLLED_BACK else 1.0
