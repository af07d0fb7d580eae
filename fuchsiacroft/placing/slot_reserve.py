"""Slots that ranks of long runs leave free for more urgent ones.

It answers a load in which long, less urgent requests are always queued and urgent
ones arrive in clusters. Each slot that becomes free between two clusters would go to
a long request, and the next cluster would wait for the ends of long runs. Therefore a
request of a rank of long runs is placed only if some slots remain free after it:
about the deviation of the number of urgent runs, the square root of their mean.

Ranks whose runs are not much longer than the more urgent ones are exempt, since their
slots are free again as soon as those of urgent runs: free slots would only be lost in
an overload of all ranks. All requests of a rank are treated alike, so that its largest
ones are served as often as the others.
"""

import math

from fuchsiacroft.placing.moving_average import moving_average
from fuchsiacroft.routing.rank_load import RankLoads

AVERAGING_TIME_S = 5.0
LONG_RUN_RATIO = 2.0
"""Runs are long if they take this many times as long as those of a more urgent rank."""
LEARNING_RATE = 0.05
"""Weight of the newest run in the mean run time of its rank."""
MIN_MEAN_LOAD = 0.05
"""Mean number of urgent runs below which no slot is kept free."""
MAX_SHARE = 1 / 3
"""Largest share of the slots that is kept free."""


class SlotReserve:
    """The runs of one service by rank, and the slots that are kept free for them."""

    def __init__(self) -> None:
        self._loads = RankLoads(AVERAGING_TIME_S)
        self._run_s: dict[int, float] = {}

    def add(self, rank: int, runs: int, at: float) -> None:
        """Record runs of a rank that start, or end if the number is negative."""
        self._loads.add(rank, runs, at)

    def ranks(self) -> list[int]:
        """Return the ranks that have had runs, the most urgent first."""
        return self._loads.ranks()

    def urgent_load(self, rank: int, at: float) -> float:
        """Return the recent mean number of runs that are more urgent than a rank."""
        return self._loads.mean_above(rank, at)

    def record_run(self, rank: int, run_s: float) -> None:
        """Record the time of a completed run."""
        known = self._run_s.get(rank)
        self._run_s[rank] = moving_average(known, run_s, LEARNING_RATE)

    def kept_free(self, rank: int, slots: int, at: float) -> int:
        """Return how many of the slots a request of a rank leaves free."""
        if not self._has_long_runs(rank):
            return 0
        mean = self.urgent_load(rank, at)
        if mean < MIN_MEAN_LOAD:
            return 0
        return min(math.ceil(math.sqrt(mean)), int(MAX_SHARE * slots))

    def _has_long_runs(self, rank: int) -> bool:
        """Return whether runs of a rank are much longer than all more urgent ones."""
        urgent = [run_s for other, run_s in self._run_s.items() if other < rank]
        longest_s = max(urgent, default=math.inf)
        return self._run_s.get(rank, 0.0) >= LONG_RUN_RATIO * longest_s
