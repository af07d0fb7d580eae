"""The bounds of a concurrency limit that is learned from a server's runs.

Both data planes keep their learned limits in it, each with a rule of its own. The
module does no I/O and gets the time as an argument.
"""

from dataclasses import dataclass

MIN_LIMIT = 1.0
"""A server always gets one run, or it could not be seen to recover."""


@dataclass(frozen=True, slots=True)
class LimitChange:
    """An adjustment of a limit, and why, for the log.

    `ratio` is the throughput among `load` runs compared with the highest among fewer;
    it is 0 if throughput isn't the reason.
    """

    before: float
    after: float
    reason: str
    load: int
    ratio: float = 0.0


class LearnedLimit:
    """A limit between 1 and a maximum, with the time of its last change."""

    def __init__(self, initial: float, maximum: float, at: float) -> None:
        self.maximum = max(maximum, MIN_LIMIT)
        self.value = min(max(initial, MIN_LIMIT), self.maximum)
        self.adjusted_at = at

    def allowed(self) -> int:
        """Return how many runs may be concurrent."""
        return int(self.value)

    def set_maximum(self, maximum: float) -> None:
        """Change the maximum; a limit at the maximum moves with it."""
        if maximum == self.maximum:
            return
        is_full = self.value >= self.maximum
        self.maximum = max(maximum, MIN_LIMIT)
        self.value = self.maximum if is_full else min(self.value, self.maximum)

    def adjust(self, limit: float, at: float) -> None:
        """Change the limit within its bounds."""
        self.value = min(max(limit, MIN_LIMIT), self.maximum)
        self.adjusted_at = at
