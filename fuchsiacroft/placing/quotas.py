"""Quotas of workspaces, counted over a sliding window in several places.

Each failure domain counts what it lets through, and hears from the others what
they did. What the others let through since they last told is guessed by what
they are asked for, so that all together stay below the limit. A workspace that
asks for far more than its quota is paced, so that it does not spend a window's
units in its first second and get nothing for the rest.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fuchsiacroft.config.route_table import Quota, Workspace

TOLERANCE_USED = 0.5
"""Of the tolerance, the part used; the rest is for entries that are cut off."""
GRAIN_S = 0.25
"""Units of so many seconds are counted together."""
PACE_SHARE = 0.2
"""Of a window's units, those that may be spent at once."""
RETRY_MIN_S = 0.2
RETRY_MAX_S = 2.0


@dataclass(frozen=True, slots=True)
class Tolerance:
    """What may be spent above a quota in any window of so many seconds.

    `overshoot` is a part of the window's quota, `slack` in its units.
    """

    window_s: float = 8.0
    overshoot: float = 0.0
    slack: float = 0.0

    def limit(self, quota: Quota) -> float:
        """Return the units that may be spent in a window."""
        window = quota.units_per_s * self.window_s + quota.burst
        return window + TOLERANCE_USED * (self.overshoot * window + self.slack)


@dataclass(slots=True)
class Window:
    """What one workspace spent lately, in grains of time, the oldest first.

    `ahead` is what was spent beyond an even pace, as of `paced_at`.
    """

    grains: deque[list[float]] = field(default_factory=deque)
    total: float = 0.0
    ahead: float = 0.0
    paced_at: float = 0.0

    def add(self, units: float, at: float) -> None:
        """Count units."""
        if not self.grains or at - self.grains[-1][0] >= GRAIN_S:
            self.grains.append([at, 0.0])
        self.grains[-1][1] += units
        self.total += units
        self.ahead += units

    def take_back(self, units: float, taken_at: float) -> None:
        """Count units no more where they were counted.

        Taken off later ones instead, they would leave the window twice.
        """
        for grain in reversed(self.grains):
            if grain[0] <= taken_at:
                grain[1] -= units
                self.total -= units
                break
        self.ahead = max(self.ahead - units, 0.0)

    def pace(self, units_per_s: float, at: float) -> None:
        """Let time take its part of what was spent ahead."""
        self.ahead = max(self.ahead - (at - self.paced_at) * units_per_s, 0.0)
        self.paced_at = at

    def forget(self, before: float) -> None:
        """Drop the grains that ended before a time."""
        while self.grains and self.grains[0][0] + GRAIN_S <= before:
            self.total -= self.grains.popleft()[1]


@dataclass(frozen=True, slots=True)
class RemoteUsage:
    """What others do with a workspace's quota.

    `spent` are units that they let through in the window, and `share` the part
    of the limit that may be spent here. `pace` is the part of the even pace
    that falls to this place.
    """

    spent: float = 0.0
    share: float = 1.0
    pace: float = 1.0


class Quotas:
    """The windows of every workspace that has a quota."""

    def __init__(self, tolerance: Tolerance) -> None:
        self._tolerance = tolerance
        self._windows: dict[str, Window] = {}
        self._workspaces: dict[str, Workspace] = {}
        self.remote_usage: Callable[[str, float], RemoteUsage] = lambda name, at: (
            RemoteUsage()
        )

    def replace(self, workspaces: dict[str, Workspace]) -> None:
        """Take over new limits; what was spent goes on to count."""
        self._workspaces = workspaces
        for name in self._windows.keys() - workspaces.keys():
            del self._windows[name]

    def take(self, workspace: str, units: float, at: float) -> float:
        """Take units if they are there; return 0, or the seconds until they may be."""
        found = self._workspaces.get(workspace)
        if found is None or found.quota is None or units <= 0:
            return 0.0
        window = self._windows.setdefault(workspace, Window())
        window.forget(at - self._tolerance.window_s)
        elsewhere = self.remote_usage(workspace, at)
        limit = self._tolerance.limit(found.quota) * elsewhere.share
        room = limit - window.total - elsewhere.spent
        # A request larger than the limit passes when nothing else was spent.
        if room < min(units, limit):
            return self._wait_s(window, units - room, at)
        units_per_s = limit * elsewhere.pace / self._tolerance.window_s
        at_once = PACE_SHARE * limit * elsewhere.pace
        window.pace(units_per_s, at)
        ahead = window.ahead + min(units, at_once) - at_once
        if ahead > 0:
            wait_s = ahead / units_per_s
            return min(max(wait_s, RETRY_MIN_S), RETRY_MAX_S)
        window.add(units, at)
        return 0.0

    def remaining(self, workspace: str, at: float) -> float:
        """Return the units that may be spent now, infinitely many without a quota."""
        found = self._workspaces.get(workspace)
        if found is None or found.quota is None:
            return math.inf
        elsewhere = self.remote_usage(workspace, at)
        limit = self._tolerance.limit(found.quota) * elsewhere.share
        spent = self._windows.get(workspace, Window()).total
        return limit - spent - elsewhere.spent

    def refund(self, workspace: str, units: float, taken_at: float) -> None:
        """Return the units of a request that did not run."""
        window = self._windows.get(workspace)
        if window is not None and units > 0:
            window.take_back(units, taken_at)

    def spent(self, at: float) -> dict[str, float]:
        """Return what each workspace spent in the window."""
        for window in self._windows.values():
            window.forget(at - self._tolerance.window_s)
        return {name: w.total for name, w in self._windows.items() if w.total > 0}

    def adopt(self, spent: dict[str, float], at: float) -> None:
        """Count what the keeper before let through as if it were now."""
        for name, units in spent.items():
            window = self._windows.setdefault(name, Window())
            window.add(units, at)
            window.ahead -= units

    def _wait_s(self, window: Window, missing: float, at: float) -> float:
        """Return the seconds until so many units leave the window."""
        freed = 0.0
        for begun_at, units in window.grains:
            freed += units
            if freed >= missing:
                until_s = begun_at + GRAIN_S + self._tolerance.window_s - at
                return min(max(until_s, RETRY_MIN_S), RETRY_MAX_S)
        return RETRY_MAX_S
