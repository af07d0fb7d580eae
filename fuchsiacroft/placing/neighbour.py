"""Last reported capacity of another failure domain."""

import math
from dataclasses import dataclass

import msgspec

from fuchsiacroft.placing.messages import ServiceCapacity

REPORT_TTL_S = 0.2
"""Reports older than this are ignored."""
SILENCE_TTL_S = 3.0
"""By this time another entry of the domain reports, or another domain has adopted its
backend servers."""


@dataclass(slots=True)
class Neighbour:
    """Reported capacity of another domain, less the requests sent there since.

    `coordinator` is the entry that reported it, at the address `peers`. It `is_acting`
    while it can't reach the domain's coordinator.
    """

    capacities: dict[str, ServiceCapacity]
    received_at: float
    backoff_until: float = 0.0
    coordinator: str = ""
    peers: str = ""
    is_acting: bool = False

    def is_usable(self, at: float) -> bool:
        """Return whether the report is recent and the domain responds."""
        return at - self.received_at <= REPORT_TTL_S and at >= self.backoff_until

    def is_reported(self, at: float) -> bool:
        """Return whether the domain's coordinator itself has reported recently."""
        return not self.is_acting and at - self.received_at <= REPORT_TTL_S

    def is_silent(self, at: float) -> bool:
        """Return whether its reports have stopped lately."""
        return REPORT_TTL_S < at - self.received_at <= SILENCE_TTL_S

    def free(self, service: str, rank: int, version: str | None = None) -> int:
        """Return the spare slots of a service for requests of a rank.

        A rank that the domain has not seen lately gets those of the next less urgent.
        With a software version, they are its free slots, for a stream that goes on.
        """
        capacity = self.capacities.get(service)
        if capacity is None:
            return 0
        if version is not None:
            return capacity.free_by_version.get(version, 0)
        known = min((r for r in capacity.free_by_rank if r >= rank), default=None)
        return capacity.free if known is None else capacity.free_by_rank[known]

    def first_event_s(self, service: str, prompt_tokens: int) -> float:
        """Return the expected time to a first event there, infinity if unknown."""
        capacity = self.capacities.get(service)
        if capacity is None or capacity.prefill is None:
            return math.inf
        return capacity.prefill.first_event_s(prompt_tokens)

    def less_urgent_rank(
        self, service: str, rank: int, version: str | None = None
    ) -> float | None:
        """Return the rank of the queue's head if a request of `rank` precedes it.

        It is infinite if the queue is empty, and None if the request would not be
        next or the service, or the software version, is unknown there.
        """
        capacity = self.capacities.get(service)
        if capacity is None:
            return None
        if version is None and not capacity.takes_new:
            return None
        if version is not None and version not in capacity.free_by_version:
            return None
        if capacity.head_rank is None:
            return math.inf
        return capacity.head_rank if capacity.head_rank > rank else None

    def record_sent(self, service: str, version: str | None = None) -> None:
        """Count a request that was sent for a free slot."""
        capacity = self.capacities.get(service)
        if capacity is not None:
            by_rank = {r: free - 1 for r, free in capacity.free_by_rank.items()}
            self._change(service, free=capacity.free - 1, free_by_rank=by_rank)
            if version is not None:
                left = capacity.free_by_version.get(version, 0) - 1
                self._set_free_of(service, version, left)

    def record_full(self, service: str, rank: int, version: str | None = None) -> None:
        """Record that no slot was free for a rank, nor for less urgent ones.

        With a software version, only that none of its slots was free.
        """
        capacity = self.capacities.get(service)
        if capacity is not None and version is not None:
            self._set_free_of(service, version, 0)
        elif capacity is not None:
            by_rank = {
                r: 0 if r >= rank else free for r, free in capacity.free_by_rank.items()
            }
            self._change(service, free=0, free_by_rank=by_rank)

    def record_waiter(self, service: str, rank: int) -> None:
        """Record that a request of this rank heads the queue."""
        self._change(service, head_rank=rank)

    def _set_free_of(self, service: str, version: str, free: int) -> None:
        by_version = self.capacities[service].free_by_version | {version: free}
        self._change(service, free_by_version=by_version)

    def _change(self, service: str, **changes: object) -> None:
        capacity = self.capacities.get(service)
        if capacity is not None:
            self.capacities[service] = msgspec.structs.replace(capacity, **changes)
