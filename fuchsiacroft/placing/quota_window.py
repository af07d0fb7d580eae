"""Units that a workspace spent lately, over a sliding window."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Self

BUCKET_S = 0.25
"""Units are counted in buckets of this length."""
AGE_STEP_S = 1.0
"""Resolution of the ages in reports to other processes."""
MAX_AGE_STEPS = 1_000
"""Older units count as that old, which bounds the size of a report."""


@dataclass(slots=True)
class Window:
    """Units that one workspace spent recently, in time buckets, oldest first.

    `ahead` is the excess over an even pace, as of `updated_at`.
    """

    buckets: deque[list[float]] = field(default_factory=deque)
    total: float = 0.0
    ahead: float = 0.0
    updated_at: float = 0.0

    @classmethod
    def from_ages(cls, units: Iterable[float], at: float) -> Self:
        """Return a window of the units that had each age at a time, or less."""
        window = cls()
        for step, spent in enumerate(units):
            if spent > 0:
                window.buckets.appendleft([at - step * AGE_STEP_S - BUCKET_S, spent])
                window.total += spent
        return window

    def by_age(self, at: float) -> tuple[float, ...]:
        """Return the units by age, in steps of `AGE_STEP_S`, the latest first."""
        units: list[float] = []
        for started_at, spent in reversed(self.buckets):
            age_s = max(at - started_at - BUCKET_S, 0.0)
            step = min(int(age_s / AGE_STEP_S), MAX_AGE_STEPS - 1)
            units.extend(0.0 for _ in range(step + 1 - len(units)))
            units[step] += spent
        return tuple(units)

    def add(self, units: float, at: float) -> None:
        """Count units."""
        if not self.buckets or at - self.buckets[-1][0] >= BUCKET_S:
            self.buckets.append([at, 0.0])
        self.buckets[-1][1] += units
        self.total += units
        self.ahead += units

    def refund(self, units: float, taken_at: float) -> None:
        """Subtract units from the bucket in which they were counted.

        If they were subtracted from a later one, they would leave the window twice.
        """
        for bucket in reversed(self.buckets):
            if bucket[0] <= taken_at:
                bucket[1] -= units
                self.total -= units
                break
        self.ahead = max(self.ahead - units, 0.0)

    def since(self, at: float) -> float:
        """Return the units that were counted since a time, and those in its bucket."""
        units = 0.0
        for started_at, spent in reversed(self.buckets):
            if started_at + BUCKET_S <= at:
                break
            units += spent
        return units

    def merged(self, other: Self) -> Self:
        """Return what two counts of the same units show together.

        Each may lack some of them. For each time, as many have been spent since as the
        larger count says, so an older count takes nothing from a newer one, in any
        order. `ahead` is not merged.
        """
        window = type(self)()
        for started_at in sorted(
            {bucket[0] for bucket in (*self.buckets, *other.buckets)}, reverse=True
        ):
            spent = max(self._from(started_at), other._from(started_at))
            if spent > window.total:
                window.buckets.appendleft([started_at, spent - window.total])
                window.total = spent
        return window

    def _from(self, started_at: float) -> float:
        """Return the units of a bucket and of those after it."""
        return sum(spent for at, spent in self.buckets if at >= started_at)

    def drain(self, units_per_s: float, at: float) -> None:
        """Reduce the excess by the even pace of the time since the last update."""
        self.ahead = max(self.ahead - (at - self.updated_at) * units_per_s, 0.0)
        self.updated_at = at

    def expire(self, before: float) -> None:
        """Drop the buckets that ended before a time."""
        while self.buckets and self.buckets[0][0] + BUCKET_S <= before:
            self.total -= self.buckets.popleft()[1]

    def free_after_s(self, units: float, at: float, window_s: float) -> float | None:
        """Return the seconds until `units` have left the window, None if they don't."""
        freed = 0.0
        for started_at, spent in self.buckets:
            freed += spent
            if freed >= units:
                return started_at + BUCKET_S + window_s - at
        return None


def expire_all(windows: dict[str, Window], before: float) -> None:
    """Drop the buckets of all windows that ended before a time."""
    oldest = before - BUCKET_S
    for window in windows.values():
        if window.buckets and window.buckets[0][0] <= oldest:
            window.expire(before)


def recent(windows: dict[str, Window], before: float) -> dict[str, Window]:
    """Return the windows with units that were spent after a time; expire the others."""
    expire_all(windows, before)
    return {name: window for name, window in windows.items() if window.buckets}
