"""The registry of backend servers on each control member.

The table is soft state: a control member relays the reports it receives to the
other members, and a member that starts rebuilds its table from the heartbeats of
the next one or two periods. A report that changes something is relayed at once, also
to the entries that this member knows; other entries learn of it by the reply to
their next heartbeat to any member. A leave outlasts the table: members and entries that
know of one report it to a member that lists the server after a late heartbeat.
"""

import asyncio
from collections.abc import Iterable

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.config.settings import Name, Settings
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.announcement import Announcement
from fuchsiacroft.membership.control_members import ControlMembers
from fuchsiacroft.membership.registry_wire import (
    ChangeAck,
    EntryHeartbeat,
    EntryHeartbeatReply,
    EntryRecord,
    EntryStopping,
    ServerRecord,
    ServersChanged,
    ServerState,
    entries_digest,
)
from fuchsiacroft.membership.server_table import ServerTable
from fuchsiacroft.transport import codec
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now, wall_time
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.running_since import RunningSince
from fuchsiacroft.utils.tasks import BackgroundTasks

MAX_MISSED_HEARTBEATS = 4.0
"""Missed heartbeats until a server is removed; some arrive seconds late."""
ENTRY_TIMEOUT_S = 1.5
"""Several heartbeat periods of an entry."""
SWEEP_PERIOD_S = 0.25
NOTIFY_TIMEOUT_S = 0.25
NOTIFY_RETRY_DELAY_S = 0.02
NOTIFY_DEADLINE_S = 0.5
"""Keeps the response to a report below one second if entries do not reply."""
NO_ADDRESS = "0.0.0.0:1"
"""Of a server that left and isn't known."""
ENTRY_DISCOVERY_S = 1.5
"""Time after which every reachable entry has sent this member a heartbeat."""


class ServerRegistry(Service):
    """The backend servers and entries known to this control member."""

    name = "registry"

    def __init__(self, settings: Settings, heartbeat_s: float) -> None:
        if settings.addresses.peers is None:
            raise SettingsError("a registry needs addresses.peers")
        self._address = settings.addresses.peers
        self._domain = settings.failure_domain
        self._server_timeout_s = MAX_MISSED_HEARTBEATS * heartbeat_s
        self._table = ServerTable()
        self._unchanged: dict[str, ServerRecord] = {}
        self._entries: dict[str, tuple[EntryRecord, float]] = {}
        self._stopped: dict[str, int] = {}
        self._entries_digest = 0
        self._started_at = 0.0
        self._running = RunningSince()
        self._tasks = BackgroundTasks("registry")

    async def start(self, kernel: Kernel) -> None:
        """Start to receive messages from entries and other control members."""
        self._bus = kernel.get("bus", Bus)
        self._members = kernel.get("control_members", ControlMembers)
        self._bus.register_handler(EntryHeartbeat, self._on_heartbeat)
        self._bus.register_handler(EntryStopping, self._on_entry_stopping)
        self._bus.register_handler(ServersChanged, self._on_changed)
        self._started_at = now()
        self._tasks.spawn_repeated(self._sweep, "registry-sweep")

    async def stop(self) -> None:
        """Cancel the background tasks."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the known backend servers and entries."""
        return {
            "servers": {
                record.name: f"{record.life.value} {record.announcement.address}"
                for record in self._table.records()
            },
            "entries": sorted(self._entries),
        }

    def lacks_start(self, record: ServerRecord) -> bool:
        """Whether a report doesn't tell the server's start, though other servers do.

        Either all servers report when they started or none does.
        """
        return not record.born_ms and any(
            known.born_ms
            for known in self._table.records()
            if known.life is not ServerState.LEFT
        )

    async def report(self, record: ServerRecord) -> Result[None, str]:
        """Process a report of a backend server; an error says why it is not confirmed.

        A report that the server accepts no more work is confirmed only after every
        reachable entry and most control members have applied it. Without a
        confirmation it may be applied by some of them.
        """
        if not codec.is_encodable(record):
            return Error("no message can carry the report")
        changed = self._table.merge(record, now())
        if changed:
            self._log_changes(changed, "heartbeat")
        known = self._table.get(record.name)
        is_ending = known is not None and known.life is not ServerState.SERVING
        if is_ending and known.instance_id == record.instance_id:
            return await self._notify_until_acknowledged(known)
        if changed:
            self._notify_members((record,))
            self._tasks.spawn(self._notify_entries(changed), "registry-notify")
        else:
            self._unchanged[record.name] = record
        return Ok(None)

    async def leave(self, name: str, born_ms: int | None) -> Result[None, str]:
        """Mark a backend server as left, and confirm this like a report.

        `born_ms` identifies the life that left; None means the current one. The leave
        of an earlier life changes nothing; that of one which isn't known, as it was
        silent or this member has started again, holds against late heartbeats.
        """
        known = self._table.get(name)
        if known is not None and born_ms in (None, known.born_ms):
            return await self.report(known.as_left())
        if known is not None and born_ms < known.born_ms:
            return Ok(None)
        unknown = self._unknown_left(name, born_ms)
        return Ok(None) if unknown is None else await self.report(unknown)

    def _unknown_left(self, name: str, born_ms: int | None) -> ServerRecord | None:
        """Return the record of a life that left and isn't known.

        Without a start it stands for all lives until now. None if no server can have
        the name.
        """
        try:
            msgspec.convert(name, Name)
        except msgspec.ValidationError:
            return None
        if born_ms is None:
            born_ms = round(wall_time() * 1000)
        announcement = Announcement(
            name=name,
            boot_id="",
            failure_domain=self._domain,
            address=NO_ADDRESS,
            offers=(),
            slots=0,
        )
        return ServerRecord(announcement, born_ms, 0, ServerState.LEFT)

    async def _notify_until_acknowledged(
        self, record: ServerRecord
    ) -> Result[None, str]:
        """Notify the entries and members until all and most of them have replied.

        A member that is cut off knows no entry. Another member that knows the record
        tells it to the entries that this one does not reach.
        """
        if now() - self._started_at < ENTRY_DISCOVERY_S:
            return Error("this control member has just started")
        unacknowledged, members = await asyncio.gather(
            self._notify_all_entries((record,)), self._notify_most_members((record,))
        )
        if unacknowledged:
            return Error(f"not acknowledged by {','.join(sorted(unacknowledged))}")
        if members < self._majority():
            return Error(f"known to {members} of {len(self._members.all())} members")
        self._log_confirmed(record, members)
        return Ok(None)

    async def _notify_all_entries(self, records: tuple[ServerRecord, ...]) -> list[str]:
        """Notify the entries repeatedly; return those that have not replied."""
        deadline = now() + NOTIFY_DEADLINE_S
        unacknowledged = await self._notify_entries(records)
        while unacknowledged and now() < deadline:
            await asyncio.sleep(NOTIFY_RETRY_DELAY_S)
            unacknowledged = await self._notify_entries(
                records, only=set(unacknowledged)
            )
        return unacknowledged

    async def _notify_most_members(self, records: tuple[ServerRecord, ...]) -> int:
        """Notify the control members; return how many know the records, with this one.

        Returns once most of them do, or after `NOTIFY_DEADLINE_S`.
        """
        message = ServersChanged(self._address, records)
        requests = [
            self._tasks.spawn(
                self._bus.request(address, message, NOTIFY_DEADLINE_S),
                "registry-notify",
            )
            for address in self._members.others()
        ]
        known_to = 1
        for reply in asyncio.as_completed(requests):
            if known_to >= self._majority():
                break
            known_to += (await reply).is_ok()
        return known_to

    def _majority(self) -> int:
        return len(self._members.all()) // 2 + 1

    async def _notify_entries(
        self, records: tuple[ServerRecord, ...], only: set[str] | None = None
    ) -> list[str]:
        """Notify the known entries; return the nodes that did not reply.

        Nodes that were removed in the meantime are left out.
        """
        message = ServersChanged(self._address, records)
        entries = [
            entry
            for entry, _ in self._entries.values()
            if only is None or entry.node in only
        ]
        requests = [
            self._bus.request(entry.peers, message, NOTIFY_TIMEOUT_S)
            for entry in entries
        ]
        replies = await asyncio.gather(*requests)
        return [
            entry.node
            for entry, reply in zip(entries, replies, strict=True)
            if reply.is_error() and entry.node in self._entries
        ]

    def _notify_members(self, records: tuple[ServerRecord, ...]) -> None:
        message = ServersChanged(self._address, records)
        for address in self._members.others():
            self._bus.send(address, message)

    def _on_changed(self, sender: str, msg: ServersChanged) -> ChangeAck:
        changed = []
        for record in msg.records:
            changed.extend(self._table.merge(record, now()))
        if changed:
            self._log_changes(tuple(changed), sender)
        self._pass_leaves_on(msg, changed)
        return ChangeAck()

    def _pass_leaves_on(
        self, msg: ServersChanged, changed: Iterable[ServerRecord]
    ) -> None:
        """Tell a member of leaves that it doesn't know, and all of an entry's."""
        if msg.source in self._members.others():
            left = self._table.left_among(msg.records)
            if left:
                self._bus.send(msg.source, ServersChanged(self._address, left))
            return
        left = tuple(r for r in changed if r.life is ServerState.LEFT)
        if left:
            self._notify_members(left)

    def _on_heartbeat(self, sender: str, msg: EntryHeartbeat) -> EntryHeartbeatReply:
        self._record_entry(msg.entry)
        digest, entries_digest = self._table.digest, self._entries_digest
        sends_servers = msg.asks_full and digest != msg.digest
        sends_entries = msg.asks_full and entries_digest != msg.entries_digest
        reported = self._members.reported_group()
        return EntryHeartbeatReply(
            controls=tuple(sorted(reported.addresses)),
            entries_digest=entries_digest,
            entries=self._known_entries() if sends_entries else None,
            digest=digest,
            records=self._table.records() if sends_servers else None,
            group=reported.group,
            group_index=reported.index,
            has_all_entries=now() - self._started_at >= ENTRY_DISCOVERY_S,
        )

    def _known_entries(self) -> tuple[EntryRecord, ...]:
        return tuple(known for known, _ in self._entries.values())

    def _record_entry(self, entry: EntryRecord) -> None:
        """Record an entry's heartbeat, unless the same process has stopped since."""
        if entry.started_ms <= self._stopped.get(entry.node, 0):
            return
        known = self._entries.get(entry.node)
        if known is None:
            event("info", "entry_joined", entry=entry.node, domain=entry.failure_domain)
        self._entries[entry.node] = (entry, now())
        if known is None or known[0] != entry:
            self._entries_changed()

    def _entries_changed(self) -> None:
        self._entries_digest = entries_digest(self._known_entries())

    def _on_entry_stopping(self, sender: str, msg: EntryStopping) -> ChangeAck:
        known = self._entries.pop(msg.node, None)
        if known is not None:
            self._stopped[msg.node] = known[0].started_ms
            self._entries_changed()
            event("info", "entry_left", entry=msg.node)
        return ChangeAck()

    async def _sweep(self) -> None:
        running_since = await self._running.sleep(SWEEP_PERIOD_S)
        at = now()
        self._relay_unchanged()
        if running_since < at - self._server_timeout_s:
            self._forget_silent_servers(at)
        if running_since < at - ENTRY_TIMEOUT_S:
            self._forget_silent_entries(at)

    def _forget_silent_servers(self, at: float) -> None:
        for name in self._table.remove_expired(at - self._server_timeout_s, at):
            event("info", "backend_server_forgotten", backend_server=name)

    def _forget_silent_entries(self, at: float) -> None:
        for node, (_, received_at) in list(self._entries.items()):
            if received_at < at - ENTRY_TIMEOUT_S:
                del self._entries[node]
                self._entries_changed()
                event("info", "entry_silent", entry=node)

    def _relay_unchanged(self) -> None:
        """Relay the heartbeats that changed nothing, in one message."""
        if self._unchanged:
            self._notify_members(tuple(self._unchanged.values()))
            self._unchanged.clear()

    def _log_confirmed(self, record: ServerRecord, members: int) -> None:
        event(
            "info",
            "leave_confirmed",
            backend_server=record.name,
            born_ms=record.born_ms,
            life=record.life.value,
            entries=len(self._entries),
            members=members,
        )

    def _log_changes(self, records: tuple[ServerRecord, ...], source: str) -> None:
        for record in records:
            event(
                "info",
                "backend_server_changed",
                backend_server=record.name,
                born_ms=record.born_ms,
                sequence=record.sequence,
                life=record.life.value,
                address=record.announcement.address,
                offers=record.announcement.offered,
                source=source,
            )


def create(settings: Settings, heartbeat_s: float) -> ServerRegistry:
    """Return the registry of a control member; `heartbeat_s` is the period."""
    return ServerRegistry(settings, heartbeat_s)
