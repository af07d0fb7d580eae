"""Load shedding policies: the interface, and rejecting the newest request."""

from abc import ABC, abstractmethod

from fuchsiacroft.routing.owned_server import OwnedServer, Run
from fuchsiacroft.routing.wait_estimates import WaitEstimates
from fuchsiacroft.routing.waiting_queue import Waiter, WaitingQueue


class SheddingPolicy(ABC):
    """Decides which requests to refuse, to evict or to preempt."""

    @abstractmethod
    def admits(
        self,
        waiter: Waiter,
        queue: WaitingQueue,
        wait_estimates: WaitEstimates,
        servers: list[OwnedServer],
    ) -> bool:
        """Return whether a new waiter may be queued."""

    @abstractmethod
    def preempt_at(self, waiter: Waiter) -> float | None:
        """Return when to preempt a run for a waiter, or None for never."""

    @abstractmethod
    def refuse_at(self, waiter: Waiter) -> float | None:
        """Return when to refuse a waiter, or None for its deadline."""

    @abstractmethod
    def victim(self, rank: int, servers: list[OwnedServer]) -> Run | None:
        """Return the run to preempt so that one of this rank can start."""

    @abstractmethod
    def waiters_to_evict(self, rank: int, queue: WaitingQueue) -> list[Waiter]:
        """Return the waiters to refuse before one of this rank is refused."""


class RejectNewest(SheddingPolicy):
    """Refuses new requests while the queue is full."""

    def __init__(self, queue_limit: int) -> None:
        self._queue_limit = queue_limit

    def admits(
        self,
        waiter: Waiter,
        queue: WaitingQueue,
        wait_estimates: WaitEstimates,
        servers: list[OwnedServer],
    ) -> bool:
        """Return whether the queue is below its limit."""
        return len(queue) < self._queue_limit

    def preempt_at(self, waiter: Waiter) -> float | None:
        """Return None: no run is preempted."""
        return None

    def refuse_at(self, waiter: Waiter) -> float | None:
        """Return None: waiters stay queued until their deadline."""
        return None

    def victim(self, rank: int, servers: list[OwnedServer]) -> Run | None:
        """Return None: no run is preempted."""
        return None

    def waiters_to_evict(self, rank: int, queue: WaitingQueue) -> list[Waiter]:
        """Return no waiters."""
        return []
