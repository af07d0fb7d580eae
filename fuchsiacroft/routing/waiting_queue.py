"""The order of waiting work: the interface, and first come first served."""

import asyncio
from abc import ABC, abstractmethod
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from fuchsiacroft.routing.permits import PermitRequest

LAST_ATTEMPT = -1


@dataclass(slots=True, eq=False)
class Waiter:
    """An ask in a queue; times are on the loop's clock, in seconds.

    `latest_start` is the last time at which its run, as estimated, would end
    in time. `position` is 0 at the owner asked first, which alone may refuse
    early, and counts the others; it is `LAST_TRY` after that refusal.
    `fut` gets a `Result[Permit, Refusal]`.
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
        """Tell whether the ask has its answer or nobody waits for it."""
        return self.fut.done()


class WaitingQueue(ABC):
    """The asks that wait for one service."""

    def __init__(self) -> None:
        self._ranks: Counter[int] = Counter()
        self._workspaces: Counter[tuple[int, str]] = Counter()

    def add(self, waiter: Waiter) -> None:
        """Take a waiter in."""
        waiter.is_queued = True
        self._ranks[waiter.request.rank] += 1
        self._workspaces[waiter.request.rank, waiter.request.workspace] += 1
        self._enqueue(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Take a waiter out, wherever it stands; its place is freed lazily."""
        if not waiter.is_queued:
            return
        waiter.is_queued = False
        self._ranks[waiter.request.rank] -= 1
        key = (waiter.request.rank, waiter.request.workspace)
        self._workspaces[key] -= 1
        if not self._workspaces[key]:
            del self._workspaces[key]

    def __len__(self) -> int:
        """Return how many wait."""
        return self._ranks.total()

    def count(self, rank: int, workspace: str | None = None) -> int:
        """Return how many wait at a rank, of one workspace or of all."""
        if workspace is None:
            return self._ranks[rank]
        return self._workspaces.get((rank, workspace), 0)

    def counts_by_rank(self) -> dict[int, int]:
        """Return how many wait at each rank."""
        return {rank: count for rank, count in sorted(self._ranks.items()) if count}

    @abstractmethod
    def _enqueue(self, waiter: Waiter) -> None:
        """Store a waiter."""

    @abstractmethod
    def head(self) -> Waiter | None:
        """Return the waiter that runs next."""

    @abstractmethod
    def record_start(self, waiter: Waiter) -> None:
        """Note that a waiter, removed already, was given a permit."""

    @abstractmethod
    def share_of(self, request: PermitRequest) -> float:
        """Return the part of its tier's room that goes to the workspace."""

    @abstractmethod
    def __iter__(self) -> Iterator[Waiter]:
        """Go through all who wait, in no particular order."""


class FifoQueue(WaitingQueue):
    """First come, first served."""

    def __init__(self) -> None:
        super().__init__()
        self._waiters: deque[Waiter] = deque()

    def _enqueue(self, waiter: Waiter) -> None:
        self._waiters.append(waiter)

    def head(self) -> Waiter | None:
        """Return the waiter that came first."""
        while self._waiters and not self._waiters[0].is_queued:
            self._waiters.popleft()
        return self._waiters[0] if self._waiters else None

    def record_start(self, waiter: Waiter) -> None:
        """Do nothing: only arrival counts."""

    def share_of(self, request: PermitRequest) -> float:
        """Return 1: workspaces are not told apart."""
        return 1.0

    def __iter__(self) -> Iterator[Waiter]:
        """Go through all who wait."""
        return (waiter for waiter in list(self._waiters) if waiter.is_queued)
