"""Directory of the backend servers that announce themselves in this failure domain."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec
from aiohttp import web
from expression import Result

from fuchsiacroft.config.settings import Member, Settings
from fuchsiacroft.config.validation import decode_wire
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.announcement import (
    Announcement,
    RelayedAnnouncement,
    RelayedRenewal,
)
from fuchsiacroft.membership.announcement_relay import AnnouncementRelay
from fuchsiacroft.membership.ownership import OwnershipTable
from fuchsiacroft.membership.service import Membership
from fuchsiacroft.membership.table import EntryInfo
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.http import Listener
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.running_since import RunningSince
from fuchsiacroft.utils.tasks import BackgroundTasks

ANNOUNCEMENT_TIMEOUT_S = 4.0
MAX_BROADCAST_ENTRIES = 8
SWEEP_PERIOD_S = 0.5
MAX_ANNOUNCEMENT_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class BackendServer:
    """The latest announcement of a backend server and its time of arrival."""

    announcement: Announcement
    announced_at: float

    @property
    def name(self) -> str:
        """Return the name of the backend server."""
        return self.announcement.name

    @property
    def boot_id(self) -> str:
        """Return the id of the current boot."""
        return self.announcement.boot_id


class BackendServerListeners:
    """Callbacks for announcements and for the removal of backend servers."""

    def __init__(self) -> None:
        self.announced: list[Callable[[BackendServer], None]] = []
        self.removed: list[Callable[[BackendServer], None]] = []


class BackendDirectory(Service):
    """Receives announcements and relays them to the other entries that need them."""

    name = "backend_servers"

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._servers: dict[str, BackendServer] = {}
        self._relay = AnnouncementRelay()
        self._running = RunningSince()
        self._tasks = BackgroundTasks("backend_servers")
        self._listener: Listener | None = None
        self.listeners = BackendServerListeners()

    async def start(self, kernel: Kernel) -> None:
        """Listen for announcements, from backend servers and from entries."""
        self._bus = kernel.get("bus", Bus)
        self._membership = kernel.find("membership", Membership)
        self._ownership = kernel.find("ownership", OwnershipTable)
        self._bus.register_handler(RelayedAnnouncement, self._on_announced)
        self._bus.register_handler(RelayedRenewal, self._on_renewed)
        app = web.Application(client_max_size=MAX_ANNOUNCEMENT_BYTES)
        app.router.add_post("/announce", self._on_post)
        address = self._settings.addresses.backend_servers
        if address is not None:
            self._listener = Listener(app, address, name="backend_servers")
            await self._listener.start()
        self._tasks.spawn_repeated(self._sweep, "backend-sweep")

    async def stop(self) -> None:
        """Stop listening."""
        await self._tasks.cancel()
        if self._listener is not None:
            await self._listener.stop()

    def dump(self) -> dict:
        """Return every backend server with the age of its announcement."""
        return {
            server.name: {
                "boot_id": server.boot_id,
                "received_s_ago": round(now() - server.announced_at, 3),
                "announcement": msgspec.to_builtins(server.announcement),
            }
            for server in self._servers.values()
        }

    def all(self) -> tuple[BackendServer, ...]:
        """Return every backend server whose announcements have not timed out."""
        return tuple(self._servers.values())

    def offering(self, service: str, version: str | None = None) -> list[BackendServer]:
        """Return the servers that offer a service, at a version if one is given."""
        return [
            server
            for server in self._servers.values()
            if server.announcement.offers_service(service, version)
        ]

    def get(self, name: str) -> BackendServer | None:
        """Return the backend server of that name, or None."""
        return self._servers.get(name)

    def receive(self, announcement: Announcement) -> None:
        """Process an announcement from a backend server and relay it."""
        self._update(announcement)
        self._relay_announcement(announcement)

    async def _on_post(self, req: web.Request) -> web.Response:
        match decode_wire(await req.read(), Announcement):
            case Result(tag="ok", ok=announcement):
                return self._accept(announcement)
            case Result(error=issue):
                return web.json_response(
                    {"title": "malformed", "detail": str(issue)}, status=400
                )

    def _accept(self, announcement: Announcement) -> web.Response:
        if announcement.failure_domain != self._settings.failure_domain:
            detail = f"this entry serves {self._settings.failure_domain}"
            return web.json_response(
                {"title": "other domain", "detail": detail}, status=409
            )
        self.receive(announcement)
        return web.Response(status=204)

    def _on_announced(self, sender: str, msg: RelayedAnnouncement) -> None:
        self._update(msg.announcement)

    def _on_renewed(self, sender: str, msg: RelayedRenewal) -> None:
        known = self._servers.get(msg.name)
        if known is not None and known.boot_id == msg.boot_id:
            self._update(
                msgspec.structs.replace(
                    known.announcement, load=msg.load, cache_events=msg.cache_events
                )
            )

    def _relay_announcement(self, announcement: Announcement) -> None:
        for entry in self._relay_targets(announcement):
            if entry.node != self._settings.node:
                msg = self._relay.next_message(entry.node, announcement, now())
                self._bus.send(entry.peers, msg)

    def _relay_targets(
        self, announcement: Announcement
    ) -> Sequence[EntryInfo | Member]:
        """Return the entries to relay to: all in a small domain, else the owner."""
        if self._membership is None or self._ownership is None:
            return [
                member
                for member in self._settings.entries
                if member.failure_domain == self._settings.failure_domain
            ]
        alive = self._membership.alive()
        if len(alive) <= MAX_BROADCAST_ENTRIES:
            return alive
        owner = self._ownership.owner_of(announcement.name)
        return () if owner is None else (owner,)

    def mark_leaving(self, name: str, boot_id: str) -> None:
        """Record and relay that a server leaves, unless it has started again."""
        known = self._servers.get(name)
        if known is None or known.boot_id != boot_id or known.announcement.leaving:
            return
        self.receive(msgspec.structs.replace(known.announcement, leaving=True))

    def _update(self, announcement: Announcement) -> None:
        known = self._servers.get(announcement.name)
        if known is not None and known.boot_id == announcement.boot_id:
            # A leave is final for a boot, also if an announcement was under way.
            leaving = announcement.leaving or known.announcement.leaving
            announcement = msgspec.structs.replace(announcement, leaving=leaving)
        server = BackendServer(announcement, now())
        if known is None or known.boot_id != server.boot_id:
            if known is not None:
                self._remove(known, "new_boot")
            event("info", "backend_server_joined", backend_server=server.name)
        self._servers[server.name] = server
        for listener in self.listeners.announced:
            listener(server)

    def _remove(self, server: BackendServer, reason: str) -> None:
        del self._servers[server.name]
        self._relay.remove(server.name)
        event("info", "backend_server_gone", backend_server=server.name, reason=reason)
        for listener in self.listeners.removed:
            listener(server)

    async def _sweep(self) -> None:
        running_since = await self._running.sleep(SWEEP_PERIOD_S)
        oldest = now() - ANNOUNCEMENT_TIMEOUT_S
        if running_since >= oldest:
            return
        for server in self.all():
            if server.announced_at < oldest:
                self._remove(server, "silent")


def create(settings: Settings) -> BackendDirectory:
    """Return the directory of an entry."""
    return BackendDirectory(settings)
