"""Times of rollouts on a member's own clock."""

from dataclasses import dataclass

from fuchsiacroft.rollouts.messages import Stage
from fuchsiacroft.rollouts.state import Rollout


@dataclass(slots=True)
class _Times:
    """When a rollout began, when its stage did, and when it ended."""

    number: int
    began_at: float
    stage: Stage
    stage_at: float
    ended_at: float | None = None


class RolloutTimes:
    """The times of each service's newest rollout.

    They count from the moment at which this member applied the order. A step that says
    that more time has passed, for instance after a new start of this member, counts.
    """

    def __init__(self) -> None:
        self._by_service: dict[str, _Times] = {}

    def record(self, rollout: Rollout, at: float) -> None:
        """Record a rollout as it was just applied or restored."""
        began_at = at - rollout.elapsed_s
        times = self._by_service.get(rollout.service)
        if times is None or times.number != rollout.number:
            times = _Times(rollout.number, began_at, rollout.stage, at)
            self._by_service[rollout.service] = times
        times.began_at = min(times.began_at, began_at)
        if times.stage is not rollout.stage:
            times.stage, times.stage_at = rollout.stage, at
        if rollout.ended and times.ended_at is None:
            times.ended_at = at

    def elapsed_s(self, rollout: Rollout, at: float) -> float:
        """Return the time since the order."""
        return at - self._by_service[rollout.service].began_at

    def stage_s(self, rollout: Rollout, at: float) -> float:
        """Return the time since this member learned of the present stage."""
        return at - self._by_service[rollout.service].stage_at

    def ended_s(self, rollout: Rollout, at: float) -> float:
        """Return the time since the end, 0 for a rollout that runs."""
        ended_at = self._by_service[rollout.service].ended_at
        return 0.0 if ended_at is None else at - ended_at
