"""The queues of one owner: one for each service, and for each version continued.

A request that continues a stream runs only on servers of the software version that
began it. It waits in a queue of that version, whose waits, limits and preemptions count
these servers only, so that it blocks no request which may run on others.
"""

from collections.abc import Callable

from fuchsiacroft.routing.owned_server import OwnedServer
from fuchsiacroft.routing.permits import PermitRequest
from fuchsiacroft.routing.service_queue import ServiceQueue
from fuchsiacroft.routing.waiting_queue import WaitingQueue


class ServiceQueues:
    """The queues of one owner; each knows the owned servers that it may use."""

    def __init__(self, new_queue: Callable[[], WaitingQueue]) -> None:
        self._new_queue = new_queue
        self._servers: dict[str, OwnedServer] = {}
        self._by_service: dict[str, ServiceQueue] = {}
        self._by_version: dict[tuple[str, str], ServiceQueue] = {}

    def of_service(self, service: str) -> ServiceQueue:
        """Return the queue of the requests that any server of a service may run."""
        if service not in self._by_service:
            self._by_service[service] = self._create(service, None)
        return self._by_service[service]

    def of_request(self, request: PermitRequest) -> ServiceQueue:
        """Return the queue in which a request waits."""
        if request.version is None:
            return self.of_service(request.service)
        key = (request.service, request.version)
        if key not in self._by_version:
            self._drop_unused()
            self._by_version[key] = self._create(*key)
        return self._by_version[key]

    def of_server(self, owned: OwnedServer) -> list[ServiceQueue]:
        """Return the queues that may use a server, those of its versions first."""
        offers = owned.server.announcement.offers
        versions = [self._by_version.get((o.service, o.version)) for o in offers]
        services = [self.of_service(offer.service) for offer in offers]
        return [queue for queue in versions if queue is not None] + services

    def by_service(self) -> dict[str, ServiceQueue]:
        """Return the queues of the requests that any server may run."""
        return self._by_service

    def all(self) -> list[ServiceQueue]:
        """Return every queue, those of versions first."""
        return [*self._by_version.values(), *self._by_service.values()]

    def serves(self, service: str) -> bool:
        """Return whether an owned server offers a service."""
        queue = self._by_service.get(service)
        return queue is not None and bool(queue.servers)

    def add_server(self, owned: OwnedServer) -> None:
        """Add an owned server, or update what it announces."""
        self._servers[owned.name] = owned
        for queue in self.of_server(owned):
            queue.servers[owned.name] = owned

    def remove_server(self, name: str) -> None:
        """Remove a server from every queue."""
        self._servers.pop(name, None)
        for queue in self.all():
            queue.servers.pop(name, None)

    def _create(self, service: str, version: str | None) -> ServiceQueue:
        queue = ServiceQueue(service, self._new_queue())
        queue.servers = {
            name: owned
            for name, owned in self._servers.items()
            if owned.server.announcement.offers_service(service, version)
        }
        return queue

    def _drop_unused(self) -> None:
        """Drop the queues of versions whose servers have ended."""
        self._by_version = {
            key: queue
            for key, queue in self._by_version.items()
            if queue.servers or len(queue.waiting) or queue.isolated_waiters
        }
