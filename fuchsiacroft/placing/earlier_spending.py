"""Units that were spent where a coordinator doesn't count, known or possible.

A coordinator's count ends with its process. Its successor learns of it from others.
Entries that were cut off, and decided without it, report what they spent once they
reach it. If it learns nothing of its predecessor, as much may have been spent as the
pace of admission allows, and as late: a burst at once, and the rest evenly before.
"""

import math

from fuchsiacroft.placing.quota_window import Window, recent

BURST_SHARE = 0.2
"""Share of a window's units that may be spent at once."""
UNREPORTED_S = 1.5
"""Seconds of the even pace that a coordinator may spend unreported, which its successor
counts. Reports reach others within some 0.5 s, and callers come in bursts."""


class EarlierSpending:
    """What others spent of each quota in a window of `window_s` seconds.

    Nothing is known of the time before `counted_since`, on the loop's clock.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._windows: dict[str, Window] = {}
        self._apart: dict[str, dict[str, Window]] = {}
        self.counted_since = -math.inf

    def add(self, units: dict[str, tuple[float, ...]], at: float) -> None:
        """Count the units, by age, that predecessors had spent by a time.

        Reports hold mostly the same units, and come in any order and more than once.
        """
        for name, by_age in units.items():
            counted = self._windows.get(name, Window())
            self._windows[name] = counted.merged(Window.from_ages(by_age, at))

    def replace_apart(
        self, entry: str, units: dict[str, tuple[float, ...]], at: float
    ) -> None:
        """Replace the units, by age, that an entry of the domain admitted itself."""
        self._apart.pop(entry, None)
        if units:
            self._apart[entry] = {
                name: Window.from_ages(by_age, at) for name, by_age in units.items()
            }

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

    def known(self, name: str, at: float) -> float:
        """Return the known units in the window that ends at `at`."""
        for windows in (self._windows, *self._apart.values()):
            if name in windows:
                windows[name].expire(at - self._window_s)
        return sum(window.total for window in self._larger(name))

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
