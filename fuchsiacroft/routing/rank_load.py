"""The load of each rank, now and as a recent mean."""

import math


class RankLoad:
    """The current load of one rank, and its exponentially weighted mean."""

    def __init__(self, averaging_s: float, at: float) -> None:
        self.load = 0.0
        self._averaging_s = averaging_s
        self._mean = 0.0
        self._updated_at = at

    def add(self, change: float, at: float) -> None:
        """Record the load of a run that starts or ends."""
        self._update_mean(at)
        self.load += change

    def mean(self, at: float) -> float:
        """Return the recent mean load."""
        self._update_mean(at)
        return self._mean

    def _update_mean(self, at: float) -> None:
        decay = math.exp((self._updated_at - at) / self._averaging_s)
        self._mean = self._mean * decay + self.load * (1.0 - decay)
        self._updated_at = at


class RankLoads:
    """The loads of all ranks; `averaging_s` is the time constant of the means."""

    def __init__(self, averaging_s: float) -> None:
        self._averaging_s = averaging_s
        self._ranks: dict[int, RankLoad] = {}

    def add(self, rank: int, change: float, at: float) -> None:
        """Record the load of a run that starts or ends."""
        if rank not in self._ranks:
            self._ranks[rank] = RankLoad(self._averaging_s, at)
        self._ranks[rank].add(change, at)

    def ranks(self) -> list[int]:
        """Return the ranks that have had a load, the most urgent first."""
        return sorted(self._ranks)

    def mean_above(self, rank: int, at: float) -> float:
        """Return the recent mean load of the ranks that are more urgent."""
        return sum(
            rank_load.mean(at)
            for other, rank_load in self._ranks.items()
            if other < rank
        )

    def at_or_below(self, rank: int) -> float:
        """Return the present load of this rank and of less urgent ones."""
        return sum(
            rank_load.load for other, rank_load in self._ranks.items() if other >= rank
        )
