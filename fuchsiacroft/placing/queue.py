"""Requests that wait for a place, in the order in which they get one.

The load that the order answers: for seconds, more requests than there are
places for. In the order of arrival each would wait longer than the one before,
until all are served late. So requests that can still be answered in time go
before those that cannot, and among equals a short one goes before a long one
that came little earlier. A quick one that is in time also goes before late ones
of the next more urgent rank: those are late anyhow, wait hardly longer for it,
and would otherwise keep every less urgent request out for as long as the load
lasts.
"""

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from fuchsiacroft.placing.messages import PlaceRequest

LENGTH_WEIGHT = 0.5
"""Seconds of arrival for which a second of run counts in the order."""


class Level(IntEnum):
    """The order of those that wait at one rank."""

    IN_TIME = 0
    QUICK_OF_NEXT_RANK = 1
    LATE = 2


class Position(NamedTuple):
    """Where in a queue a request waits; the least is placed first."""

    rank: int
    level: Level


def position(rank: int, *, is_late: bool, is_quick: bool) -> Position:
    """Return where a request of a rank waits."""
    if is_late:
        return Position(rank, Level.LATE)
    if is_quick:
        return Position(rank - 1, Level.QUICK_OF_NEXT_RANK)
    return Position(rank, Level.IN_TIME)


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits, and took its part of a quota when it was admitted.

    It can be answered in time if it is placed before `in_time_until`, and is
    given up at `until`. A quick one takes a place for a small part of the usual
    time.
    """

    request: PlaceRequest
    admitted_at: float
    arrived_at: float
    in_time_until: float
    until: float
    run_s: float
    is_quick: bool = False
    late: bool = False
    removed: bool = False

    @property
    def rank(self) -> int:
        """Return the rank of the request."""
        return self.request.ask.rank

    @property
    def position(self) -> Position:
        """Return where in the queue it waits."""
        return position(self.rank, is_late=self.late, is_quick=self.is_quick)

    @property
    def position_in_time(self) -> Position:
        """Return where it would wait if it could still be answered in time."""
        return position(self.rank, is_late=False, is_quick=self.is_quick)


class Queue:
    """The waiters of one service, in the order of their positions."""

    def __init__(self) -> None:
        self._heap: list[tuple[Position, float, int, Waiter]] = []
        self._numbers = itertools.count()
        self._counts: Counter[Position] = Counter()

    def __len__(self) -> int:
        """Return how many wait."""
        return self._counts.total()

    def ahead_of(self, place: Position) -> int:
        """Return how many would be placed before a new waiter."""
        return sum(count for other, count in self._counts.items() if other <= place)

    def late(self) -> int:
        """Return how many can no longer be answered in time."""
        return sum(
            count for place, count in self._counts.items() if place.level is Level.LATE
        )

    def by_rank(self) -> dict[int, int]:
        """Return how many wait at each rank."""
        ranks = Counter(waiter.rank for waiter in self.waiters())
        return dict(sorted(ranks.items()))

    def add(self, waiter: Waiter) -> None:
        """Take a waiter in."""
        key = waiter.arrived_at + LENGTH_WEIGHT * waiter.run_s
        place = waiter.position
        heapq.heappush(self._heap, (place, key, next(self._numbers), waiter))
        self._counts[place] += 1

    def remove(self, waiter: Waiter) -> None:
        """Take a waiter out, wherever it stands."""
        if not waiter.removed:
            waiter.removed = True
            self._counts[waiter.position] -= 1

    def head(self) -> Waiter | None:
        """Return the waiter that is placed next."""
        while self._heap and self._heap[0][-1].removed:
            heapq.heappop(self._heap)
        return self._heap[0][-1] if self._heap else None

    def waiters(self) -> list[Waiter]:
        """Return the waiters in the order in which they are placed."""
        self._heap = sorted(item for item in self._heap if not item[-1].removed)
        return [item[-1] for item in self._heap]

    def last_late(self) -> Waiter | None:
        """Return the late waiter that is placed after all others."""
        late = (item for item in self._heap if item[-1].late and not item[-1].removed)
        last = max(late, default=None)
        return last[-1] if last is not None else None
