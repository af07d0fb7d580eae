"""What is given up under overload: the interface, and rejecting the newest."""

from abc import ABC, abstractmethod

from fuchsiacroft.routing.owned_server import OwnedServer, Run
from fuchsiacroft.routing.wait_estimates import WaitEstimates
from fuchsiacroft.routing.waiting_queue import Waiter, WaitingQueue


class SheddingPolicy(ABC):
    """Decides whom to refuse, evict or cut."""

    @abstractmethod
    def admits(
        self,
        waiter: Waiter,
        queue: WaitingQueue,
        wait_estimates: WaitEstimates,
        servers: list[OwnedServer],
    ) -> bool:
        """Tell whether a new ask may wait."""

    @abstractmethod
    def preempt_at(self, waiter: Waiter) -> float | None:
        """Return when to make room for a waiter, or None for never."""

    @abstractmethod
    def refuse_at(self, waiter: Waiter) -> float | None:
        """Return when a waiter is refused, or None for its deadline."""

    @abstractmethod
    def victim(self, rank: int, servers: list[OwnedServer]) -> Run | None:
        """Return the run to cut so that one of this rank can start."""

    @abstractmethod
    def waiters_to_evict(self, rank: int, queue: WaitingQueue) -> list[Waiter]:
        """Return the waiters to refuse before one of this rank is refused."""


class RejectNewest(SheddingPolicy):
    """A bounded queue; whoever comes when it is full is refused."""

    def __init__(self, queue_limit: int) -> None:
        self._queue_limit = queue_limit

    def admits(
        self,
        waiter: Waiter,
        queue: WaitingQueue,
        wait_estimates: WaitEstimates,
        servers: list[OwnedServer],
    ) -> bool:
        """Tell whether the queue has a free place."""
        return len(queue) < self._queue_limit

    def preempt_at(self, waiter: Waiter) -> float | None:
        """Return None: no room is made."""
        return None

    def refuse_at(self, waiter: Waiter) -> float | None:
        """Return None: waiters stay until their deadline."""
        return None

    def victim(self, rank: int, servers: list[OwnedServer]) -> Run | None:
        """Return None: no run is cut."""
        return None

    def waiters_to_evict(self, rank: int, queue: WaitingQueue) -> list[Waiter]:
        """Return nobody."""
        return []
