"""Queue order of waiters: the interface, and first in, first out."""

import asyncio
from abc import ABC, abstractmethod
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from fuchsiacroft.routing.permits import PermitRequest

LAST_ATTEMPT = -1


@dataclass(slots=True, eq=False)
class Waiter:
    """A queued permit request; times are on the loop's clock, in seconds.

    `latest_start` is the latest time at which its run is expected to meet the
    deadline. `position` is 0 at the owner tried first, which alone may refuse
    early, and counts the others; it is `LAST_ATTEMPT` after that refusal.
    `fut` completes with a `Result[Permit, Refusal]`.
    """

    request: PermitRequest
    sequence: int
    arrived_at: float
    deadline: float
    run_s: float
    latest_start: float
    fut: asyncio.Future
    position: int = 0
    is_isolated: bool = False
    is_queued: bool = False
    timers: list[asyncio.TimerHandle] = field(default_factory=list)

    @property
    def is_settled(self) -> bool:
        """Return whether the request was granted, refused or cancelled."""
        return self.fut.done()


class WaitingQueue(ABC):
    """The queued permit requests of one service."""

    def __init__(self) -> None:
        self._ranks: Counter[int] = Counter()
        self._workspaces: Counter[tuple[int, str]] = Counter()

    def add(self, waiter: Waiter) -> None:
        """Add a waiter."""
        waiter.is_queued = True
        self._ranks[waiter.request.rank] += 1
        self._workspaces[waiter.request.rank, waiter.request.workspace] += 1
        self._enqueue(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter from any position; its item is dropped later."""
        if not waiter.is_queued:
            return
        waiter.is_queued = False
        self._ranks[waiter.request.rank] -= 1
        key = (waiter.request.rank, waiter.request.workspace)
        self._workspaces[key] -= 1
        if not self._workspaces[key]:
            del self._workspaces[key]

    def __len__(self) -> int:
        """Return the number of waiters."""
        return self._ranks.total()

    def count(self, rank: int, workspace: str | None = None) -> int:
        """Return the number of waiters at a rank, of one workspace or of all."""
        if workspace is None:
            return self._ranks[rank]
        return self._workspaces.get((rank, workspace), 0)

    def counts_by_rank(self) -> dict[int, int]:
        """Return the number of waiters at each rank."""
        return {rank: count for rank, count in sorted(self._ranks.items()) if count}

    @abstractmethod
    def _enqueue(self, waiter: Waiter) -> None:
        """Store a waiter."""

    @abstractmethod
    def head(self) -> Waiter | None:
        """Return the next waiter to start."""

    @abstractmethod
    def record_start(self, waiter: Waiter) -> None:
        """Record that a waiter, already removed, was granted a permit."""

    @abstractmethod
    def share_of(self, request: PermitRequest) -> float:
        """Return the workspace's share of the capacity of its tier."""

    @abstractmethod
    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over all waiters, in no particular order."""


class FifoQueue(WaitingQueue):
    """First in, first out."""

    def __init__(self) -> None:
        super().__init__()
        self._waiters: deque[Waiter] = deque()

    def _enqueue(self, waiter: Waiter) -> None:
        self._waiters.append(waiter)

    def head(self) -> Waiter | None:
        """Return the oldest waiter."""
        while self._waiters and not self._waiters[0].is_queued:
            self._waiters.popleft()
        return self._waiters[0] if self._waiters else None

    def record_start(self, waiter: Waiter) -> None:
        """Do nothing: the order depends on arrival only."""

    def share_of(self, request: PermitRequest) -> float:
        """Return 1: workspaces are not distinguished."""
        return 1.0

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over all waiters."""
        return (waiter for waiter in list(self._waiters) if waiter.is_queued)
