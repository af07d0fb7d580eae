"""How often requests of a service may be sent to a second backend server."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Repeats may be `ratio` of the first sends in a window, plus `slack`."""

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 20.0


@dataclass(slots=True)
class _Sent:
    first: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


class RetryBudget:
    """Counts the sends of each service over a sliding window."""

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._sent: dict[str, _Sent] = {}
        self.share = 1.0

    def note_first(self, service: str, at: float) -> None:
        """Count a request that is sent for the first time."""
        sent = self._sent.setdefault(service, _Sent())
        self._forget(sent.first, at)
        sent.first.append(at)

    def take_repeat(self, service: str, at: float) -> bool:
        """Count a repeat if the budget allows it."""
        sent = self._sent.setdefault(service, _Sent())
        self._forget(sent.first, at)
        self._forget(sent.repeats, at)
        allowed = self._limits.ratio * len(sent.first)
        allowed += self._limits.slack * self.share
        if len(sent.repeats) + 1 > allowed:
            return False
        sent.repeats.append(at)
        return True

    def _forget(self, times: deque[float], at: float) -> None:
        while times and times[0] < at - self._limits.window_s:
            times.popleft()
