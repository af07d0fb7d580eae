"""The service container: starts and stops services and looks them up by name."""

from typing import TypeVar

from fuchsiacroft.exceptions import InvariantError
from fuchsiacroft.utils.logs import event

T = TypeVar("T", bound="Service")


class Service:
    """A component of a process with a name, a life cycle and a state dump."""

    name: str

    async def start(self, kernel: "Kernel") -> None:
        """Look up other services and start to work."""

    def reload(self) -> None:
        """Reload changed files; called on SIGHUP."""

    async def drain(self) -> None:
        """Reject new work and wait for the work in progress to end."""

    async def stop(self) -> None:
        """Release all resources; called after `drain`, in reverse start order."""

    def dump(self) -> dict:
        """Return the state as JSON-compatible values, without secrets."""
        return {}


class Kernel:
    """Holds the services of one process in start order."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []

    def add(self, service: Service) -> None:
        """Register a service under its name, which must be unique."""
        if service.name in self._services:
            raise InvariantError(f"two services are named {service.name}")
        self._services[service.name] = service

    def get(self, name: str, kind: type[T]) -> T:
        """Return the service with this name, which must have this type."""
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise InvariantError(f"no service {name} of kind {kind.__name__}")
        return service

    def find(self, name: str, kind: type[T]) -> T | None:
        """Return the service with this name, or None if it is not registered."""
        service = self._services.get(name)
        return service if isinstance(service, kind) else None

    async def start(self) -> None:
        """Start every service in the order of registration."""
        for service in self._services.values():
            await service.start(self)
            self._started.append(service)
            event("debug", "service_started", service=service.name)

    def reload(self) -> None:
        """Let every started service reload its files."""
        for service in self._started:
            service.reload()

    async def drain(self) -> None:
        """Drain every started service, the last started first."""
        for service in reversed(self._started):
            await service.drain()

    async def stop(self) -> None:
        """Stop every started service, the last started first."""
        while self._started:
            await self._started.pop().stop()

    def dump(self) -> dict:
        """Return the state of every service by name."""
        return {name: service.dump() for name, service in self._services.items()}
