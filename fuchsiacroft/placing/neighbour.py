"""Last reported capacity of another failure domain."""

from dataclasses import dataclass

import msgspec

from fuchsiacroft.placing.messages import ServiceCapacity

REPORT_TTL_S = 0.2
"""Reports older than this are ignored."""


@dataclass(slots=True)
class Neighbour:
    """Reported capacity of another domain, less the requests sent there since."""

    capacities: dict[str, ServiceCapacity]
    received_at: float
    backoff_until: float = 0.0

    def is_usable(self, at: float) -> bool:
        """Return whether the report is recent and the domain responds."""
        return at - self.received_at <= REPORT_TTL_S and at >= self.backoff_until

    def free(self, service: str) -> int:
        """Return the spare slots of a service."""
        capacity = self.capacities.get(service)
        return capacity.free if capacity is not None else 0

    def less_urgent_rank(self, service: str, rank: int) -> float | None:
        """Return the rank of the queue's head if a request of `rank` precedes it.

        It is infinite if the queue is empty, and None if the request would not be
        next or the service is unknown there.
        """
        capacity = self.capacities.get(service)
        if capacity is None:
            return None
        if capacity.head_rank is None:
            return float("inf")
        return capacity.head_rank if capacity.head_rank > rank else None

    def record_sent(self, service: str) -> None:
        """Count a request that was sent for a free slot."""
        self._change(service, free=self.free(service) - 1)

    def record_full(self, service: str) -> None:
        """Record that no slot was free."""
        self._change(service, free=0)

    def record_waiter(self, service: str, rank: int) -> None:
        """Record that a request of this rank heads the queue."""
        self._change(service, head_rank=rank)

    def _change(self, service: str, **changes: int) -> None:
        capacity = self.capacities.get(service)
        if capacity is not None:
            self.capacities[service] = msgspec.structs.replace(capacity, **changes)
