"""What an entry knows of control members, other entries and backend servers.

It greets every control member a few times a second, and hears at once from
them when a backend server changes. What several members say is merged; what
only silent members said goes on to count while no member answers.
"""

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec
from expression import Result

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.registry_wire import (
    ChangeNoted,
    EntryGone,
    EntryHello,
    EntryRecord,
    HelloAnswer,
    ServerRecord,
    ServersChanged,
    ServerState,
)
from fuchsiacroft.membership.server_table import ServerTable
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

HELLO_PERIOD_S = 0.4
HELLO_TIMEOUT_S = 0.8
GONE_TIMEOUT_S = 0.15
"""A stopping process has little time; who misses it finds the entry silent."""
FRESH_S = 1.5
"""A control member that has not answered for longer is out of reach."""
ENTRIES_KEPT_S = 15.0
"""Control members that were all stopped at once are back before that."""
SILENCE_S = 2.0
"""A server that no member in reach has named for so long is forgotten."""
SWEEP_PERIOD_S = 0.25

NO_ENTRIES: tuple[int, tuple[EntryRecord, ...]] = (0, ())

ServersListener = Callable[[tuple[ServerRecord, ...]], None]


@dataclass(frozen=True, slots=True)
class Merged:
    """The entries that control members told of; every request looks at them."""

    sources: list[str]
    entries: tuple[EntryRecord, ...]


class Roster(Service):
    """The processes and backend servers that an entry works with."""

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
        self._seeds = tuple(member.peers for member in settings.control)
        self._controls = self._seeds
        self._tables: dict[str, tuple[int, tuple[str, ...]]] = {}
        self._entries: dict[str, tuple[int, tuple[EntryRecord, ...]]] = {}
        self._merged: Merged | None = None
        self._answered: dict[str, float] = {}
        self._servers = ServerTable()
        self._greeting: dict[str, asyncio.Task] = {}
        self._servers_listeners: list[ServersListener] = []
        self._controls_listeners: list[Callable[[tuple[str, ...]], None]] = []
        self._tasks = BackgroundTasks("roster")

    async def start(self, kernel: Kernel) -> None:
        """Greet every control member, and hear of changes."""
        self._bus = kernel.get("bus", Bus)
        self._bus.register_handler(ServersChanged, self._on_changed)
        self._greet_all()
        self._tasks.spawn_critical(self._sweep(), "roster-sweep")

    def start_draining(self) -> None:
        """Tell the control members from now on that this entry drains."""
        self.local_entry = msgspec.structs.replace(self.local_entry, leaving=True)
        self._merged = None

    async def stop(self) -> None:
        """Sign off, and greet nobody any more."""
        await self._tasks.cancel()
        gone = EntryGone(self.local_entry.node)
        asked = [
            self._bus.request(address, gone, GONE_TIMEOUT_S)
            for address in self._controls
        ]
        await asyncio.gather(*asked)

    def dump(self) -> dict:
        """Return what is known, and from which control members."""
        return {
            "controls": {
                address: round(now() - self._answered[address], 3)
                if address in self._answered
                else None
                for address in self._controls
            },
            "entries": [entry.node for entry in self.entries()],
            "servers": [record.name for record in self.servers()],
        }

    @property
    def control_addresses(self) -> tuple[str, ...]:
        """Return the peer addresses of the control members."""
        return self._controls

    def set_seeds(self, addresses: tuple[str, ...]) -> None:
        """Greet other control members at first hand from now on."""
        self._seeds = addresses
        self._learn_controls(())

    def on_control_members_change(
        self, listener: Callable[[tuple[str, ...]], None]
    ) -> None:
        """Call `listener` with the addresses when the control members change."""
        self._controls_listeners.append(listener)

    def on_servers_change(self, listener: ServersListener) -> None:
        """Call `listener` with all records when backend servers change."""
        self._servers_listeners.append(listener)

    def servers(self) -> tuple[ServerRecord, ...]:
        """Return the backend servers that take work."""
        return tuple(
            r for r in self._servers.records() if r.life is ServerState.SERVING
        )

    def server(self, name: str) -> ServerRecord | None:
        """Return what is known of one backend server."""
        return self._servers.get(name)

    def entries(self) -> tuple[EntryRecord, ...]:
        """Return the entries in reach of the control members that answer.

        While none answers, those last told of count for some time.
        """
        sources = self._fresh() or self._answered_since(now() - ENTRIES_KEPT_S)
        if self._merged is None or self._merged.sources != sources:
            self._merged = Merged(sources, self._entries_of(sources))
        return self._merged.entries

    @property
    def is_control_reachable(self) -> bool:
        """Tell whether a control member answered lately."""
        return bool(self._fresh())

    def not_ready_reason(self) -> str | None:
        """Return why no backend server can be chosen yet, or None."""
        return None if self._answered else "no control member has answered"

    def _entries_of(self, sources: list[str]) -> tuple[EntryRecord, ...]:
        found = {self.local_entry.node: self.local_entry}
        for address in sources:
            for entry in self._entries.get(address, NO_ENTRIES)[1]:
                if entry.node != self.local_entry.node:
                    found[entry.node] = entry
        return tuple(found.values())

    def _fresh(self) -> list[str]:
        return self._answered_since(now() - FRESH_S)

    def _answered_since(self, oldest: float) -> list[str]:
        return [address for address, at in self._answered.items() if at >= oldest]

    def _greet_all(self) -> None:
        for gone in self._greeting.keys() - set(self._controls):
            self._greeting.pop(gone).cancel()
            self._answered.pop(gone, None)
        for address in self._controls:
            if address not in self._greeting:
                task = self._tasks.spawn_critical(
                    self._greet(address), f"greet-{address}"
                )
                self._greeting[address] = task

    async def _greet(self, address: str) -> None:
        while True:
            digest, _ = self._tables.get(address, (0, ()))
            entries_digest, _ = self._entries.get(address, NO_ENTRIES)
            hello = EntryHello(self.local_entry, digest, entries_digest)
            match await self._bus.request(address, hello, HELLO_TIMEOUT_S):
                case Result(tag="ok", ok=HelloAnswer() as answer):
                    self._hear(address, answer)
                case _:
                    self._miss(address)
            await asyncio.sleep(HELLO_PERIOD_S)

    def _hear(self, address: str, answer: HelloAnswer) -> None:
        if address not in self._fresh():
            event("info", "control_member_reached", address=address)
        self._answered[address] = now()
        if answer.entries is not None:
            self._entries[address] = (answer.entries_digest, answer.entries)
            self._merged = None
        if answer.records is not None:
            self._merge(answer.records)
            names = tuple(record.name for record in answer.records)
            self._tables[address] = (answer.digest, names)
        self._learn_controls(answer.controls)

    def _miss(self, address: str) -> None:
        at = self._answered.get(address)
        if at is not None and now() - at < FRESH_S + HELLO_TIMEOUT_S + HELLO_PERIOD_S:
            event("warning", "control_member_lost", address=address)

    def _learn_controls(self, told: tuple[str, ...]) -> None:
        known = tuple(sorted(set(told) | set(self._seeds)))
        if known != self._controls:
            self._controls = known
            event("info", "control_members_changed", addresses=",".join(known))
            self._greet_all()
            for listener in self._controls_listeners:
                listener(known)

    async def _on_changed(self, sender: str, msg: ServersChanged) -> ChangeNoted:
        self._merge(msg.records)
        return ChangeNoted()

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
            )
        if changed:
            self._tell()

    def _tell(self) -> None:
        records = self.servers()
        for listener in self._servers_listeners:
            listener(records)

    async def _sweep(self) -> None:
        """Forget servers that no control member in reach names any more."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            fresh = self._fresh()
            if not fresh:
                continue
            at = now()
            named = {
                name
                for address in fresh
                for name in self._tables.get(address, (0, ()))[1]
            }
            self._servers.keep(named, at)
            gone = self._servers.drop_silent(at - SILENCE_S, at)
            for name in gone:
                event("info", "backend_server_forgotten", backend_server=name)
            if gone:
                self._tell()


def create(settings: Settings) -> Roster:
    """Return the roster of an entry."""
    return Roster(settings)
