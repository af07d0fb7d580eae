"""Reports this entry's demand by service, for the placement of models."""

from collections import Counter

from fuchsiacroft.control.inventory import ServiceDemand
from fuchsiacroft.membership.engine_reports import DemandSource
from fuchsiacroft.routing.permit_queue import PermitQueue


class LocalDemand(DemandSource):
    """Counts requests that run on or are queued for owned backend servers."""

    def __init__(self, permit_queue: PermitQueue) -> None:
        self._permit_queue = permit_queue

    def demand(self) -> tuple[ServiceDemand, ...]:
        """Return the number of running and queued requests by service."""
        counts: Counter[str] = Counter()
        for name, service_queue in self._permit_queue.service_queues().items():
            counts[name] += len(service_queue.waiting)
            for owned in service_queue.servers.values():
                counts[name] += sum(
                    run.permit.request.service == name for run in owned.running.values()
                )
        return tuple(ServiceDemand(name, count) for name, count in counts.items())
