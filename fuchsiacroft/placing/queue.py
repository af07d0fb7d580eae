"""Requests that wait for a place, in the order in which they get one.

The load that the order answers: for seconds, more requests than there are
places for. In the order of arrival each would wait longer than the one before,
until all are served late. So requests that can still be answered in time go
before those that cannot, and among equals a short one goes before a long one
that came little earlier.
"""

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass

from fuchsiacroft.placing.messages import PlaceRequest

LENGTH_WEIGHT = 0.5
"""Seconds of arrival for which a second of run counts in the order."""


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits, and took its part of a quota when it was admitted.

    It can be answered in time if it is placed before `in_time_until`, and is
    given up at `until`.
    """

    request: PlaceRequest
    admitted_at: float
    arrived_at: float
    in_time_until: float
    until: float
    run_s: float
    late: bool = False
    gone: bool = False

    @property
    def rank(self) -> int:
        """Return the rank of the request."""
        return self.request.ask.rank


class Queue:
    """The waiters of one service, the late ones behind the others of a rank."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, bool, float, int, Waiter]] = []
        self._numbers = itertools.count()
        self._ranks: Counter[tuple[int, bool]] = Counter()

    def __len__(self) -> int:
        """Return how many wait."""
        return self._ranks.total()

    def ahead_of(self, rank: int, late: bool) -> int:
        """Return how many would be placed before a new waiter."""
        place = (rank, late)
        return sum(count for other, count in self._ranks.items() if other <= place)

    def late(self) -> int:
        """Return how many can no longer be answered in time."""
        return sum(count for (_, late), count in self._ranks.items() if late)

    def by_rank(self) -> dict[int, int]:
        """Return how many wait at each rank."""
        ranks: Counter[int] = Counter()
        for (rank, _), count in self._ranks.items():
            ranks[rank] += count
        return {rank: count for rank, count in sorted(ranks.items()) if count}

    def add(self, waiter: Waiter) -> None:
        """Take a waiter in."""
        key = waiter.arrived_at + LENGTH_WEIGHT * waiter.run_s
        place = (waiter.rank, waiter.late)
        heapq.heappush(self._heap, (*place, key, next(self._numbers), waiter))
        self._ranks[place] += 1

    def remove(self, waiter: Waiter) -> None:
        """Take a waiter out, wherever it stands."""
        if not waiter.gone:
            waiter.gone = True
            self._ranks[waiter.rank, waiter.late] -= 1

    def head(self) -> Waiter | None:
        """Return the waiter that is placed next."""
        while self._heap and self._heap[0][4].gone:
            heapq.heappop(self._heap)
        return self._heap[0][4] if self._heap else None

    def waiters(self) -> list[Waiter]:
        """Return the waiters in the order in which they are placed."""
        self._heap = sorted(item for item in self._heap if not item[4].gone)
        return [item[4] for item in self._heap]

    def last_late(self) -> Waiter | None:
        """Return the late waiter that is placed after all others."""
        late = [waiter for waiter in self.waiters() if waiter.late]
        return late[-1] if late else None
