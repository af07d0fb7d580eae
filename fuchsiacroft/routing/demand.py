"""The demand that this entry's desk knows of, for the placement of models."""

from collections import Counter

from fuchsiacroft.control.inventory import ServiceDemand
from fuchsiacroft.membership.engine_reports import DemandSource
from fuchsiacroft.routing.permit_queue import PermitQueue


class LocalDemand(DemandSource):
    """Counts what runs on owned backend servers and what waits for them."""

    def __init__(self, permit_queue: PermitQueue) -> None:
        self._permit_queue = permit_queue

    def demand(self) -> tuple[ServiceDemand, ...]:
        """Return the requests that run or wait here, by service."""
        counts: Counter[str] = Counter()
        for name, service_queue in self._permit_queue.service_queues().items():
            counts[name] += len(service_queue.waiting)
            for owned in service_queue.servers.values():
                counts[name] += sum(
                    run.permit.request.service == name for run in owned.running.values()
                )
        return tuple(ServiceDemand(name, count) for name, count in counts.items())
