"""Room kept free on a backend server for the tiers above a request's own.

What higher tiers have used lately, with a margin for their fluctuation, is not
given to lower ones. So a higher-tier request mostly finds room at once, and no
run has to be cut for it. When higher tiers are idle, nothing is kept.
"""

import math
from abc import ABC, abstractmethod

from fuchsiacroft.utils.clock import now

MEMORY_S = 15.0
MARGIN_DEVIATIONS = 2.0
MIN_MEAN_RUNS = 0.05


class Reserve(ABC):
    """Follows the runs of one backend server by rank."""

    @abstractmethod
    def note(self, rank: int, change: int) -> None:
        """Note that a run of a rank starts (1) or ends (-1)."""

    @abstractmethod
    def kept_from(self, rank: int) -> int:
        """Return the places that a request of this rank may not take."""

    @abstractmethod
    def below(self, rank: int) -> int:
        """Return how many runs of this rank and lower ones there are."""


class NoReserve(Reserve):
    """The baseline: all room is for whoever comes."""

    def note(self, rank: int, change: int) -> None:
        """Do nothing."""

    def kept_from(self, rank: int) -> int:
        """Return 0."""
        return 0

    def below(self, rank: int) -> int:
        """Return 0."""
        return 0


class RankUse:
    """The runs of one rank now, and their mean over the memory."""

    def __init__(self) -> None:
        self.runs = 0
        self._mean = 0.0
        self._at = now()

    def note(self, change: int) -> None:
        """Count a start or an end."""
        self._follow()
        self.runs += change

    def mean(self) -> float:
        """Return the mean number of runs lately."""
        self._follow()
        return self._mean

    def _follow(self) -> None:
        at = now()
        fade = math.exp((self._at - at) / MEMORY_S)
        self._mean = self._mean * fade + self.runs * (1.0 - fade)
        self._at = at


class MeasuredReserve(Reserve):
    """Keeps the mean use of higher ranks and a margin."""

    def __init__(self) -> None:
        self._ranks: dict[int, RankUse] = {}

    def note(self, rank: int, change: int) -> None:
        """Count a start or an end at a rank."""
        use = self._ranks.get(rank)
        if use is None:
            use = self._ranks[rank] = RankUse()
        use.note(change)

    def kept_from(self, rank: int) -> int:
        """Return the mean use of higher ranks with the margin, rounded down."""
        mean = sum(use.mean() for above, use in self._ranks.items() if above < rank)
        if mean < MIN_MEAN_RUNS:
            return 0
        return int(mean + MARGIN_DEVIATIONS * math.sqrt(mean) + 0.5)

    def below(self, rank: int) -> int:
        """Return how many runs of this rank and lower ones there are."""
        return sum(use.runs for other, use in self._ranks.items() if other >= rank)
