"""Owners of backend servers by the live membership, and their takeover.

A new owner counts the permits that are still in use: each entry reports those that
it holds, and those that it leased to others and that were not returned.
"""

import asyncio
from collections.abc import Container

from fuchsiacroft.config.settings import Member, Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.backend_servers import BackendDirectory, BackendServer
from fuchsiacroft.membership.limit_reports import LimitReport
from fuchsiacroft.membership.ownership import OwnershipTable
from fuchsiacroft.membership.permits import HeldPermit, PermitHolder
from fuchsiacroft.membership.service import Membership
from fuchsiacroft.membership.table import EntryInfo
from fuchsiacroft.routing.leases import PermitLeases
from fuchsiacroft.routing.owners import Owners
from fuchsiacroft.routing.permit_queue import PermitQueue
from fuchsiacroft.routing.permits import Permit, PermitRequest
from fuchsiacroft.routing.scheduler import Scheduler


class MembershipOwners(Owners):
    """Looks owners up in the ownership table."""

    def __init__(self, settings: Settings, table: OwnershipTable) -> None:
        self._domain = settings.failure_domain
        self._table = table

    def owner_of(self, backend_server: str) -> Member | None:
        """Return the owner, or None while no entry may own the backend server."""
        info = self._table.owner_of(backend_server)
        return _member(info, self._domain) if info is not None else None

    def is_ready(self, backend_server: str) -> bool:
        """Return whether this entry owns it and the takeover is complete."""
        return self._table.is_ready(backend_server)

    def share(self, backend_server: str) -> float:
        """Return the share of its limit that this side of a partition may use."""
        return self._table.limit_share(backend_server)


class Takeover(Service, PermitHolder):
    """Keeps the ownership table consistent with the permits in use."""

    name = "takeover"

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to the backend servers and to membership changes."""
        self._membership = kernel.get("membership", Membership)
        self._table = kernel.get("ownership", OwnershipTable)
        self._permit_queue = kernel.get("permit_queue", PermitQueue)
        self._leases = kernel.get("lending", PermitLeases)
        self._scheduler = kernel.get("scheduler", Scheduler)
        self._directory = kernel.get("backend_servers", BackendDirectory)
        self._leases.boot_id_of = self._boot_id_of
        self._table.set_permit_holder(self)
        self._directory.listeners.announced.insert(0, self._on_announced)
        self._directory.listeners.removed.append(self._on_removed)
        self._membership.on_change(self._on_change)

    def held_permits(self, backend_server: str) -> tuple[HeldPermit, ...]:
        """Return the permits in use here, and those leased and not returned."""
        local_entry = self._membership.local_entry
        permits = [
            HeldPermit(
                permit.permit_id, backend_server, local_entry.node, local_entry.boot_id
            )
            for permit in self._scheduler.held_permits(backend_server)
        ]
        permits += [
            HeldPermit(permit_id, backend_server, holder, boot_id)
            for permit_id, holder, boot_id in self._leases.leased_permits(
                backend_server
            )
        ]
        return tuple(permits)

    def replace_held_permits(
        self, backend_server: str, permits: tuple[HeldPermit, ...]
    ) -> None:
        """Count the permits in use before any new one is granted."""
        server = self._directory.get(backend_server)
        if server is None:
            return
        self._permit_queue.add_server(server)
        own_permits = {
            permit.permit_id: permit
            for permit in self._scheduler.held_permits(backend_server)
        }
        for held in permits:
            permit = own_permits.get(held.permit_id) or self._foreign_permit(
                held, server
            )
            if self._permit_queue.adopt(permit) and held.permit_id not in own_permits:
                self._leases.adopt(permit, held.holder)

    def known_limits(self, backend_servers: Container[str]) -> tuple[LimitReport, ...]:
        """Return what this entry knows of the limits of some backend servers."""
        return self._scheduler.limits.known(backend_servers)

    def record_limits(self, reports: tuple[LimitReport, ...]) -> None:
        """Record what other entries know, before any permit is granted."""
        self._scheduler.limits.merge(reports, "takeover")

    def _boot_id_of(self, node: str) -> str:
        record = self._membership.record(node)
        return record.update.boot_id if record is not None else ""

    def _foreign_permit(self, held: HeldPermit, server: BackendServer) -> Permit:
        """Return a permit for a run whose request is known to its holder only."""
        offers = server.announcement.offers
        request = PermitRequest(
            request_id=held.permit_id,
            service=offers[0].service if offers else "",
            rank=0,
            timeout_s=0.0,
            workspace="",
            idempotent=False,
        )
        return Permit(
            permit_id=held.permit_id,
            request=request,
            backend_server=server.name,
            boot_id=server.boot_id,
            address=server.announcement.address,
            owner=self._membership.local_entry.node,
            preempted=asyncio.get_running_loop().create_future(),
        )

    def _on_announced(self, server: BackendServer) -> None:
        self._table.watch(server.name)
        self._table.record_announcement(server.name)

    def _on_removed(self, server: BackendServer) -> None:
        self._table.unwatch(server.name)

    def _on_change(self, alive: tuple[EntryInfo, ...]) -> None:
        for server in self._directory.all():
            self._scheduler.update_ownership(server)


def create() -> Takeover:
    """Create the takeover service of an entry."""
    return Takeover()


def _member(info: EntryInfo, domain: str) -> Member:
    return Member(info.node, domain, info.peers)
