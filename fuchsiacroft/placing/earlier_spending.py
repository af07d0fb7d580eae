"""Units that were spent before a coordinator began to count, known or possible.

A coordinator's count ends with its process. Its successor learns of it from others. If
it learns nothing, as much may have been spent as the pace of admission allows, and as
late: a burst at once, and the rest evenly before.
"""

import math

from fuchsiacroft.placing.quota_window import Window

BURST_SHARE = 0.2
"""Share of a window's units that may be spent at once."""


class EarlierSpending:
    """What predecessors spent of each quota in a window of `window_s` seconds.

    Nothing is known of the time before `counted_since`, on the loop's clock.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._windows: dict[str, Window] = {}
        self.counted_since = -math.inf

    def add(self, units: dict[str, tuple[float, ...]], at: float) -> None:
        """Count the units, by age, that predecessors had spent by a time.

        Where several reports hold the same units, the one that counts more is used.
        """
        for name, by_age in units.items():
            window = Window.from_ages(by_age, at)
            if window.total >= self.known(name, at):
                self._windows[name] = window

    def windows(self, at: float) -> dict[str, Window]:
        """Return what each workspace spent, and forget what is too old."""
        for window in self._windows.values():
            window.expire(at - self._window_s)
        self._windows = {n: w for n, w in self._windows.items() if w.buckets}
        return self._windows

    def known(self, name: str, at: float) -> float:
        """Return the known units in the window that ends at `at`."""
        window = self._windows.get(name)
        if window is None:
            return 0.0
        window.expire(at - self._window_s)
        return window.total

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
