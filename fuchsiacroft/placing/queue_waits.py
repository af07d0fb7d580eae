"""Estimates how long requests wait for a slot, and when refused ones should come back.

Like the allocator, it takes the time as an argument and does no I/O.
"""

import random
from collections.abc import Mapping

from fuchsiacroft.placing.fleet import Fleet
from fuchsiacroft.placing.queue import Position, Queue, Waiter, position
from fuchsiacroft.placing.retry_after import RefusedCallers, retry_after_s
from fuchsiacroft.placing.server_choice import SHORT_RUN_SHARE
from fuchsiacroft.routing.permits import PermitRequest

LATE_HORIZON_S = 1.0
"""At most as many late requests are queued as all slots serve in this time."""
MIN_USABLE_SLOTS = 0.001


class QueueWaits:
    """The waits in the queues of each service for the slots of a fleet."""

    def __init__(
        self,
        fleet: Fleet,
        queues: Mapping[str, Queue],
        rng: random.Random,
        *,
        is_fair: bool = False,
    ) -> None:
        self._fleet = fleet
        self._queues = queues
        self._random = rng
        self._refused = RefusedCallers(rng) if is_fair else None

    def is_short(self, service: str, run_s: float) -> bool:
        """Return whether a run is short compared with the service's mean run time."""
        return run_s <= SHORT_RUN_SHARE * self._fleet.runs.mean_run_s(service)

    def position_in_time(self, permit_request: PermitRequest) -> Position:
        """Return the queue position of a request that can be answered in time."""
        is_short = self.is_short(
            permit_request.service, self._fleet.choice.median_run_s(permit_request)
        )
        return position(
            permit_request.rank,
            is_late=False,
            is_short=is_short,
            continues=permit_request.version is not None,
        )

    def expected_s(self, waiter: Waiter, at: float) -> float:
        """Return the expected wait of a new request of the same rank and run length."""
        return self.expected_at_s(waiter.request.ask, waiter.position_in_time, at)

    def expected_at_s(
        self, permit_request: PermitRequest, pos: Position, at: float
    ) -> float:
        """Return the expected wait of a request that is queued at a position."""
        service = permit_request.service
        if permit_request.version is not None:
            return self._continued_s(service, permit_request.version)
        return self._any_server_s(permit_request, pos, at)

    def retry_after_s(self, waiter: Waiter, at: float) -> float:
        """Return when to come back: not sooner than after as long a wait again."""
        late = position(
            waiter.rank,
            is_late=True,
            is_short=waiter.is_short,
            continues=waiter.version is not None,
        )
        expected_s = self.expected_at_s(waiter.request.ask, late, at)
        expected_s = max(expected_s, at - waiter.arrived_at)
        if self._refused is None:
            return retry_after_s(expected_s, self._random)
        service = waiter.request.ask.service
        slots = max(self._fleet.capacity.usable_slots(service), MIN_USABLE_SLOTS)
        interval_s = self._fleet.runs.mean_run_s(service) / slots
        return self._refused.retry_after_s(
            (service, waiter.workspace), expected_s, interval_s, at
        )

    def late_capacity(self, service: str) -> int:
        """Return the maximum number of late requests queued for a service."""
        slots = self._fleet.capacity.usable_slots(service)
        return int(LATE_HORIZON_S * slots / self._fleet.runs.mean_run_s(service))

    def _any_server_s(
        self, permit_request: PermitRequest, pos: Position, at: float
    ) -> float:
        """Return the expected wait of a request that any server may run.

        More urgent requests go on to arrive, and take the slots of their mean load.
        """
        service = permit_request.service
        queue = self._queues.get(service)
        ahead = queue.ahead_for(permit_request, pos) if queue is not None else 0
        usable = self._fleet.capacity.usable_slots(service)
        slots = usable - self._fleet.runs.urgent_load(service, pos.rank, at)
        slots = max(slots, min(usable, 1.0), MIN_USABLE_SLOTS)
        return (ahead + 1) * self._fleet.runs.mean_run_s(service) / slots

    def _continued_s(self, service: str, version: str) -> float:
        """Return the expected wait of a request that continues a stream."""
        queue = self._queues.get(service)
        ahead = queue.awaiting(version) if queue is not None else 0
        slots = max(
            self._fleet.capacity.allowed_slots(service, version), MIN_USABLE_SLOTS
        )
        return (ahead + 1) * self._fleet.runs.mean_run_s(service) / slots
