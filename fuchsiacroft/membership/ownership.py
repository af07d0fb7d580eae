"""The service "ownership": which entry hands out permits for a backend server.

Every name has one owner among the active entries of the domain, by rendezvous
hashing. A new owner is ready only when every live entry has shown the same
view and told which permits it holds, and when the leases of lost entries have
run out. An owner stays ready while another entry confirms its view.
"""

import asyncio

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.lease import OWNERSHIP_LEASE_S
from fuchsiacroft.membership.permits import (
    HeldPermit,
    HeldPermitsAnswer,
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
PERMIT_START_S = 2.0


class OwnershipTable(Service):
    """Tells who owns a backend server, and whether we may hand out permits.

    A permit must be used within `PERMIT_START_S` of being asked for; that is
    less than `OWNERSHIP_LEASE_S`, so an entry that is cut off starts nothing
    once its lease has run out.
    """

    name = "ownership"

    def __init__(self, settings: Settings) -> None:
        self._drain_timeout = settings.drain_timeout_s
        self._holder: PermitHolder = NoPermits()
        self._owners = OwnerIndex()
        self._mine: set[str] = set()
        self._taken: dict[str, float] = {}
        self._retry = RETRY_MIN_S
        self._wake = asyncio.Event()
        self._tasks = BackgroundTasks("ownership")

    async def start(self, kernel: Kernel) -> None:
        """Answer other owners, and take over what falls to us."""
        self._membership = kernel.get("membership", Membership)
        bus = kernel.get("bus", Bus)
        self._inquiry = TakeoverInquiry(bus, self._membership)
        self._guard = SplitGuard(self._membership)
        self._membership.on_change(self._on_change)
        self._on_change(self._membership.alive())
        bus.register_handler(HeldPermitsRequest, self._on_request)
        self._tasks.spawn(self._activate(), "ownership-activate")
        self._tasks.spawn_critical(self._take_over(), "ownership-takeover")

    async def stop(self) -> None:
        """End every background task."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the backend servers watched and those that we own."""
        return {
            "watched": len(self._owners),
            "ready": sorted(name for name in self._mine if self.is_ready(name)),
        }

    def set_permit_holder(self, holder: PermitHolder) -> None:
        """Name the part that holds permits."""
        self._holder = holder

    def watch(self, backend_server: str) -> None:
        """Take the backend server over whenever it falls to us."""
        self._owners.add(backend_server)
        if self._is_me(self._owners.owner_of(backend_server)):
            self._mine.add(backend_server)
            self._wake.set()

    def unwatch(self, backend_server: str) -> None:
        """Stop watching a backend server that is gone."""
        self._owners.discard(backend_server)
        self._mine.discard(backend_server)
        self._taken.pop(backend_server, None)
        self._guard.forget(backend_server)

    def owner_of(self, backend_server: str) -> EntryInfo | None:
        """Return the owner in our view, ready or not."""
        return self._owners.owner_of(backend_server)

    def is_ready(self, backend_server: str) -> bool:
        """Tell whether we own a watched backend server and its takeover ended."""
        taken_at = self._taken.get(backend_server)
        if taken_at is None or backend_server not in self._mine:
            return False
        lease = self._membership.lease
        return lease.confirmed_for() > 0 and taken_at >= lease.unbroken_since

    def record_announcement(self, backend_server: str) -> None:
        """Note each announcement of a backend server that reaches its owner."""
        self._guard.note_announcement(backend_server)

    def limit_share(self, backend_server: str) -> float:
        """Return the part, up to 1, of its limit that we may hand out.

        It is less than 1 while the domain may be split in two.
        """
        return self._guard.share(backend_server)

    def is_holder_expired(self, node: str, boot_id: str) -> bool:
        """Tell whether the permits of an entry process count no more."""
        record = self._membership.record(node)
        if record is None or record.update.boot_id != boot_id:
            return True
        if record.present:
            return False
        if record.update.status is Status.DEAD:
            return self._membership.lease_left_of(record) <= 0
        gone_for = clock.now() - record.since
        return gone_for > self._drain_timeout + OWNERSHIP_LEASE_S

    async def _activate(self) -> None:
        """Become an owner once the leases from before our start are out."""
        await asyncio.sleep(OWNERSHIP_LEASE_S)
        self._membership.activate()

    async def _take_over(self) -> None:
        while True:
            self._wake.clear()
            wait = IDLE_CHECK_S
            pending = self._pending()
            if pending or self._guard.unsettled():
                wait = await self._inquire(pending)
                await asyncio.sleep(self._retry)
            try:
                async with asyncio.timeout(wait):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _inquire(self, pending: tuple[str, ...]) -> float:
        """Try to take over; return how long to wait before the next look."""
        began = clock.now()
        heard = await self._inquiry.ask(pending)
        self._guard.note_reached(heard.reached, heard.agreed)
        if not heard.agreed:
            self._retry = min(self._retry * 2, RETRY_MAX_S)
            return 0.0 if pending else IDLE_CHECK_S
        self._retry = RETRY_MIN_S
        if heard.wait_s > 0 or not pending:
            return heard.wait_s or IDLE_CHECK_S
        for name in pending:
            if name in self._mine:
                self._adopt(name, heard.permits)
                self._taken[name] = began
        event("info", "ownership_taken", backend_servers=len(pending))
        return IDLE_CHECK_S

    def _adopt(self, name: str, permits: tuple[HeldPermit, ...]) -> None:
        every = {permit.permit_id: permit for permit in self._holder.held_permits(name)}
        for permit in permits:
            if permit.backend_server == name:
                every.setdefault(permit.permit_id, permit)
        counted = tuple(
            permit
            for permit in every.values()
            if not self.is_holder_expired(permit.holder, permit.boot_id)
        )
        self._holder.replace_held_permits(name, counted)

    def _pending(self) -> tuple[str, ...]:
        return tuple(name for name in self._mine if not self.is_ready(name))

    def _is_me(self, owner: EntryInfo | None) -> bool:
        return owner is not None and owner.node == self._membership.local_entry.node

    def _on_change(self, alive: tuple[EntryInfo, ...]) -> None:
        self._owners.replace(entry for entry in alive if entry.active)
        self._mine = self._owners.owned_by(self._membership.local_entry.node)
        for name in self._taken.keys() - self._mine:
            del self._taken[name]
        self._wake.set()

    async def _on_request(
        self, sender: str, request: HeldPermitsRequest
    ) -> HeldPermitsAnswer | None:
        if request.domain != self._membership.domain:
            return None
        view = self._membership.view
        if request.view != view and not self._membership.left:
            return HeldPermitsAnswer(view, (), 0.0)
        permits = [
            permit
            for name in request.backend_servers
            for permit in self._holder.held_permits(name)
        ]
        return HeldPermitsAnswer(view, tuple(permits), self._inquiry.wait_for_lost())


def create(settings: Settings) -> OwnershipTable:
    """Return the ownership table of an entry."""
    return OwnershipTable(settings)
