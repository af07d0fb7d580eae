"""Units that were spent where a coordinator doesn't count, known or possible.

A coordinator's count ends with its process. Its successor learns of it from others.
Entries that were cut off, and decided without it, report what they spent once they
reach it. If it learns nothing of its predecessor, as much may have been spent as the
pace of admission allows, and as late: a burst at once, and the rest evenly before.
"""

import math
from collections import Counter

from fuchsiacroft.placing.quota_window import (
    BUCKET_S,
    Window,
    expire_all,
    recent,
)

BURST_SHARE = 0.2
"""Share of a window's units that may be spent at once."""
UNREPORTED_S = 1.5
"""Seconds of the even pace that a coordinator may spend unreported, which its successor
counts. Reports reach others within some 0.5 s, and callers come in bursts."""
EXPIRY_PERIOD_S = 0.05
"""Units count for at most that much longer than the window. Each admission asks for
them, and many entries may have reported some."""


class EarlierSpending:
    """What others spent of each quota in a window of `window_s` seconds.

    Nothing is known of the time before `counted_since`, on the loop's clock.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._windows: dict[str, Window] = {}
        self._apart: dict[str, dict[str, Window]] = {}
        self._apart_units: Counter[str] = Counter()
        self._expiry_at = math.inf
        self.counted_since = -math.inf

    def add(self, units: dict[str, tuple[float, ...]], at: float) -> None:
        """Count the units, by age, that predecessors had spent by a time.

        Reports hold mostly the same units, and come in any order and more than once.
        """
        for name, by_age in units.items():
            counted = self._windows.get(name, Window())
            self._windows[name] = counted.merged(Window.from_ages(by_age, at))
        self._plan_expiry(self._windows, at)

    def replace_apart(
        self, entry: str, units: dict[str, tuple[float, ...]], at: float
    ) -> None:
        """Replace the units, by age, that an entry of the domain admitted itself."""
        for name, window in self._apart.pop(entry, {}).items():
            self._apart_units[name] -= window.total
        if units:
            self._apart[entry] = {
                name: Window.from_ages(by_age, at) for name, by_age in units.items()
            }
            self._count_apart(self._apart[entry], at)

    def windows(self, at: float) -> list[tuple[str, Window]]:
        """Return what workspaces spent, and forget what is too old.

        A workspace may have several windows.
        """
        before = at - self._window_s
        self._windows = recent(self._windows, before)
        apart = {entry: recent(found, before) for entry, found in self._apart.items()}
        self._apart = {entry: found for entry, found in apart.items() if found}
        names = self._windows.keys() | {n for w in self._apart.values() for n in w}
        return [(name, window) for name in names for window in self._larger(name)]

    def names(self, at: float) -> set[str]:
        """Return the workspaces that spent something, as far as it is known."""
        self._expire_if_due(at)
        reported = {name for name, w in self._windows.items() if w.total > 0}
        return reported | {n for n, units in self._apart_units.items() if units > 0}

    def known(self, name: str, at: float) -> float:
        """Return the known units in the window that ends at `at`, or did lately."""
        self._expire_if_due(at)
        reported = self._windows.get(name)
        reported_units = 0.0 if reported is None else reported.total
        return max(reported_units, self._apart_units[name])

    def _expire_if_due(self, at: float) -> None:
        """Drop the units that have left the window, and count the others."""
        if at < self._expiry_at:
            return
        before = at - self._window_s
        self._expiry_at = math.inf
        self._apart_units.clear()
        for windows in self._apart.values():
            expire_all(windows, before)
            self._count_apart(windows, at)
        expire_all(self._windows, before)
        self._plan_expiry(self._windows, at)

    def _count_apart(self, windows: dict[str, Window], at: float) -> None:
        for name, window in windows.items():
            self._apart_units[name] += window.total
        self._plan_expiry(windows, at)

    def _plan_expiry(self, windows: dict[str, Window], at: float) -> None:
        """Expire once the oldest units leave the window, but not all the time."""
        began_at = (w.buckets[0][0] for w in windows.values() if w.buckets)
        oldest_at = min(began_at, default=math.inf) + BUCKET_S + self._window_s
        self._expiry_at = min(self._expiry_at, max(oldest_at, at + EXPIRY_PERIOD_S))

    def _larger(self, name: str) -> list[Window]:
        """Return a workspace's windows, as predecessors or as entries reported them.

        Predecessors counted most of what entries admitted themselves; so the larger
        count of the two is used.
        """
        apart = [windows[name] for windows in self._apart.values() if name in windows]
        reported = self._windows.get(name, Window())
        if reported.total >= sum(window.total for window in apart):
            return [reported]
        return apart

    def possible(self, limit: float, alone_since: float | None, at: float) -> float:
        """Return the units that may have been spent before they were counted.

        An entry that decides alone counts only what it spends since `alone_since`.
        """
        unseen_until = self.counted_since
        if alone_since is not None:
            unseen_until = max(unseen_until, alone_since)
        elapsed_s = max(at - unseen_until, 0.0)
        if elapsed_s >= self._window_s:
            return 0.0
        return min(limit, limit * (BURST_SHARE + 1.0 - elapsed_s / self._window_s))
