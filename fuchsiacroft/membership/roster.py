"""An entry's view of the control members, entries and backend servers.

The entry sends a heartbeat to every control member a few times a second, and
the members notify it at once when a backend server changes. The replies of
several members are merged. Information from unreachable members is used only
while no member replies.

A reply to a heartbeat holds the digests of the member's tables. The entry asks for
the tables of one member after another, and only where no other member has sent it
the same ones before, so a change is mostly transferred once.
"""

import asyncio
import math
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec
from expression import Result

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.control_directory import ControlDirectory, ReportedGroup
from fuchsiacroft.membership.registry_wire import (
    ChangeAck,
    EntryHeartbeat,
    EntryHeartbeatReply,
    EntryRecord,
    EntryStopping,
    ServerRecord,
    ServersChanged,
    ServerState,
)
from fuchsiacroft.membership.server_table import ServerTable
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

HEARTBEAT_PERIOD_S = 0.5
HEARTBEAT_TIMEOUT_S = 0.8
STOP_NOTICE_TIMEOUT_S = 0.15
"""Short, as a stopping process has little time.

A member that misses the notice removes the entry after its heartbeat timeout.
"""
CONTROL_TIMEOUT_S = 1.5
"""A control member that has not replied for longer counts as unreachable."""
ENTRIES_RETENTION_S = 15.0
"""Longer than a restart of all control members at once takes."""
SERVER_TIMEOUT_S = 2.0
"""A server that no reachable member lists for this long is removed."""
SWEEP_PERIOD_S = 0.5

NO_SERVERS: tuple[int, tuple[str, ...]] = (0, ())
NO_ENTRIES: tuple[int, tuple[EntryRecord, ...]] = (0, ())

ServersListener = Callable[[tuple[ServerRecord, ...]], None]


@dataclass(frozen=True, slots=True)
class MergedEntries:
    """Cached merge of the members' entries, as every request reads them."""

    sources: list[str]
    entries: tuple[EntryRecord, ...]


class Roster(Service):
    """The control members, entries and backend servers known to an entry."""

    name = "roster"

    def __init__(self, settings: Settings) -> None:
        if settings.addresses.peers is None:
            raise SettingsError("a roster needs addresses.peers")
        self.local_entry = EntryRecord(
            node=settings.node,
            failure_domain=settings.failure_domain,
            peers=settings.addresses.peers,
            started_ms=int(time.time() * 1000),
        )
        self._directory = ControlDirectory(member.peers for member in settings.control)
        self._controls = self._directory.addresses()
        self._known_servers: dict[str, tuple[int, tuple[str, ...]]] = {}
        self._entries: dict[str, tuple[int, tuple[EntryRecord, ...]]] = {}
        self._listed_before: dict[str, tuple[EntryRecord, ...]] = {}
        self._merged: MergedEntries | None = None
        self._reported_leaving: dict[str, int] = {}
        self._replied_at: dict[str, float] = {}
        self._servers = ServerTable()
        self._awaited: set[str] = set()
        self._differing: dict[str, EntryHeartbeatReply] = {}
        self._is_fetching = False
        self._servers_listeners: list[ServersListener] = []
        self._controls_listeners: list[Callable[[tuple[str, ...]], None]] = []
        self._tasks = BackgroundTasks("roster")

    async def start(self, kernel: Kernel) -> None:
        """Start to send heartbeats and to receive changes."""
        self._bus = kernel.get("bus", Bus)
        self._bus.register_handler(ServersChanged, self._on_changed)
        self._tasks.spawn_critical(self._send_heartbeats(), "roster-heartbeats")
        self._tasks.spawn_repeated(self._sweep, "roster-sweep")

    def start_draining(self) -> None:
        """Report this entry as draining in its heartbeats from now on."""
        self.local_entry = msgspec.structs.replace(self.local_entry, leaving=True)
        self._merged = None

    def record_leaving(self, entry: EntryRecord) -> None:
        """Record that another entry has reported that it is draining."""
        self._reported_leaving[entry.node] = entry.started_ms
        self._merged = None

    async def stop(self) -> None:
        """Stop the heartbeats and notify the control members."""
        await self._tasks.cancel()
        notice = EntryStopping(self.local_entry.node)
        requests = [
            self._bus.request(address, notice, STOP_NOTICE_TIMEOUT_S)
            for address in self._controls
        ]
        await asyncio.gather(*requests)

    def dump(self) -> dict:
        """Return the known names and the age of each control member's last reply."""
        return {
            "controls": {
                address: round(now() - self._replied_at[address], 3)
                if address in self._replied_at
                else None
                for address in self._controls
            },
            "entries": [entry.node for entry in self.entries()],
            "servers": [record.name for record in self.servers()],
        }

    @property
    def control_addresses(self) -> tuple[str, ...]:
        """Return the peer addresses under which control members may be reached."""
        return self._controls

    def set_seeds(self, addresses: tuple[str, ...]) -> None:
        """Replace the addresses that the settings name; known members stay known."""
        self._directory.set_seeds(addresses, now())
        self._update_controls()

    def on_control_members_change(
        self, listener: Callable[[tuple[str, ...]], None]
    ) -> None:
        """Call `listener` with the addresses when the control members change."""
        self._controls_listeners.append(listener)

    def on_servers_change(self, listener: ServersListener) -> None:
        """Call `listener` with all records when backend servers change."""
        self._servers_listeners.append(listener)

    def servers(self) -> tuple[ServerRecord, ...]:
        """Return the backend servers that accept requests."""
        return tuple(
            r for r in self._servers.records() if r.life is ServerState.SERVING
        )

    def known_servers(self) -> tuple[ServerRecord, ...]:
        """Return all backend servers, those that leave or have left too."""
        return self._servers.records()

    def leaving_servers(self) -> frozenset[str]:
        """Return the names of the backend servers that leave by plan."""
        return frozenset(
            r.name for r in self._servers.records() if r.life is ServerState.LEAVING
        )

    def server(self, name: str) -> ServerRecord | None:
        """Return the record of a backend server, or None."""
        return self._servers.get(name)

    def mark_leaving(self, record: ServerRecord) -> ServerRecord | None:
        """Record that a serving server leaves; return its new record, None if known."""
        known = self._servers.get(record.name)
        if known is None or known.instance_id != record.instance_id:
            return None
        if known.life is not ServerState.SERVING:
            return None
        leaving = msgspec.structs.replace(known, life=ServerState.LEAVING)
        self._merge((leaving,))
        return leaving

    def entries(self) -> tuple[EntryRecord, ...]:
        """Return the entries that the reachable control members list.

        While no member is reachable, the last known entries stay valid for
        `ENTRIES_RETENTION_S`.
        """
        sources = self._reachable_controls() or self._replied_since(
            now() - ENTRIES_RETENTION_S
        )
        if self._merged is None or self._merged.sources != sources:
            self._merged = MergedEntries(sources, self._entries_of(sources))
        return self._merged.entries

    @property
    def knows_entries(self) -> bool:
        """Return whether a control member has listed the entries."""
        return bool(self._entries)

    @property
    def is_control_reachable(self) -> bool:
        """Return whether a control member has replied recently."""
        return bool(self._reachable_controls())

    @property
    def control_replied_at(self) -> float:
        """Return when a control member last replied, minus infinity if none has."""
        return max(self._replied_at.values(), default=-math.inf)

    @property
    def reaches_most_controls(self) -> bool:
        """Return whether most members of the control group have replied recently."""
        members = self._directory.members()
        return 2 * len(members.intersection(self._reachable_controls())) > len(members)

    def peers(self) -> tuple[str, ...]:
        """Return the addresses of the other entries."""
        own = self.local_entry.peers
        return tuple(e.peers for e in self.entries() if e.peers != own)

    def not_ready_reason(self) -> str | None:
        """Return why no backend server can be selected yet, or None."""
        return None if self._replied_at else "no control member has answered"

    def _entries_of(self, sources: list[str]) -> tuple[EntryRecord, ...]:
        found = {self.local_entry.node: self.local_entry}
        for address in sources:
            listed = self._entries.get(address, NO_ENTRIES)[1]
            for entry in (*self._listed_before.get(address, ()), *listed):
                if entry.node != self.local_entry.node:
                    found[entry.node] = self._with_reported_state(entry)
        return tuple(found.values())

    def _with_reported_state(self, entry: EntryRecord) -> EntryRecord:
        """Return a listed entry, as leaving if it reported so itself."""
        if self._reported_leaving.get(entry.node) != entry.started_ms:
            return entry
        return msgspec.structs.replace(entry, leaving=True)

    def _reachable_controls(self) -> list[str]:
        return self._replied_since(now() - CONTROL_TIMEOUT_S)

    def _replied_since(self, oldest: float) -> list[str]:
        return [address for address, at in self._replied_at.items() if at >= oldest]

    async def _send_heartbeats(self) -> None:
        while True:
            self._start_heartbeats()
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    def _start_heartbeats(self) -> None:
        """Send a heartbeat to each control member that has replied to the last one."""
        for address in self._controls:
            if address not in self._awaited:
                self._awaited.add(address)
                self._tasks.spawn(self._heartbeat(address), f"heartbeat-{address}")

    async def _heartbeat(self, address: str) -> None:
        try:
            await self._exchange(address, asks_full=False)
        finally:
            self._awaited.discard(address)

    async def _exchange(self, address: str, *, asks_full: bool) -> None:
        """Send a heartbeat and handle the reply."""
        digest, _ = self._known_servers.get(address, NO_SERVERS)
        entries_digest, _ = self._entries.get(address, NO_ENTRIES)
        heartbeat = EntryHeartbeat(self.local_entry, digest, entries_digest, asks_full)
        match await self._bus.request(address, heartbeat, HEARTBEAT_TIMEOUT_S):
            case Result(tag="ok", ok=EntryHeartbeatReply() as reply):
                self._on_reply(address, reply)
            case _:
                self._on_missed_reply(address)

    def _on_reply(self, address: str, reply: EntryHeartbeatReply) -> None:
        if address not in self._controls:
            return
        if address not in self._reachable_controls():
            event("info", "control_member_reached", address=address)
        self._replied_at[address] = now()
        self._keep_listed(address, reply)
        if reply.entries is not None:
            self._entries[address] = (reply.entries_digest, reply.entries)
            self._merged = None
        if reply.records is not None:
            self._merge(reply.records)
            left = self._servers.left_among(reply.records)
            if left:
                message = ServersChanged(self.local_entry.peers, left)
                self._bus.send(address, message)
            names = tuple(record.name for record in reply.records)
            self._known_servers[address] = (reply.digest, names)
        self._differing[address] = reply
        if not self._adopt_known(address) and not self._is_fetching:
            self._is_fetching = True
            self._tasks.spawn(self._fetch_differing(), "roster-fetch")
        controls = frozenset(reply.controls)
        reported = ReportedGroup(reply.group, reply.group_index, controls)
        self._directory.record_reply(address, reported, now())
        self._update_controls()

    def _keep_listed(self, address: str, reply: EntryHeartbeatReply) -> None:
        """Keep what a member listed before it started again, until it has all."""
        if not reply.has_all_entries:
            listed = self._entries.get(address, NO_ENTRIES)[1]
            self._listed_before.setdefault(address, listed)
        elif self._listed_before.pop(address, None):
            self._merged = None

    def _adopt_known(self, address: str) -> bool:
        """Take tables with the same digests, this entry's own too, for a member's.

        Returns whether both tables of the member are known then.
        """
        reply = self._differing[address]
        servers = dict(self._known_servers.values()).get(reply.digest)
        if servers is None and reply.digest == self._servers.digest:
            servers = tuple(record.name for record in self._servers.records())
        if servers is not None:
            self._known_servers[address] = (reply.digest, servers)
        entries = dict(self._entries.values()).get(reply.entries_digest)
        if entries is not None:
            listed = (reply.entries_digest, entries)
            if self._entries.get(address) != listed:
                self._entries[address] = listed
                self._merged = None
        if servers is None or entries is None:
            return False
        del self._differing[address]
        return True

    async def _fetch_differing(self) -> None:
        """Ask for the tables of the members that no other member has sent."""
        try:
            while self._differing:
                address = next(iter(self._differing))
                if not self._adopt_known(address):
                    del self._differing[address]
                    await self._exchange(address, asks_full=True)
        finally:
            self._is_fetching = False

    def _on_missed_reply(self, address: str) -> None:
        at = self._replied_at.get(address)
        if (
            at is not None
            and now() - at
            < CONTROL_TIMEOUT_S + HEARTBEAT_TIMEOUT_S + HEARTBEAT_PERIOD_S
        ):
            event("warning", "control_member_lost", address=address)

    def _update_controls(self) -> None:
        """Send heartbeats to new control members, and forget removed ones."""
        addresses = self._directory.addresses()
        if addresses == self._controls:
            return
        for removed in set(self._controls) - set(addresses):
            self._replied_at.pop(removed, None)
            self._known_servers.pop(removed, None)
            self._entries.pop(removed, None)
            self._listed_before.pop(removed, None)
            self._differing.pop(removed, None)
        self._controls = addresses
        event("info", "control_members_changed", addresses=",".join(addresses))
        self._start_heartbeats()
        for listener in self._controls_listeners:
            listener(addresses)

    def _on_changed(self, sender: str, msg: ServersChanged) -> ChangeAck:
        self._merge(msg.records)
        return ChangeAck()

    def _merge(self, records: Iterable[ServerRecord]) -> None:
        changed = []
        for record in records:
            changed.extend(self._servers.merge(record, now()))
        for record in changed:
            event(
                "info",
                "backend_server_changed",
                backend_server=record.name,
                born_ms=record.born_ms,
                life=record.life.value,
                address=record.announcement.address,
                offers=record.announcement.offered,
            )
        if changed:
            self._notify_servers_listeners()

    def _notify_servers_listeners(self) -> None:
        records = self.servers()
        for listener in self._servers_listeners:
            listener(records)

    async def _sweep(self) -> None:
        """Remove control members and servers that are no longer listed."""
        await asyncio.sleep(SWEEP_PERIOD_S)
        self._directory.remove_expired(now())
        self._update_controls()
        reachable = self._reachable_controls()
        if not reachable:
            return
        at = now()
        listed = {
            name
            for address in reachable
            for name in self._known_servers.get(address, (0, ()))[1]
        }
        self._servers.refresh(listed, at)
        removed = self._servers.remove_expired(at - SERVER_TIMEOUT_S, at)
        for name in removed:
            event("info", "backend_server_forgotten", backend_server=name)
        if removed:
            self._notify_servers_listeners()


def create(settings: Settings) -> Roster:
    """Return the roster of an entry."""
    return Roster(settings)
