"""Capacity of a backend server that is reserved for higher tiers.

The recent mean load of higher tiers, with a margin for its fluctuation, is not
available to lower ones. So a higher-tier request can mostly start at once, without
preempting a run. While higher tiers are idle, nothing is reserved.
"""

import math
from abc import ABC, abstractmethod

from fuchsiacroft.routing.rank_load import RankLoads
from fuchsiacroft.utils.clock import now

AVERAGING_TIME_S = 15.0
MARGIN_DEVIATIONS = 1.0
MIN_MEAN_LOAD = 0.05


class CapacityReserve(ABC):
    """Tracks the load of one backend server by rank."""

    @abstractmethod
    def record_load(self, rank: int, change: float) -> None:
        """Record the load that a run of a rank adds or removes."""

    @abstractmethod
    def reserved_above(self, rank: int) -> float:
        """Return the load that is reserved for ranks above this one."""

    @abstractmethod
    def load_at_or_below(self, rank: int) -> float:
        """Return the load of this tier and lower ones."""


class NoReserve(CapacityReserve):
    """The baseline: nothing is reserved."""

    def record_load(self, rank: int, change: float) -> None:
        """Do nothing."""

    def reserved_above(self, rank: int) -> float:
        """Return 0."""
        return 0

    def load_at_or_below(self, rank: int) -> float:
        """Return 0."""
        return 0


class MeasuredReserve(CapacityReserve):
    """Reserves the mean load of higher tiers and a margin."""

    def __init__(self) -> None:
        self._loads = RankLoads(AVERAGING_TIME_S)

    def record_load(self, rank: int, change: float) -> None:
        """Record the load of a run that starts or ends at a rank."""
        self._loads.add(rank, change, now())

    def reserved_above(self, rank: int) -> float:
        """Return the mean load of higher tiers with the margin."""
        mean = self._loads.mean_above(rank, now())
        if mean < MIN_MEAN_LOAD:
            return 0
        return mean + MARGIN_DEVIATIONS * math.sqrt(mean)

    def load_at_or_below(self, rank: int) -> float:
        """Return the load of this tier and lower ones."""
        return self._loads.at_or_below(rank)
