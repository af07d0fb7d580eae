"""Entries of one failure domain with the real routing on an in-memory network."""

import asyncio
from dataclasses import dataclass, field

from fuchsiacroft.config.settings import Addresses, Member, Policies, Settings
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership import backend_servers
from fuchsiacroft.membership.announcement import (
    Announcement,
    Offer,
    RelayedAnnouncement,
)
from fuchsiacroft.model.network import MemoryNetwork
from fuchsiacroft.quarantine import service as quarantine
from fuchsiacroft.quarantine.service import Quarantine
from fuchsiacroft.routing import (
    addresses,
    leases,
    owners,
    permit_queue,
    scheduler,
    spillover,
)
from fuchsiacroft.routing.leases import PermitLeases
from fuchsiacroft.routing.permit_queue import PermitQueue
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport, WorkSize
from fuchsiacroft.routing.scheduler import Scheduler
from fuchsiacroft.routing.server_probe import ServerProbe
from fuchsiacroft.utils.tasks import BackgroundTasks

COMPLETED = RunReport(RunOutcome.COMPLETED, 0.2, 0.03, 1.0, 30)
LOST = RunReport(RunOutcome.CONNECTION_LOST)


@dataclass
class Entry:
    """One entry and its services."""

    member: Member
    kernel: Kernel

    @property
    def permit_queue(self) -> PermitQueue:
        return self.kernel.get("permit_queue", PermitQueue)

    @property
    def scheduler(self) -> Scheduler:
        return self.kernel.get("scheduler", Scheduler)

    @property
    def leases(self) -> PermitLeases:
        return self.kernel.get("lending", PermitLeases)

    @property
    def quarantine(self) -> Quarantine:
        return self.kernel.get("quarantine", Quarantine)

    def running(self) -> int:
        """Return the number of permits in use on owned backend servers."""
        owned = self.permit_queue.dump()["owned"].values()
        return sum(len(server["running"]) for server in owned)


@dataclass
class RoutingDomain:
    """A few entries; the test announces the backend servers."""

    size: int = 1
    policies: Policies = field(default_factory=Policies)
    network: MemoryNetwork = field(default_factory=MemoryNetwork)
    entries: list[Entry] = field(default_factory=list)
    announced: dict[str, RelayedAnnouncement] = field(default_factory=dict)
    probe: ServerProbe | None = None
    tasks: BackgroundTasks = field(default_factory=lambda: BackgroundTasks("domain"))

    async def start(self) -> "RoutingDomain":
        members = [
            Member(node=f"entry-{i}", failure_domain="d", peers=f"10.0.0.{i + 1}:7000")
            for i in range(self.size)
        ]
        self.entries = [self._entry(member, members) for member in members]
        for entry in self.entries:
            await entry.kernel.start()
        self.tasks.spawn(self._keep_announcing())
        return self

    async def stop(self) -> None:
        await self.tasks.cancel()
        for entry in self.entries:
            await entry.kernel.stop()

    async def announce(self, name: str, **fields) -> None:
        """Deliver an announcement to every entry, now and once a second."""
        self.announced[name] = RelayedAnnouncement(announcement(name, **fields))
        await self._deliver_announcement(self.announced[name])

    async def _keep_announcing(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for announced in list(self.announced.values()):
                await self._deliver_announcement(announced)

    async def _deliver_announcement(self, announced: RelayedAnnouncement) -> None:
        for entry in self.entries:
            directory = entry.kernel.get(
                "backend_servers", backend_servers.BackendDirectory
            )
            directory._on_announced("server", announced)

    def _entry(self, member: Member, members: list[Member]) -> Entry:
        settings = Settings(
            node=member.node,
            failure_domain="d",
            region="r",
            addresses=Addresses(operators="127.0.0.1:1"),
            entries=members,
            policies=self.policies,
        )
        domain_owners = owners.create(settings)
        kernel = Kernel()
        for service in (
            self.network.bus(member.node, member.peers),
            backend_servers.create(settings),
            quarantine.create_for(settings),
            permit_queue.create(
                member.node, self.policies, domain_owners, probe=self.probe
            ),
            leases.create(addresses.create(settings)),
            spillover.create(settings),
            scheduler.create(settings, domain_owners),
        ):
            kernel.add(service)
        return Entry(member, kernel)


def announcement(
    name: str, slots: int = 4, boot: str = "1", version: str = "", **fields
) -> Announcement:
    """Return an announcement of a backend server that offers the service "lens"."""
    return Announcement(
        name=name,
        boot_id=f"{name}-{boot}",
        failure_domain="d",
        address="127.0.0.1:1",
        offers=(Offer("lens", version),),
        slots=slots,
        generation="gen",
        **fields,
    )


def permit_request(request_id: str = "r", rank: int = 0, **fields) -> PermitRequest:
    """Return a permit request for a short model request."""
    values = {
        "request_id": request_id,
        "service": "lens",
        "rank": rank,
        "timeout_s": 20.0,
        "workspace": "w",
        "size": WorkSize(300, 30),
        "fingerprint": request_id,
    }
    return PermitRequest(**(values | fields))
