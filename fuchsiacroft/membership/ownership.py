"""The service "ownership": which entry grants permits for a backend server.

Rendezvous hashing assigns every backend server to one of the active entries
of the domain. A new owner is ready only when every live entry has replied with
the same view and with the permits that it holds, and the leases of lost
entries have expired. An owner stays ready while its view lease is renewed.
"""

import asyncio

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.lease import OWNERSHIP_LEASE_S
from fuchsiacroft.membership.permits import (
    HeldPermit,
    HeldPermitsReply,
    HeldPermitsRequest,
    NoPermits,
    PermitHolder,
)
from fuchsiacroft.membership.rendezvous import OwnerIndex
from fuchsiacroft.membership.service import Membership
from fuchsiacroft.membership.split_guard import SplitGuard
from fuchsiacroft.membership.table import EntryInfo
from fuchsiacroft.membership.takeover import TakeoverInquiry
from fuchsiacroft.membership.wire import Status
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils import clock
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

IDLE_CHECK_S = 1.0
RETRY_MIN_S = 0.05
RETRY_MAX_S = 1.0
PERMIT_START_TIMEOUT_S = 2.0


class OwnershipTable(Service):
    """Tracks the owners of backend servers and takes over those of this entry.

    A permit must be used within `PERMIT_START_TIMEOUT_S` of its request. That
    is less than `OWNERSHIP_LEASE_S`, so an isolated entry starts no request
    after its lease has expired.
    """

    name = "ownership"

    def __init__(self, settings: Settings) -> None:
        self._drain_timeout = settings.drain_timeout_s
        self._permit_holder: PermitHolder = NoPermits()
        self._owners = OwnerIndex()
        self._owned: set[str] = set()
        self._taken_over_at: dict[str, float] = {}
        self._retry_delay_s = RETRY_MIN_S
        self._wake = asyncio.Event()
        self._tasks = BackgroundTasks("ownership")

    async def start(self, kernel: Kernel) -> None:
        """Start to answer other owners and to take over backend servers."""
        self._membership = kernel.get("membership", Membership)
        bus = kernel.get("bus", Bus)
        self._inquiry = TakeoverInquiry(bus, self._membership)
        self._split_guard = SplitGuard(self._membership)
        self._membership.on_change(self._on_change)
        self._on_change(self._membership.alive())
        bus.register_handler(HeldPermitsRequest, self._on_request)
        self._tasks.spawn(self._activate(), "ownership-activate")
        self._tasks.spawn_critical(self._take_over(), "ownership-takeover")

    async def stop(self) -> None:
        """Cancel the background tasks."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the number of backend servers watched, and the names ready here."""
        return {
            "watched": len(self._owners),
            "ready": sorted(name for name in self._owned if self.is_ready(name)),
        }

    def set_permit_holder(self, holder: PermitHolder) -> None:
        """Set the holder of this entry's permits."""
        self._permit_holder = holder

    def watch(self, backend_server: str) -> None:
        """Track a backend server and take it over when this entry is its owner."""
        self._owners.add(backend_server)
        if self._is_local_entry(self._owners.owner_of(backend_server)):
            self._owned.add(backend_server)
            self._wake.set()

    def unwatch(self, backend_server: str) -> None:
        """Stop tracking a backend server that was removed."""
        self._owners.discard(backend_server)
        self._owned.discard(backend_server)
        self._taken_over_at.pop(backend_server, None)
        self._split_guard.remove(backend_server)

    def owner_of(self, backend_server: str) -> EntryInfo | None:
        """Return the owner in this entry's view, whether or not it is ready."""
        return self._owners.owner_of(backend_server)

    def is_ready(self, backend_server: str) -> bool:
        """Return whether this entry owns a backend server and has taken it over."""
        taken_over_at = self._taken_over_at.get(backend_server)
        if taken_over_at is None or backend_server not in self._owned:
            return False
        lease = self._membership.lease
        return lease.remaining_s() > 0 and taken_over_at >= lease.continuous_since

    def record_announcement(self, backend_server: str) -> None:
        """Record an announcement that a backend server sent to its owner."""
        self._split_guard.record_announcement(backend_server)

    def limit_share(self, backend_server: str) -> float:
        """Return the fraction, at most 1, of a limit that this entry may grant.

        It is less than 1 while there may be a network partition.
        """
        return self._split_guard.limit_share(backend_server)

    def is_holder_expired(self, node: str, boot_id: str) -> bool:
        """Return whether the permits of an entry process are no longer valid."""
        record = self._membership.record(node)
        if record is None or record.update.boot_id != boot_id:
            return True
        if record.present:
            return False
        if record.update.status is Status.DEAD:
            return self._membership.remaining_lease_s(record) <= 0
        departed_for = clock.now() - record.since
        return departed_for > self._drain_timeout + OWNERSHIP_LEASE_S

    async def _activate(self) -> None:
        """Become active once leases from before this start have expired."""
        await asyncio.sleep(OWNERSHIP_LEASE_S)
        self._membership.activate()

    async def _take_over(self) -> None:
        while True:
            self._wake.clear()
            wait = IDLE_CHECK_S
            pending = self._pending()
            if pending or self._split_guard.needs_inquiry():
                wait = await self._try_take_over(pending)
                await asyncio.sleep(self._retry_delay_s)
            try:
                async with asyncio.timeout(wait):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _try_take_over(self, pending: tuple[str, ...]) -> float:
        """Try to take over; return the time until the next attempt in seconds."""
        started_at = clock.lease_now()
        result = await self._inquiry.query(pending)
        self._split_guard.record_responses(result.reached, result.views_match)
        if not result.views_match:
            self._retry_delay_s = min(self._retry_delay_s * 2, RETRY_MAX_S)
            return 0.0 if pending else IDLE_CHECK_S
        self._retry_delay_s = RETRY_MIN_S
        if result.wait_s > 0 or not pending:
            return result.wait_s or IDLE_CHECK_S
        self._permit_holder.record_limits(result.limits)
        for name in pending:
            if name in self._owned:
                self._replace_permits(name, result.permits)
                self._taken_over_at[name] = started_at
        event("info", "ownership_taken", backend_servers=len(pending))
        return IDLE_CHECK_S

    def _replace_permits(self, name: str, permits: tuple[HeldPermit, ...]) -> None:
        by_id = {
            permit.permit_id: permit
            for permit in self._permit_holder.held_permits(name)
        }
        for permit in permits:
            if permit.backend_server == name:
                by_id.setdefault(permit.permit_id, permit)
        counted = tuple(
            permit
            for permit in by_id.values()
            if not self.is_holder_expired(permit.holder, permit.boot_id)
        )
        self._permit_holder.replace_held_permits(name, counted)

    def _pending(self) -> tuple[str, ...]:
        return tuple(name for name in self._owned if not self.is_ready(name))

    def _is_local_entry(self, owner: EntryInfo | None) -> bool:
        return owner is not None and owner.node == self._membership.local_entry.node

    def _on_change(self, alive: tuple[EntryInfo, ...]) -> None:
        self._owners.set_entries(entry for entry in alive if entry.active)
        self._owned = self._owners.owned_by(self._membership.local_entry.node)
        for name in self._taken_over_at.keys() - self._owned:
            del self._taken_over_at[name]
        self._wake.set()

    def _on_request(
        self, sender: str, request: HeldPermitsRequest
    ) -> HeldPermitsReply | None:
        if request.domain != self._membership.domain:
            return None
        view = self._membership.view_hash
        if request.view != view and not self._membership.has_left:
            return HeldPermitsReply(view, (), 0.0)
        permits = [
            permit
            for name in request.backend_servers
            for permit in self._permit_holder.held_permits(name)
        ]
        return HeldPermitsReply(
            view,
            tuple(permits),
            self._inquiry.lost_lease_wait_s(),
            self._permit_holder.known_limits(request.backend_servers),
        )


def create(settings: Settings) -> OwnershipTable:
    """Return the ownership table of an entry."""
    return OwnershipTable(settings)
