"""Priority queue of the requests that wait for a slot.

The order is designed for overload that lasts for seconds. In order of arrival, each
request would wait longer than the one before, until all are served late. Requests
that can still be answered in time therefore precede late ones, and among equals a
short request precedes a long one that arrived slightly earlier. A short request
that is in time also precedes late requests of the next more urgent rank: those are
late in any case, are hardly delayed by it, and would otherwise block all less
urgent requests for as long as the overload lasts. A request that continues a stream
goes first in its rank: its caller waits in the middle of an answer, and only servers
of one version may go on with it.
"""

import itertools
from bisect import insort
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from fuchsiacroft.placing.messages import PlaceRequest
from fuchsiacroft.routing.permits import PermitRequest

RUN_LENGTH_WEIGHT = 0.5
"""Each second of expected run time counts as this many seconds of later arrival."""
MAX_RUN_LENGTH_DELAY_S = 0.5
"""Limit of that; without it the longest requests of a rank would never be placed."""


class WaitClass(IntEnum):
    """The order of the waiters of one rank.

    `CONTINUED` holds those that continue a stream, and `PROMOTED` the short requests of
    the next less urgent rank.
    """

    CONTINUED = -1
    IN_TIME = 0
    PROMOTED = 1
    LATE = 2


class Position(NamedTuple):
    """Sort key of a queue position; the lowest is placed first."""

    rank: int
    wait_class: WaitClass


Item = tuple[Position, float, int, "Waiter"]
"""A waiter with the keys of its order: position, arrival and number."""


def position(
    rank: int, *, is_late: bool, is_short: bool, continues: bool = False
) -> Position:
    """Return the queue position of a request."""
    if continues:
        return Position(rank, WaitClass.CONTINUED)
    if is_late:
        return Position(rank, WaitClass.LATE)
    if is_short:
        return Position(rank - 1, WaitClass.PROMOTED)
    return Position(rank, WaitClass.IN_TIME)


@dataclass(slots=True, eq=False)
class Waiter:
    """A queued request; its quota was charged on admission.

    It can be answered in time if it is placed before `in_time_until`, and times out
    at `expires_at`. A short request occupies a slot for a small part of the mean run
    time. `removed` marks a deleted item that is still in the heap.
    """

    request: PlaceRequest
    admitted_at: float
    arrived_at: float
    in_time_until: float
    expires_at: float
    run_s: float
    is_short: bool = False
    late: bool = False
    removed: bool = False

    @property
    def rank(self) -> int:
        """Return the rank of the request."""
        return self.request.ask.rank

    @property
    def workspace(self) -> str:
        """Return the workspace of the request."""
        return self.request.ask.workspace

    @property
    def version(self) -> str | None:
        """Return the software version at which it continues a stream, or None."""
        return self.request.ask.version

    @property
    def position(self) -> Position:
        """Return the position in the queue."""
        return position(
            self.rank,
            is_late=self.late,
            is_short=self.is_short,
            continues=self.version is not None,
        )

    @property
    def position_in_time(self) -> Position:
        """Return the position that it would have if it were still in time."""
        return position(
            self.rank,
            is_late=False,
            is_short=self.is_short,
            continues=self.version is not None,
        )


class Queue:
    """The waiters of one service, ordered by position."""

    def __init__(self) -> None:
        self._items: list[Item] = []
        self._removed = 0
        self._sequence = itertools.count()
        self._counts: Counter[Position] = Counter()
        self._awaited: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return the number of waiters."""
        return self._counts.total()

    def ahead_of(self, pos: Position) -> int:
        """Return how many waiters for any server precede a new one at a position."""
        return sum(
            count
            for other, count in self._counts.items()
            if other <= pos and other.wait_class is not WaitClass.CONTINUED
        )

    def ahead_for(self, permit_request: PermitRequest, pos: Position) -> int:
        """Return how many waiters for any server precede a request at a position."""
        return self.ahead_of(pos)

    def awaiting(self, version: str) -> int:
        """Return how many waiters continue a stream of a software version."""
        return self._awaited[version]

    @property
    def awaited_versions(self) -> frozenset[str]:
        """Return the software versions for which waiters continue a stream."""
        return frozenset(version for version, count in self._awaited.items() if count)

    def late(self) -> int:
        """Return how many waiters can no longer be answered in time."""
        return sum(
            count
            for pos, count in self._counts.items()
            if pos.wait_class is WaitClass.LATE
        )

    def by_rank(self) -> dict[int, int]:
        """Return the number of waiters of each rank."""
        ranks = Counter(waiter.rank for waiter in self.waiters())
        return dict(sorted(ranks.items()))

    def add(self, waiter: Waiter) -> None:
        """Add a waiter."""
        delay_s = min(RUN_LENGTH_WEIGHT * waiter.run_s, MAX_RUN_LENGTH_DELAY_S)
        key = waiter.arrived_at + delay_s
        pos = waiter.position
        self._insert((pos, key, next(self._sequence), waiter))
        self._counts[pos] += 1
        if waiter.version is not None:
            self._awaited[waiter.version] += 1

    def _insert(self, item: Item) -> None:
        insort(self._items, item)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter at any position."""
        if not waiter.removed:
            waiter.removed = True
            self._removed += 1
            self._counts[waiter.position] -= 1
            if waiter.version is not None:
                self._awaited[waiter.version] -= 1

    def head(self) -> Waiter | None:
        """Return the waiter that is placed next."""
        return next(iter(self.waiters()), None)

    def record_start(
        self, permit_request: PermitRequest, run_s: float, at: float, *, late: bool
    ) -> None:
        """Record that a run was placed here; it doesn't change the order."""

    def late_wait_s(self, waiter: Waiter, slots: float, at: float) -> float:
        """Return the expected wait of a new late request; 0 if nothing is known."""
        return 0.0

    def waiters(self) -> Iterable[Waiter]:
        """Iterate over the waiters in order of placement.

        The caller may remove waiters meanwhile, but not add any.
        """
        self._drop_removed()
        for *_, waiter in self._items:
            if not waiter.removed:
                yield waiter

    def _drop_removed(self) -> None:
        """Drop the removed items once they are as many as the others."""
        if 2 * self._removed > len(self._items):
            self._items = [item for item in self._items if not item[-1].removed]
            self._removed = 0

    def last_late(self) -> Waiter | None:
        """Return the late waiter that is placed last."""
        late = (waiter for *_, waiter in reversed(self._items) if waiter.late)
        return next((waiter for waiter in late if not waiter.removed), None)

    def may_displace(self, waiter: Waiter) -> bool:
        """Return whether another late waiter would be refused before a new one."""
        last = self.last_late()
        return last is not None and last.rank > waiter.rank

    def dump_shares(self) -> dict:
        """Return what each workspace is due; nothing without shares."""
        return {}

    def share_fields(self, permit_request: PermitRequest) -> dict:
        """Return the log fields on the share of a request's workspace."""
        return {}
