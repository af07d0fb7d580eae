"""Room kept free on a backend server for the tiers above a request's own.

What higher tiers have used lately, with a margin for their fluctuation, is not
given to lower ones. So a higher-tier request mostly finds room at once, and no
run has to be cut for it. When higher tiers are idle, nothing is kept.
"""

import math
from abc import ABC, abstractmethod

from fuchsiacroft.utils.clock import now

AVERAGING_TIME_S = 15.0
MARGIN_DEVIATIONS = 1.0
MIN_MEAN_LOAD = 0.05


class CapacityReserve(ABC):
    """Follows the runs of one backend server by rank."""

    @abstractmethod
    def record_load(self, rank: int, change: float) -> None:
        """Note the load that a run of a rank adds or takes away."""

    @abstractmethod
    def reserved_above(self, rank: int) -> float:
        """Return the load that a request of this rank may not take."""

    @abstractmethod
    def load_at_or_below(self, rank: int) -> float:
        """Return the load of this rank and lower ones."""


class NoReserve(CapacityReserve):
    """The baseline: all room is for whoever comes."""

    def record_load(self, rank: int, change: float) -> None:
        """Do nothing."""

    def reserved_above(self, rank: int) -> float:
        """Return 0."""
        return 0

    def load_at_or_below(self, rank: int) -> float:
        """Return 0."""
        return 0


class RankLoad:
    """The load of one rank now, and its mean over the memory."""

    def __init__(self) -> None:
        self.load = 0.0
        self._mean = 0.0
        self._updated_at = now()

    def add(self, change: float) -> None:
        """Count a start or an end."""
        self._update_mean()
        self.load += change

    def mean(self) -> float:
        """Return the mean load lately."""
        self._update_mean()
        return self._mean

    def _update_mean(self) -> None:
        at = now()
        fade = math.exp((self._updated_at - at) / AVERAGING_TIME_S)
        self._mean = self._mean * fade + self.load * (1.0 - fade)
        self._updated_at = at


class MeasuredReserve(CapacityReserve):
    """Keeps the mean use of higher ranks and a margin."""

    def __init__(self) -> None:
        self._ranks: dict[int, RankLoad] = {}

    def record_load(self, rank: int, change: float) -> None:
        """Count a start or an end at a rank."""
        use = self._ranks.get(rank)
        if use is None:
            use = self._ranks[rank] = RankLoad()
        use.add(change)

    def reserved_above(self, rank: int) -> float:
        """Return the mean use of higher ranks with the margin."""
        mean = sum(use.mean() for above, use in self._ranks.items() if above < rank)
        if mean < MIN_MEAN_LOAD:
            return 0
        return mean + MARGIN_DEVIATIONS * math.sqrt(mean)

    def load_at_or_below(self, rank: int) -> float:
        """Return the load of this rank and lower ones."""
        return sum(use.load for other, use in self._ranks.items() if other >= rank)
