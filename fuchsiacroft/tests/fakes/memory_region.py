"""Control members and entries of one region on an in-memory network."""

import itertools

import msgspec

from fuchsiacroft.config.route_source import RouteSource
from fuchsiacroft.config.route_table import RouteTable
from fuchsiacroft.config.settings import Addresses, Member, Settings
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership.control_directory import ReportedGroup
from fuchsiacroft.membership.control_members import ControlMembers
from fuchsiacroft.membership.registry import ServerRegistry
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.membership.start_probe import StartProbe
from fuchsiacroft.placing.coordinator import Coordinator
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.neighbours import Neighbours
from fuchsiacroft.placing.placer import Placer
from fuchsiacroft.placing.spending_store import SpendingStore
from fuchsiacroft.quarantine.service import Quarantine
from fuchsiacroft.streams.service import StreamOrigins
from fuchsiacroft.tests.fakes.bus import MemoryNetwork

HEARTBEAT_S = 1.0
DOMAINS = ("mvd-cordon", "mvd-pocitos", "mvd-carrasco")


class FixedMembers(ControlMembers):
    """A list of control members, which changes only where a test sets it."""

    def __init__(self, own: str, addresses: tuple[str, ...]) -> None:
        self._own = own
        self.reported = ReportedGroup("region", 1, frozenset(addresses))

    async def start(self, kernel: Kernel) -> None:
        """Do nothing; there is no log."""

    def all(self) -> tuple[str, ...]:
        return tuple(sorted(self.reported.addresses))

    def reported_group(self) -> ReportedGroup:
        return self.reported


class FixedTable(RouteSource):
    """A route source whose table never changes."""

    def __init__(self, table: RouteTable | None) -> None:
        self._table = table

    @property
    def table(self) -> RouteTable | None:
        return self._table

    @property
    def age_s(self) -> float:
        return 0.0


class FixedStartProbe(StartProbe):
    """Tells the starts of servers as a test sets them, by name."""

    def __init__(self, starts: dict[str, str]) -> None:
        self._starts = starts

    async def start(self, kernel: Kernel) -> None:
        """Do nothing."""

    async def ask(self, backend_server: str, address: str) -> str | None:
        return self._starts.get(backend_server)


class Control:
    """One control member with its registry."""

    def __init__(self, region: "MemoryRegion", number: int) -> None:
        self.address = region.controls[number]
        self.node = f"core-{number}"
        self.bus = region.network.bus(self.node, self.address)
        addresses = Addresses("10.0.0.1:1", peers=self.address)
        settings = Settings(self.node, DOMAINS[number], "mvd", addresses)
        self.registry = ServerRegistry(settings, HEARTBEAT_S)
        self.members = FixedMembers(self.address, region.controls)
        self.kernel = Kernel()
        for service in (self.bus, self.members, self.registry, SpendingStore()):
            self.kernel.add(service)


class Entry:
    """One entry with its roster, coordinator and placer."""

    def __init__(self, region: "MemoryRegion", number: int, domain: str) -> None:
        self.number = number
        self.node = f"edge-{number}"
        self.address = f"10.2.0.{number}:7601"
        self.domain = domain
        settings = Settings(
            self.node,
            domain,
            "mvd",
            Addresses("10.0.0.1:1", peers=self.address),
            control=[
                Member(f"seed-{i}", domain, peer)
                for i, peer in enumerate(region.controls)
            ],
        )
        self.bus = region.network.bus(self.node, self.address)
        self.roster = Roster(settings)
        self.quarantine = Quarantine(self.roster.peers)
        self.origins = StreamOrigins(settings)
        self.neighbours = Neighbours(settings)
        self.coordinator = Coordinator(settings, region.limits)
        self.placer = Placer(settings)
        self.kernel = Kernel()
        for service in (
            self.bus,
            self.roster,
            FixedTable(region.table),
            self.quarantine,
            self.origins,
            self.neighbours,
            self.coordinator,
            FixedStartProbe(region.told_starts),
            self.placer,
        ):
            self.kernel.add(service)


class MemoryRegion:
    """Three control members, and one entry for each given failure domain.

    Servers that are asked tell their `told_starts`, by name.
    """

    def __init__(
        self,
        domains: tuple[str, ...] = DOMAINS[:1] * 3,
        table: RouteTable | None = None,
        limits: SharedLimits | None = None,
    ) -> None:
        self.network = MemoryNetwork()
        self.table = table
        self.limits = limits or SharedLimits()
        self._restarts = itertools.count(1)
        self.told_starts: dict[str, str] = {}
        self.controls = tuple(f"10.1.0.{number}:7600" for number in range(3))
        self.members = [Control(self, number) for number in range(3)]
        self.entries = [Entry(self, i, domain) for i, domain in enumerate(domains)]

    async def start(self) -> None:
        """Start every process."""
        for process in (*self.members, *self.entries):
            await process.kernel.start()

    async def stop(self) -> None:
        """Stop every process."""
        for process in (*self.entries, *self.members):
            await process.kernel.stop()

    async def kill(self, entry: Entry) -> None:
        """End an entry without a word to the others, as SIGKILL does."""
        del self.network.buses[entry.address]
        await entry.kernel.stop()

    async def restart_members(self) -> None:
        """End all control members at once, and start them again without a table."""
        for member in self.members:
            del self.network.buses[member.address]
            await member.kernel.stop()
        self.members = [Control(self, number) for number in range(3)]
        for member in self.members:
            await member.kernel.start()

    async def start_again(self, entry: Entry) -> Entry:
        """Start an entry that ended, at its address; return the new one."""
        started = Entry(self, entry.number, entry.domain)
        started_ms = started.roster.local_entry.started_ms + next(self._restarts)
        started.roster.local_entry = msgspec.structs.replace(
            started.roster.local_entry, started_ms=started_ms
        )
        self.entries[self.entries.index(entry)] = started
        await started.kernel.start()
        return started

    def isolate(self, address: str) -> None:
        """Drop every message from and to an address."""
        for other in tuple(self.network.buses):
            if other != address:
                self.network.partition(address, other)
