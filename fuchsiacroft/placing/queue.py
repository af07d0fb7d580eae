"""Requests that wait for a place, the most urgent and then the oldest first."""

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass

from fuchsiacroft.placing.messages import PlaceRequest


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits; it is given up at `until`."""

    request: PlaceRequest
    arrived_at: float
    until: float
    gone: bool = False


class Queue:
    """The waiters of one service."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Waiter]] = []
        self._numbers = itertools.count()
        self._ranks: Counter[int] = Counter()

    def __len__(self) -> int:
        """Return how many wait."""
        return self._ranks.total()

    def ahead_of(self, rank: int) -> int:
        """Return how many would be placed before a new waiter of a rank."""
        return sum(count for other, count in self._ranks.items() if other <= rank)

    def by_rank(self) -> dict[int, int]:
        """Return how many wait at each rank."""
        return {rank: count for rank, count in sorted(self._ranks.items()) if count}

    def add(self, waiter: Waiter) -> None:
        """Take a waiter in."""
        rank = waiter.request.ask.rank
        heapq.heappush(self._heap, (rank, next(self._numbers), waiter))
        self._ranks[rank] += 1

    def remove(self, waiter: Waiter) -> None:
        """Take a waiter out, wherever it stands."""
        if not waiter.gone:
            waiter.gone = True
            self._ranks[waiter.request.ask.rank] -= 1

    def waiters(self) -> list[Waiter]:
        """Return the waiters in the order in which they are placed."""
        self._heap = [item for item in self._heap if not item[2].gone]
        heapq.heapify(self._heap)
        return [item[2] for item in sorted(self._heap, key=lambda item: item[:2])]

    def head(self) -> Waiter | None:
        """Return the waiter that is placed next."""
        while self._heap and self._heap[0][2].gone:
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None
