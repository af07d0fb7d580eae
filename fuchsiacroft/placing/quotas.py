"""Workspace quotas, enforced over a sliding window by several failure domains.

Each failure domain counts the units that it admits and receives the counts of the
others. The units that the others admitted since their last report are estimated
from their demand, so that the total stays below the limit. A workspace that
requests far more than its quota is paced, so that it does not spend a window's
units in the first second and get none for the rest.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fuchsiacroft.config.route_table import Quota, Workspace

TOLERANCE_SHARE_USED = 0.5
"""The rest of the tolerance is reserved for isolated entries."""
BUCKET_S = 0.25
"""Units are counted in buckets of this length."""
BURST_SHARE = 0.2
"""Share of a window's units that may be spent at once."""
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """Allowed excess over a quota in any window of `window_s` seconds.

    `overshoot` is a fraction of the window's quota, `slack` is in its units.
    """

    window_s: float = 8.0
    overshoot: float = 0.0
    slack: float = 0.0

    def limit(self, quota: Quota) -> float:
        """Return the units that may be spent in a window."""
        units = quota.units_per_s * self.window_s + quota.burst
        return units + TOLERANCE_SHARE_USED * (self.overshoot * units + self.slack)


@dataclass(slots=True)
class Window:
    """Units that one workspace spent recently, in time buckets, oldest first.

    `ahead` is the excess over an even pace, as of `updated_at`.
    """

    buckets: deque[list[float]] = field(default_factory=deque)
    total: float = 0.0
    ahead: float = 0.0
    updated_at: float = 0.0

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

    def drain(self, units_per_s: float, at: float) -> None:
        """Reduce the excess by the even pace of the time since the last update."""
        self.ahead = max(self.ahead - (at - self.updated_at) * units_per_s, 0.0)
        self.updated_at = at

    def expire(self, before: float) -> None:
        """Drop the buckets that ended before a time."""
        while self.buckets and self.buckets[0][0] + BUCKET_S <= before:
            self.total -= self.buckets.popleft()[1]


@dataclass(frozen=True, slots=True)
class RemoteUsage:
    """Use of a workspace's quota by other domains and entries.

    `spent` holds the units that they admitted in the window, and `share` is the part
    of the limit that may be spent here. `pace` is this domain's part of the even
    pace.
    """

    spent: float = 0.0
    share: float = 1.0
    pace: float = 1.0


class Quotas:
    """Enforces the quota of every workspace that has one."""

    def __init__(self, tolerance: QuotaTolerance) -> None:
        self._tolerance = tolerance
        self._windows: dict[str, Window] = {}
        self._workspaces: dict[str, Workspace] = {}
        self.remote_usage: Callable[[str, float], RemoteUsage] = lambda name, at: (
            RemoteUsage()
        )

    def replace(self, workspaces: dict[str, Workspace]) -> None:
        """Apply new limits; units already spent continue to count.

        So do those of a workspace that leaves, as it may come back.
        """
        self._workspaces = workspaces

    def take(self, workspace: str, units: float, at: float) -> float:
        """Charge units if the quota allows; return 0, or the seconds to retry after."""
        found = self._workspaces.get(workspace)
        if found is None or found.quota is None or units <= 0:
            return 0.0
        window = self._windows.setdefault(workspace, Window())
        window.expire(at - self._tolerance.window_s)
        remote = self.remote_usage(workspace, at)
        limit = self._tolerance.limit(found.quota) * remote.share
        available = limit - window.total - remote.spent
        # A request larger than the limit is admitted when nothing else was spent.
        if available < min(units, limit):
            return self._retry_after_s(window, units - available, at)
        units_per_s = limit * remote.pace / self._tolerance.window_s
        burst = BURST_SHARE * limit * remote.pace
        window.drain(units_per_s, at)
        ahead = window.ahead + min(units, burst) - burst
        if ahead > 0:
            wait_s = ahead / units_per_s
            return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        window.add(units, at)
        return 0.0

    def remaining(self, workspace: str, at: float) -> float:
        """Return the units that may be spent now, infinity without a quota."""
        found = self._workspaces.get(workspace)
        if found is None or found.quota is None:
            return math.inf
        remote = self.remote_usage(workspace, at)
        limit = self._tolerance.limit(found.quota) * remote.share
        spent = self._windows.get(workspace, Window()).total
        return limit - spent - remote.spent

    def refund(self, workspace: str, units: float, taken_at: float) -> None:
        """Refund the units of a request that did not run."""
        window = self._windows.get(workspace)
        if window is not None and units > 0:
            window.refund(units, taken_at)

    def spent(self, at: float) -> dict[str, float]:
        """Return what each workspace spent in the window."""
        for window in self._windows.values():
            window.expire(at - self._tolerance.window_s)
        self._windows = {n: w for n, w in self._windows.items() if w.buckets}
        return {name: w.total for name, w in self._windows.items() if w.total > 0}

    def dump(self, at: float) -> dict:
        """Return what each workspace spent in the window here and elsewhere."""
        return {
            name: {
                "spent": round(units, 1),
                "elsewhere": round(self.remote_usage(name, at).spent, 1),
                "share": round(self.remote_usage(name, at).share, 4),
            }
            for name, units in self.spent(at).items()
        }

    def adopt(self, spent: dict[str, float], at: float) -> None:
        """Count the units that a previous coordinator admitted, as if spent now."""
        for name, units in spent.items():
            window = self._windows.setdefault(name, Window())
            window.add(units, at)
            window.ahead -= units

    def _retry_after_s(self, window: Window, needed: float, at: float) -> float:
        """Return the seconds until `needed` units leave the window, within bounds."""
        freed = 0.0
        for started_at, units in window.buckets:
            freed += units
            if freed >= needed:
                wait_s = started_at + BUCKET_S + self._tolerance.window_s - at
                return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return MAX_RETRY_AFTER_S
