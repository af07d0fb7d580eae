"""The demo system: two entries, a control member, two engines, an application."""

import asyncio
import importlib.resources
import secrets
from dataclasses import dataclass
from pathlib import Path

import msgspec

from fuchsiacroft.config.document import Document, hash_key
from fuchsiacroft.config.settings import Addresses, Member, Settings
from fuchsiacroft.control import process as control_process
from fuchsiacroft.entry import process as entry_process
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.standin import announcer, application, engine
from fuchsiacroft.standin.announcer import Announcer
from fuchsiacroft.utils.http import Listener
from fuchsiacroft.utils.ports import free_addresses
from fuchsiacroft.utils.tasks import BackgroundTasks

DOMAIN = "mvd-cordon"
ENTRIES = ("entry-1", "entry-2")
ENGINE_SLOTS = 4
TOKEN_GAPS_S = {"engine-fast": 0.008, "engine-slow": 0.012}
BOOKING_S = 0.05
DRAIN_TIMEOUT_S = 5.0


@dataclass(slots=True)
class StandIn:
    """A stand-in backend server: its address, listener and announcer."""

    address: str
    listener: Listener
    announcer: Announcer


class DemoSystem:
    """Runs all roles over loopback; `folder` stores the control member's files."""

    def __init__(self, folder: Path) -> None:
        self.operator_token = secrets.token_urlsafe(16)
        self.workspace_key = secrets.token_urlsafe(16)
        self.caller_addresses: list[str] = []
        self.operator_addresses: dict[str, str] = {}
        self.control_address = ""
        self.stand_ins: dict[str, StandIn] = {}
        self._kernels: list[Kernel] = []
        self._tasks = BackgroundTasks("demo")
        self._announce_addresses: list[str] = []
        self._free_addresses = iter(free_addresses(2 + 4 * len(ENTRIES) + 3))
        self._folder = folder

    async def start(self) -> None:
        """Start every role."""
        control = {kind: next(self._free_addresses) for kind in ("operators", "peers")}
        kinds = ("operators", "peers", "callers", "backend_servers")
        entries = {
            name: {kind: next(self._free_addresses) for kind in kinds}
            for name in ENTRIES
        }
        self.control_address = control["operators"]
        self.caller_addresses = [addresses["callers"] for addresses in entries.values()]
        self.operator_addresses = {
            name: addresses["operators"] for name, addresses in entries.items()
        }
        self._announce_addresses = [
            addresses["backend_servers"] for addresses in entries.values()
        ]
        members = {
            "control": [_member("control-1", control)],
            "entries": [_member(*entry) for entry in entries.items()],
        }
        settings = self._settings("control-1", control, members)
        await self._run(control_process.create(settings))
        for name, addresses in entries.items():
            settings = self._settings(name, addresses, members)
            await self._run(entry_process.create(settings))
        await self._start_stand_ins()

    async def stop(self) -> None:
        """Drain the work in progress and stop every role."""
        control, *entries = self._kernels
        await asyncio.gather(*(_drain_and_stop(kernel) for kernel in entries))
        await _drain_and_stop(control)
        await self._tasks.cancel()
        for stand_in in self.stand_ins.values():
            await stand_in.listener.stop()

    def document(self) -> Document:
        """Return the sample document with the workspace key added."""
        source = importlib.resources.files("fuchsiacroft.demo") / "document.json"
        document = msgspec.json.decode(source.read_bytes(), type=Document)
        return with_key(document, self.workspace_key)

    def _settings(self, name: str, addresses: dict, members: dict) -> Settings:
        return Settings(
            node=name,
            failure_domain=DOMAIN,
            region="mvd",
            addresses=Addresses(**addresses),
            data_folder=str(self._folder) if name.startswith("control") else None,
            operator_token_hashes=[hash_key(self.operator_token)],
            drain_timeout_s=DRAIN_TIMEOUT_S,
            **members,
        )

    async def _run(self, kernel: Kernel) -> None:
        self._kernels.append(kernel)
        await kernel.start()

    async def _start_stand_ins(self) -> None:
        for name, gap_s in TOKEN_GAPS_S.items():
            server = engine.create(engine.EngineSpeed(token_gap_s=gap_s))
            await self._start_stand_in(name, "lens-assistant", ENGINE_SLOTS, server)
        server = application.create(BOOKING_S)
        await self._start_stand_in("bookings-1", "bookings", ENGINE_SLOTS, server)

    async def _start_stand_in(self, name: str, service: str, slots: int, server):
        address = next(self._free_addresses)
        listener = Listener(server.app(), address)
        await listener.start()
        announcement = announcer.create_announcement(
            name=name,
            domain=DOMAIN,
            address=address,
            service=service,
            slots=slots,
            generation=name,
        )
        server_announcer = Announcer(
            announcement, self._announce_addresses, server.describe
        )
        self._tasks.spawn(server_announcer.run(), f"announce-{name}")
        self.stand_ins[name] = StandIn(address, listener, server_announcer)


async def _drain_and_stop(kernel: Kernel) -> None:
    await kernel.drain()
    await kernel.stop()


def with_key(document: Document, key: str) -> Document:
    """Return the document with a key added to its first workspace."""
    first, *others = document.workspaces
    hashes = [*first.key_hashes, hash_key(key)]
    first = msgspec.structs.replace(first, key_hashes=hashes)
    return msgspec.structs.replace(document, workspaces=[first, *others])


def create(folder: Path) -> DemoSystem:
    """Return a system that is not started."""
    return DemoSystem(folder)


def _member(name: str, addresses: dict[str, str]) -> Member:
    return Member(name, DOMAIN, addresses["peers"], addresses["operators"])
