"""Retry budget: limits how often requests are sent to a second backend server."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Retries are limited to `ratio` of the first sends in a window, plus `slack`."""

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 20.0


@dataclass(slots=True)
class _Sent:
    first: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


class RetryBudget:
    """Counts first sends and retries of each service over a sliding window.

    `share` is the part of the slack that this entry may use.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._sent: dict[str, _Sent] = {}
        self.share = 1.0

    def record_first(self, service: str, at: float) -> None:
        """Count a first send."""
        sent = self._sent.setdefault(service, _Sent())
        self._expire(sent.first, at)
        sent.first.append(at)

    def try_repeat(self, service: str, at: float) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        sent = self._sent.setdefault(service, _Sent())
        self._expire(sent.first, at)
        self._expire(sent.repeats, at)
        allowed = self._limits.ratio * len(sent.first)
        allowed += self._limits.slack * self.share
        if len(sent.repeats) + 1 > allowed:
            return False
        sent.repeats.append(at)
        return True

    def refund_repeat(self, service: str) -> None:
        """Return the newest retry, which was not sent."""
        sent = self._sent.get(service)
        if sent is not None and sent.repeats:
            sent.repeats.pop()

    def _expire(self, times: deque[float], at: float) -> None:
        while times and times[0] < at - self._limits.window_s:
            times.popleft()
