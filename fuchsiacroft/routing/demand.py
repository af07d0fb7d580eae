"""The demand that this entry's desk knows of, for the placement of models."""

from collections import Counter

from fuchsiacroft.control.inventory import ServiceDemand
from fuchsiacroft.membership.engine_reports import DemandSource
from fuchsiacroft.routing.permit_queue import PermitQueue


class LocalDemand(DemandSource):
    """Counts what runs on owned backend servers and what waits for them."""

    def __init__(self, desk: PermitQueue) -> None:
        self._desk = desk

    def demand(self) -> tuple[ServiceDemand, ...]:
        """Return the requests that run or wait here, by service."""
        counts: Counter[str] = Counter()
        for name, line in self._desk.lines().items():
            counts[name] += len(line.queue)
            for owned in line.servers.values():
                counts[name] += sum(
                    run.permit.request.service == name for run in owned.running.values()
                )
        return tuple(ServiceDemand(name, count) for name, count in counts.items())
