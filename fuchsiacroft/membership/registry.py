"""Where backend servers register, on each control member.

The table is soft state: every control member passes what it hears on to the
others and to the entries, and a member that starts hears it all again within a
heartbeat or two.
"""

import asyncio

from expression import Error, Ok, Result

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.control_members import ControlMembers
from fuchsiacroft.membership.registry_wire import (
    ChangeNoted,
    EntryGone,
    EntryHello,
    EntryRecord,
    HelloAnswer,
    ServerRecord,
    ServersChanged,
    ServerState,
    entries_digest,
)
from fuchsiacroft.membership.server_table import ServerTable
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

SILENT_HEARTBEATS = 4.0
"""Heartbeats missed until a server is forgotten; some arrive seconds late."""
ENTRY_SILENCE_S = 1.5
"""Several greetings of an entry."""
SWEEP_PERIOD_S = 0.25
NOTE_TIMEOUT_S = 0.25
NOTE_PAUSE_S = 0.02
NOTE_PATIENCE_S = 0.5
"""A report is answered within a second, whether the entries answer or not."""
ENTRY_DISCOVERY_S = 1.0
"""After a start every entry has greeted this member, if it can reach it."""


class ServerRegistry(Service):
    """The backend servers and entries that this control member knows."""

    name = "registry"

    def __init__(self, settings: Settings, heartbeat_s: float) -> None:
        if settings.addresses.peers is None:
            raise SettingsError("a registry needs addresses.peers")
        self._address = settings.addresses.peers
        self._silence_s = SILENT_HEARTBEATS * heartbeat_s
        self._table = ServerTable()
        self._entries: dict[str, tuple[EntryRecord, float]] = {}
        self._entries_digest = 0
        self._started_at = 0.0
        self._tasks = BackgroundTasks("registry")

    async def start(self, kernel: Kernel) -> None:
        """Hear entries and other control members."""
        self._bus = kernel.get("bus", Bus)
        self._members = kernel.get("control_members", ControlMembers)
        self._bus.register_handler(EntryHello, self._on_hello)
        self._bus.register_handler(EntryGone, self._on_gone)
        self._bus.register_handler(ServersChanged, self._on_changed)
        self._started_at = now()
        self._tasks.spawn_critical(self._sweep(), "registry-sweep")

    async def stop(self) -> None:
        """End every background task."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the backend servers and the entries known here."""
        return {
            "servers": {
                record.name: f"{record.life.value} {record.announcement.address}"
                for record in self._table.records()
            },
            "entries": sorted(self._entries),
        }

    async def report(self, record: ServerRecord) -> Result[None, str]:
        """Take a report of a backend server; an error says why it isn't obeyed.

        A report that the server takes no more work succeeds only when every
        entry in reach obeys it.
        """
        changed = self._table.merge(record, now())
        self._tell_members(record)
        if changed:
            self._log(changed, "heartbeat")
        known = self._table.get(record.name)
        ends = known is not None and known.life is not ServerState.SERVING
        if ends and known.incarnation == record.incarnation:
            return await self._tell_all((known,))
        if changed:
            self._tasks.spawn(self._tell_entries(changed), "registry-tell")
        return Ok(None)

    async def leave(self, name: str, born_ms: int | None) -> Result[None, str]:
        """Note that a backend server is gone; None means its life known here."""
        known = self._table.get(name)
        if known is None or (born_ms is not None and known.born_ms != born_ms):
            return Ok(None)
        return await self.report(known.ended())

    async def _tell_all(self, records: tuple[ServerRecord, ...]) -> Result[None, str]:
        if now() - self._started_at < ENTRY_DISCOVERY_S:
            return Error("this control member has just started")
        deadline = now() + NOTE_PATIENCE_S
        silent = await self._tell_entries(records)
        while silent and now() < deadline:
            await asyncio.sleep(NOTE_PAUSE_S)
            silent = await self._tell_entries(records, only=set(silent))
        if silent:
            return Error(f"not noted by {','.join(sorted(silent))}")
        return Ok(None)

    async def _tell_entries(
        self, records: tuple[ServerRecord, ...], only: set[str] | None = None
    ) -> list[str]:
        """Tell every entry known; return the nodes that did not answer and remain."""
        message = ServersChanged(self._address, records)
        entries = [
            entry
            for entry, _ in self._entries.values()
            if only is None or entry.node in only
        ]
        asked = [
            self._bus.request(entry.peers, message, NOTE_TIMEOUT_S) for entry in entries
        ]
        answers = await asyncio.gather(*asked)
        return [
            entry.node
            for entry, answer in zip(entries, answers, strict=True)
            if answer.is_error() and entry.node in self._entries
        ]

    def _tell_members(self, record: ServerRecord) -> None:
        message = ServersChanged(self._address, (record,))
        for address in self._members.others():
            self._bus.send(address, message)

    async def _on_changed(self, sender: str, msg: ServersChanged) -> ChangeNoted:
        changed = []
        for record in msg.records:
            changed.extend(self._table.merge(record, now()))
        if changed:
            self._log(tuple(changed), sender)
            self._tasks.spawn(self._tell_entries(tuple(changed)), "registry-tell")
        return ChangeNoted()

    async def _on_hello(self, sender: str, msg: EntryHello) -> HelloAnswer:
        entry = msg.entry
        if entry.node not in self._entries:
            event("info", "entry_joined", entry=entry.node, domain=entry.failure_domain)
        self._note_entry(entry)
        knows_servers = msg.digest == self._table.digest
        knows_entries = msg.entries_digest == self._entries_digest
        entries = tuple(known for known, _ in self._entries.values())
        return HelloAnswer(
            controls=self._members.all(),
            entries_digest=self._entries_digest,
            entries=None if knows_entries else entries,
            digest=self._table.digest,
            records=None if knows_servers else self._table.records(),
        )

    def _note_entry(self, entry: EntryRecord) -> None:
        known = self._entries.get(entry.node)
        self._entries[entry.node] = (entry, now())
        if known is None or known[0] != entry:
            self._entries_changed()

    def _entries_changed(self) -> None:
        entries = (known for known, _ in self._entries.values())
        self._entries_digest = entries_digest(entries)

    async def _on_gone(self, sender: str, msg: EntryGone) -> ChangeNoted:
        if self._entries.pop(msg.node, None) is not None:
            self._entries_changed()
            event("info", "entry_left", entry=msg.node)
        return ChangeNoted()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            at = now()
            for name in self._table.drop_silent(at - self._silence_s, at):
                event("info", "backend_server_forgotten", backend_server=name)
            for node, (_, heard_at) in list(self._entries.items()):
                if heard_at < at - ENTRY_SILENCE_S:
                    del self._entries[node]
                    self._entries_changed()
                    event("info", "entry_silent", entry=node)

    def _log(self, records: tuple[ServerRecord, ...], source: str) -> None:
        for record in records:
            event(
                "info",
                "backend_server_changed",
                backend_server=record.name,
                born_ms=record.born_ms,
                sequence=record.sequence,
                life=record.life.value,
                address=record.announcement.address,
                source=source,
            )


def create(settings: Settings, heartbeat_s: float) -> ServerRegistry:
    """Return the registry of a control member; heartbeats come so often."""
    return ServerRegistry(settings, heartbeat_s)
