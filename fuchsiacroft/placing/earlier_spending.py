"""Units that were spent before a coordinator began to count, known or possible.

A coordinator's count ends with its process. What its successor learns of it are sums
without times, and maybe nothing, so the units are taken to be spent as late as the pace
of admission allows: a burst at once, and the rest evenly before.
"""

import math
from dataclasses import dataclass

BURST_SHARE = 0.2
"""Share of a window's units that may be spent at once."""


@dataclass(frozen=True, slots=True)
class SpentUnits:
    """Units that a workspace had spent in the window that ended at `at`."""

    units: float
    at: float


class EarlierSpending:
    """What predecessors spent of each quota in a window of `window_s` seconds.

    Nothing is known of the time before `counted_since`, on the loop's clock.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._spent: dict[str, list[SpentUnits]] = {}
        self.counted_since = -math.inf

    def add(self, spent: dict[str, float], at: float) -> None:
        """Count the units that predecessors had spent by a time.

        Where several reports tell of the same units, the one that leaves more counts.
        """
        for name, units in spent.items():
            others = [
                other
                for other in self._spent.get(name, ())
                if other.at > at or other.units > units
            ]
            self._spent[name] = [*others, SpentUnits(units, at)]

    def names(self, at: float) -> list[str]:
        """Return the workspaces that spent something, and forget the others."""
        oldest = at - self._window_s
        for name in list(self._spent):
            recent = [spent for spent in self._spent[name] if spent.at > oldest]
            if recent:
                self._spent[name] = recent
            else:
                del self._spent[name]
        return list(self._spent)

    def known(self, name: str, limit: float, at: float) -> float:
        """Return the known units in the window that ends at `at`."""
        return max(
            (
                self._left(spent.units, limit, at - spent.at)
                for spent in self._spent.get(name, ())
            ),
            default=0.0,
        )

    def possible(self, limit: float, alone_since: float | None, at: float) -> float:
        """Return the units that may have been spent before they were counted.

        An entry that decides alone counts only what it spends since `alone_since`.
        """
        unseen_until = self.counted_since
        if alone_since is not None:
            unseen_until = max(unseen_until, alone_since)
        return self._left(limit, limit, at - unseen_until)

    def _left(self, units: float, limit: float, elapsed_s: float) -> float:
        """Return the units that are still in the window after some time."""
        if elapsed_s >= self._window_s:
            return 0.0
        latest = limit * (BURST_SHARE + 1.0 - max(elapsed_s, 0.0) / self._window_s)
        return min(units, latest)
