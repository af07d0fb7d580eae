"""Which requests an entry that stops by plan still runs: those that can end before.

A request that can't is refused at once, as another entry can run it, while one that is
cut by the stop may have run. How long it takes is not known, only its timeout and how
long others took.
"""

from fuchsiacroft.entry.run_durations import RunDurations
from fuchsiacroft.utils.clock import now

DEVIATIONS = 2.0
"""Deviations above the mean that are allowed for a run."""
DEVIATIONS_IF_UNREPEATABLE = 4.0
"""The same where a caller can't repeat a request that is cut."""


class PlannedStop:
    """The end of an entry that drains.

    Each request gets a final answer until `answers_at`, on the event loop's clock.
    `is_noticed` is set once callers have had the time to go elsewhere; from then on a
    request must be certain to end in time.
    """

    def __init__(self, answers_at: float, durations: RunDurations) -> None:
        self.answers_at = answers_at
        self.is_noticed = False
        self._durations = durations

    def accepts(self, name: str, deadline: float, *, may_repeat: bool) -> bool:
        """Return whether to accept a request of a route or service that has come."""
        if deadline <= self.answers_at:
            return True
        return not self.is_noticed and self.starts_within_s(name, may_repeat) > 0

    def can_run(self, name: str, deadline: float, *, may_repeat: bool) -> bool:
        """Return whether a request that was accepted may begin to run now."""
        if deadline <= self.answers_at:
            return True
        return self.starts_within_s(name, may_repeat) > 0

    def starts_within_s(self, name: str, may_repeat: bool) -> float:
        """Return until when a run must begin to end in time, in seconds from now."""
        deviations = DEVIATIONS if may_repeat else DEVIATIONS_IF_UNREPEATABLE
        return self.answers_at - now() - self._durations.upper_s(name, deviations)
