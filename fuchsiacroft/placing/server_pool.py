"""The servers that accept work, by service, and as far as a rollout lets them.

Like the allocator, it takes the time as an argument, does no I/O and starts no tasks.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from fuchsiacroft.placing.server_load import ServerLoad
from fuchsiacroft.rollouts.entry_rollouts import EntryRollouts
from fuchsiacroft.rollouts.service_rollout import Permission
from fuchsiacroft.routing.permits import PermitRequest


@dataclass(frozen=True, slots=True)
class VersionSplit:
    """The old servers of a service that are not excluded, and its new ones."""

    permission_key: tuple
    old: tuple[ServerLoad, ...]
    new: tuple[ServerLoad, ...]


class ServerPool:
    """The loads of servers, found by name, service, version or request."""

    def __init__(self, rollouts: EntryRollouts) -> None:
        self._rollouts = rollouts
        self._by_name: dict[str, ServerLoad] = {}
        self._by_service: dict[str, list[ServerLoad]] = {}
        self._by_version: dict[str, VersionSplit] = {}
        self._slots: dict[str, int] = {}

    def get(self, name: str) -> ServerLoad | None:
        """Return the load of a server, None if it accepts no work."""
        return self._by_name.get(name)

    def all(self) -> Iterable[ServerLoad]:
        """Return the loads of all servers."""
        return self._by_name.values()

    def names(self) -> frozenset[str]:
        """Return the names of all servers."""
        return frozenset(self._by_name)

    def add(self, load: ServerLoad) -> None:
        """Add a server, which is found by its services after `index`."""
        self._by_name[load.name] = load

    def remove(self, name: str) -> ServerLoad:
        """Remove a server, which is found by its services until `index`."""
        return self._by_name.pop(name)

    def index(self) -> None:
        """Find servers by their services as they are now."""
        self._by_version.clear()
        self._by_service = {}
        for load in self._by_name.values():
            for service in load.services:
                self._by_service.setdefault(service, []).append(load)
        self._slots = {
            service: sum(load.slots for load in loads)
            for service, loads in self._by_service.items()
        }

    def services(self) -> set[str]:
        """Return the services that are offered."""
        return set(self._by_service)

    def serves(self, service: str, version: str | None = None) -> bool:
        """Return whether a usable server offers a service, at a version if given."""
        return bool(self.usable(service, version))

    def slots(self, service: str, version: str | None = None) -> int:
        """Return how many requests of a service can run concurrently."""
        if version is not None:
            return sum(load.slots for load in self.usable(service, version))
        if self._rollouts.permission(service) is None:
            return self._slots.get(service, 0)
        return sum(load.slots for load in self.lasting(service))

    def offering(
        self, service: str, version: str | None = None
    ) -> Sequence[ServerLoad]:
        """Return the servers of a service, of a version if given, usable or not."""
        servers = self._by_service.get(service, ())
        if version is None:
            return servers
        return [
            load
            for load in servers
            if load.record.announcement.offers_service(service, version)
        ]

    def usable(self, service: str, version: str | None = None) -> Sequence[ServerLoad]:
        """Return the servers that the service's rollout lets requests begin on.

        With a version, they are those on which its streams may be continued.
        """
        permission = self._rollouts.permission(service)
        if permission is None:
            return self.offering(service, version)
        if version is None:
            old, new = self.usable_by_version(service, permission)
            return [*old, *new]
        return [
            load
            for load in self.offering(service, version)
            if permission.allows(load.name, version, continues=True)
        ]

    def usable_by_version(
        self, service: str, permission: Permission
    ) -> tuple[Sequence[ServerLoad], Sequence[ServerLoad]]:
        """Return the old servers and the new ones that new requests may begin on."""
        known = self._by_version.get(service)
        if known is None or known.permission_key != permission.key:
            known = self._by_version[service] = self._split_by_version(
                service, permission
            )
        return (
            known.old if permission.old else (),
            known.new if permission.new_begins else (),
        )

    def _split_by_version(self, service: str, permission: Permission) -> VersionSplit:
        old, new = [], []
        for load in self.offering(service):
            version = load.version_of(service)
            if version == permission.to:
                new.append(load)
            elif not permission.excludes(load.name, version):
                old.append(load)
        return VersionSplit(permission.key, tuple(old), tuple(new))

    def lasting(self, service: str) -> Sequence[ServerLoad]:
        """Return the usable servers whose slots count as the service's capacity.

        The few requests that may begin on a version on trial are none to rely on.
        """
        permission = self._rollouts.permission(service)
        if permission is None or not permission.prefers_new:
            return self.usable(service)
        return self.usable_by_version(service, permission)[0]

    def candidates(self, permit_request: PermitRequest) -> Sequence[ServerLoad]:
        """Return the servers that a request may run on."""
        return self.usable(permit_request.service, permit_request.version)

    def rollout_order(
        self, permit_request: PermitRequest, servers: Sequence[ServerLoad]
    ) -> dict[str, int]:
        """Return by name in which order servers are used, 0 for those not named.

        New servers are filled one after the other, so that faults under load show.
        They come first for a request of a route on which the new version has less
        than its share, and last for others and for one that has been there already.
        """
        service = permit_request.service
        permission = self._rollouts.permission(service)
        if permission is None or not permission.prefers_new:
            return {}
        if permit_request.version is not None:
            return {}
        new = {load.name for load in self.usable_by_version(service, permission)[1]}
        names = [load.name for load in servers if load.name in new]
        order = self._rollouts.order(service, names)
        has_been_there = not new.isdisjoint(permit_request.avoid)
        if not has_been_there and self._rollouts.is_due(service, permit_request.route):
            return {name: place - len(names) for name, place in order.items()}
        return {name: place + 1 for name, place in order.items()}
