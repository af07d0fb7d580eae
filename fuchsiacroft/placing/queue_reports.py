"""What an allocator tells of its queues: to other domains, and in the log of refusals.

Like the allocator, it takes the time as an argument and does no I/O.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from fuchsiacroft.placing.fleet import Fleet
from fuchsiacroft.placing.messages import PlaceRequest, ServiceCapacity
from fuchsiacroft.placing.queue import Queue, position
from fuchsiacroft.placing.queue_waits import QueueWaits
from fuchsiacroft.placing.quotas import Quotas
from fuchsiacroft.routing.permits import PermitRequest, Refusal


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """Load of a service's queue when a request arrived, logged with refusals.

    `limited` of its servers have a limit on requests a second, which leaves
    `usable_slots` of the `slots`. A slot is taken for `turnaround_s` longer than its
    run takes, in the mean.
    """

    free: int
    slots: int
    usable_slots: float
    limited: int
    waiting: int
    late: int
    expected_wait_s: float
    units_left: float
    turnaround_s: float


class QueueReports:
    """Reports of the queues of each service, the slots of a fleet, and quotas."""

    def __init__(
        self,
        fleet: Fleet,
        queues: Mapping[str, Queue],
        waits: QueueWaits,
        quotas: Quotas,
    ) -> None:
        self._fleet = fleet
        self._queues = queues
        self._waits = waits
        self._quotas = quotas

    def capacities(self, at: float) -> tuple[ServiceCapacity, ...]:
        """Return the spare capacity of each service, to report to other domains."""
        return tuple(
            ServiceCapacity(
                service,
                self._fleet.capacity.free(service, at)
                - len(self._queues.get(service, ())),
                self._head_rank(service),
                self._free_by_rank(service, at),
                self._fleet.choice.fastest_prefill(service, at),
                self._fleet.capacity.free_by_version(service, at),
                self._fleet.pool.serves(service),
            )
            for service in self._fleet.pool.services()
        )

    def _free_by_rank(self, service: str, at: float) -> dict[int, int]:
        """Return the slots for long requests of each rank, less earlier waiters."""
        queue = self._queues.get(service, Queue())
        free = self._fleet.capacity.free(service, at)
        return {
            rank: free
            - self._fleet.capacity.kept_free(service, rank, at)
            - queue.ahead_of(position(rank, is_late=False, is_short=False))
            for rank in self._fleet.runs.ranks(service)
        }

    def _rollout_reason(self, service: str) -> str:
        """Return the stage of a service's rollout, empty if there is none."""
        permission = self._fleet.rollouts.permission(service)
        return "" if permission is None else permission.reason

    def _head_rank(self, service: str) -> int | None:
        queue = self._queues.get(service)
        head = queue.head() if queue is not None else None
        return head.rank if head is not None else None

    def refusal_fields(
        self, request: PlaceRequest, refusal: Refusal, at: float
    ) -> dict[str, object]:
        """Return what the log says of a refusal and of the load that led to it."""
        permit_request = request.ask
        load = self.load(permit_request, at)
        return dict(
            request_id=permit_request.request_id,
            run_id=request.run_id,
            reason=refusal.reason.value,
            service=permit_request.service,
            software=permit_request.version or "-",
            rollout=self._rollout_reason(permit_request.service) or "-",
            workspace=permit_request.workspace,
            rank=permit_request.rank,
            units=request.charge,
            in_time_s=round(request.in_time_s, 3),
            retry_after_s=round(refusal.retry_after_s, 3),
            free=load.free,
            slots=load.slots,
            usable_slots=round(load.usable_slots, 2),
            limited=load.limited,
            waiting=load.waiting,
            late=load.late,
            expected_wait_s=round(load.expected_wait_s, 3),
            units_left=f"{load.units_left:.0f}",
            turnaround_s=round(load.turnaround_s, 3),
            **self.share_fields(permit_request),
        )

    def load(self, permit_request: PermitRequest, at: float) -> QueueLoad:
        """Return the load of a service's queue and the quota left to a workspace.

        The slots are those of the version at which the request continues a stream.
        """
        queue = self._queues.get(permit_request.service, Queue())
        version = permit_request.version
        return QueueLoad(
            free=self._fleet.capacity.free(permit_request.service, at, version),
            slots=self._fleet.pool.slots(permit_request.service, version),
            usable_slots=self._fleet.capacity.usable_slots(permit_request.service),
            limited=self._fleet.capacity.limited_count(permit_request.service),
            waiting=len(queue),
            late=queue.late(),
            expected_wait_s=self._waits.expected_at_s(
                permit_request, self._waits.position_in_time(permit_request), at
            ),
            units_left=self._quotas.remaining(permit_request.workspace, at),
            turnaround_s=self._fleet.runs.turnaround_s(permit_request.service),
        )

    def share_fields(self, permit_request: PermitRequest) -> dict:
        """Return the log fields on a request's share; none without shares."""
        queue = self._queues.get(permit_request.service)
        return queue.share_fields(permit_request) if queue is not None else {}
