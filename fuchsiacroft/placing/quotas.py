"""Workspace quotas, enforced over a sliding window by several failure domains.

Each failure domain counts the units that it admits and receives the counts of the
others. The units that the others admitted since their last report are estimated
from their demand, so that the total stays below the limit. A workspace that
requests far more than its quota is paced, so that it does not spend a window's
units in the first second and get none for the rest.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from itertools import zip_longest

from fuchsiacroft.config.bounds import MAX_AMOUNT
from fuchsiacroft.config.route_table import Quota, Workspace
from fuchsiacroft.placing.earlier_spending import (
    BURST_SHARE,
    UNREPORTED_S,
    EarlierSpending,
)
from fuchsiacroft.placing.quota_window import Window, recent

TOLERANCE_SHARE_USED = 0.5
"""The rest of the tolerance is reserved for isolated entries."""
LOW_SHARE = 0.25
"""Share of its limit below which a workspace has few units left."""
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
        excess = TOLERANCE_SHARE_USED * self._allowed_excess(quota)
        return self._units(quota) + excess

    def reserve(self, quota: Quota) -> float:
        """Return the units that isolated entries may spend beyond the limit."""
        return (1.0 - TOLERANCE_SHARE_USED) * self._allowed_excess(quota)

    def _units(self, quota: Quota) -> float:
        return quota.units_per_s * self.window_s + quota.burst

    def _allowed_excess(self, quota: Quota) -> float:
        return self.overshoot * self._units(quota) + self.slack


@dataclass(frozen=True, slots=True)
class RemoteUsage:
    """Use of a workspace's quota by other domains and entries.

    `spent` holds the units that they admitted in the window, and `share` is the part
    of the limit that may be spent here. `pace` is this domain's part of the even
    pace. An entry that decides alone since `alone_since`, on the loop's clock, doesn't
    know what was spent until then, but that it could spend `left` more units. Who
    doesn't know may spend `reserve_share` of the reserve. A successor would not know of
    what is spent here after `reported_until`.
    """

    spent: float = 0.0
    share: float = 1.0
    pace: float = 1.0
    alone_since: float | None = None
    left: float = 0.0
    reserve_share: float = 0.0
    reported_until: float = math.inf


class Quotas:
    """Enforces the quota of every workspace that has one.

    `earlier` is what was spent before this process counted, and `admitted_at` when it
    last admitted units itself.
    """

    def __init__(self, tolerance: QuotaTolerance) -> None:
        self._tolerance = tolerance
        self.earlier = EarlierSpending(tolerance.window_s)
        self.admitted_at = -math.inf
        self._windows: dict[str, Window] = {}
        self._workspaces: dict[str, Workspace] = {}
        self.remote_usage: Callable[[str, float], RemoteUsage] = lambda name, at: (
            RemoteUsage()
        )

    @property
    def window_s(self) -> float:
        """Return the length of the window, in seconds."""
        return self._tolerance.window_s

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
        available = self._available(found, remote, at) - window.total
        # A request larger than the limit is admitted when nothing else was spent.
        if available < min(units, limit):
            return self._retry_after_s(window, units - available, limit, at)
        units_per_s = limit * remote.pace / self._tolerance.window_s
        burst = BURST_SHARE * limit * remote.pace
        window.drain(units_per_s, at)
        ahead = window.ahead + min(units, burst) - burst
        wait_s = ahead / units_per_s if ahead > 0 else 0.0
        if self._exceeds_unreported(workspace, window, units, remote):
            wait_s = max(wait_s, UNREPORTED_S)
        if wait_s > 0:
            return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        window.add(units, at)
        self.admitted_at = at
        return 0.0

    def _exceeds_unreported(
        self, workspace: str, window: Window, units: float, remote: RemoteUsage
    ) -> bool:
        """Return whether more would be spent unreported than a successor counts.

        A request larger than that is admitted when nothing else is unreported.
        """
        unreported = window.since(remote.reported_until)
        return unreported > 0 and unreported + units > self.unreported_units(workspace)

    def unreported_units(self, name: str) -> float:
        """Return the most that a coordinator spends of a quota without a report."""
        return self.paced_units(name, UNREPORTED_S)

    def limited_workspaces(self) -> list[str]:
        """Return the names of the workspaces that have a quota."""
        found = self._workspaces.values()
        return [workspace.name for workspace in found if workspace.quota is not None]

    def remaining(self, workspace: str, at: float) -> float:
        """Return the units that may be spent now, infinity without a quota."""
        found = self._workspaces.get(workspace)
        if found is None or found.quota is None:
            return math.inf
        remote = self.remote_usage(workspace, at)
        spent = self._windows.get(workspace, Window()).total
        return self._available(found, remote, at) - spent

    def refund(self, workspace: str, units: float, taken_at: float) -> None:
        """Refund the units of a request that did not run."""
        window = self._windows.get(workspace)
        if window is not None and units > 0:
            window.refund(units, taken_at)

    def spent(self, at: float) -> dict[str, float]:
        """Return what each workspace spent in the window, at other entries too."""
        spent = {name: window.total for name, window in self._recent(at).items()}
        for name, window in self.earlier.windows(at):
            spent[name] = spent.get(name, 0.0) + window.total
        return {name: units for name, units in spent.items() if units > 0}

    def _names(self, at: float) -> set[str]:
        """Return the workspaces that spent something in the window."""
        names = {name for name, window in self._recent(at).items() if window.total > 0}
        return names | self.earlier.names(at)

    def spent_by_age(self, at: float) -> dict[str, tuple[float, ...]]:
        """Return the same units by age."""
        spent = self.admitted_by_age(at)
        for name, window in self.earlier.windows(at):
            pairs = zip_longest(spent.get(name, ()), window.by_age(at), fillvalue=0.0)
            spent[name] = tuple(map(sum, pairs))
        return spent

    def admitted_by_age(self, at: float) -> dict[str, tuple[float, ...]]:
        """Return the units in the window that this process admitted, by age."""
        return {name: window.by_age(at) for name, window in self._recent(at).items()}

    def left(self, at: float) -> dict[str, float]:
        """Return the units that workspaces which have few left may still spend.

        Others have `LOW_SHARE` of their limit at least.
        """
        left = {name: self.remaining(name, at) for name in self._names(at)}
        return {
            name: min(max(units, 0.0), MAX_AMOUNT)
            for name, units in left.items()
            if units < LOW_SHARE * self._limit(name) and units < math.inf
        }

    def paced_units(self, name: str, seconds: float) -> float:
        """Return the units of a time at the even pace, 0 without a quota."""
        limit = self._limit(name)
        return limit * seconds / self.window_s if limit < math.inf else 0.0

    def _limit(self, name: str) -> float:
        """Return the limit of a workspace, infinite if it has none."""
        found = self._workspaces.get(name)
        if found is None or found.quota is None:
            return math.inf
        return self._tolerance.limit(found.quota)

    def _recent(self, at: float) -> dict[str, Window]:
        """Return the windows in which something was spent, and forget the others."""
        self._windows = recent(self._windows, at - self._tolerance.window_s)
        return self._windows

    def counted_s(self, at: float) -> float:
        """Return for how long spending has been counted, at predecessors too."""
        return at - self.earlier.counted_since

    def dump(self, at: float) -> dict:
        """Return what each workspace spent in the window here and elsewhere."""
        return {
            name: {
                "spent": round(units, 1),
                "earlier": round(self.earlier.known(name, at), 1),
                "elsewhere": round(self.remote_usage(name, at).spent, 1),
                "share": round(self.remote_usage(name, at).share, 4),
            }
            for name, units in self.spent(at).items()
        }

    def _available(self, workspace: Workspace, remote: RemoteUsage, at: float) -> float:
        """Return the units that may be spent here, less what others spent of them."""
        limit = self._tolerance.limit(workspace.quota) * remote.share
        reserve = self._tolerance.reserve(workspace.quota) * remote.reserve_share
        known = remote.spent + self.earlier.known(workspace.name, at)
        unknown = self.earlier.possible(limit, remote.alone_since, at)
        if unknown <= 0:
            return limit - known
        sure = max(reserve, min(remote.left, limit))
        return min(limit - unknown + sure, max(limit, reserve)) - known

    def _retry_after_s(
        self, window: Window, needed: float, limit: float, at: float
    ) -> float:
        """Return the seconds until `needed` units leave the window, within bounds.

        Units that predecessors may have spent leave it evenly.
        """
        window_s = self._tolerance.window_s
        wait_s = window.free_after_s(needed, at, window_s)
        if wait_s is None:
            wait_s = needed / limit * window_s
        return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
