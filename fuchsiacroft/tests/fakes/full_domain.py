"""Entries of one failure domain on an in-memory network, complete except for HTTP."""

import asyncio
import random
from dataclasses import dataclass, field

from expression import Result

from fuchsiacroft.config import current_document, follower
from fuchsiacroft.config.settings import Addresses, Member, Policies, Settings
from fuchsiacroft.config.sources import FetchPeer
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership import backend_servers, ownership
from fuchsiacroft.membership import service as membership
from fuchsiacroft.membership.announcement import Announcement, Offer
from fuchsiacroft.membership.backend_servers import BackendDirectory
from fuchsiacroft.membership.ownership import OwnershipTable
from fuchsiacroft.model.network import MemoryNetwork
from fuchsiacroft.quarantine import service as quarantine
from fuchsiacroft.routing import (
    addresses,
    leases,
    membership_owners,
    owner_digests,
    permit_queue,
    scheduler,
    spillover,
)
from fuchsiacroft.routing.membership_owners import MembershipOwners
from fuchsiacroft.routing.permit_queue import PermitQueue
from fuchsiacroft.routing.permits import Permit, PermitRequest, Refusal
from fuchsiacroft.routing.scheduler import Scheduler
from fuchsiacroft.utils.tasks import BackgroundTasks

DOMAIN = "d"
ANNOUNCE_PERIOD_S = 1.0
SEEDS = 3


@dataclass
class FullDomain:
    """Entries with membership and ownership, and announced backend servers.

    `servers` maps a backend server's name to its announcement. Each backend server
    announces itself once a second to one entry, and changes to another entry when
    that one stops.
    """

    size: int
    seed: int = 1
    control: list[Member] = field(default_factory=list)
    network: MemoryNetwork = field(default_factory=MemoryNetwork)
    kernels: dict[int, Kernel] = field(default_factory=dict)
    policies: Policies = field(default_factory=Policies)
    servers: dict[str, Announcement] = field(default_factory=dict)
    tasks: BackgroundTasks = field(default_factory=lambda: BackgroundTasks("domain"))

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)

    async def start(self, *numbers: int) -> None:
        """Start the numbered entries, or every entry if none is given."""
        for number in numbers or range(self.size):
            self.kernels[number] = self._kernel(number)
            await self.kernels[number].start()

    async def stop(self) -> None:
        """Stop the backend servers and every entry."""
        await self.tasks.cancel()
        for number in list(self.kernels):
            await self.kill(number)

    async def kill(self, number: int) -> None:
        """Stop an entry without letting it leave the membership."""
        await self.kernels.pop(number).stop()

    def add_server(self, name: str, service: str, **fields) -> None:
        """Add a backend server and start announcing it."""
        self.servers[name] = Announcement(
            name=name,
            boot_id=f"{name}-1",
            failure_domain=DOMAIN,
            address="10.1.0.1:1",
            offers=(Offer(service),),
            slots=fields.pop("slots", 2),
            generation="g",
            **fields,
        )
        self.tasks.spawn(self._announce(name))

    async def wait_ready(self, timeout: float = 60.0) -> None:
        """Wait until every backend server has an owner that is ready."""
        async with asyncio.timeout(timeout):
            while sum(self.ready(number) for number in self.kernels) < len(
                self.servers
            ):
                await asyncio.sleep(0.1)

    def ready(self, number: int) -> int:
        """Return how many backend servers an entry owns and can grant permits for."""
        table = self.get(number, "ownership", OwnershipTable)
        return sum(table.is_ready(name) for name in self.servers)

    def owner(self, name: str) -> int:
        """Return the number of the entry that owns a backend server."""
        for number in self.kernels:
            if self.get(number, "ownership", OwnershipTable).is_ready(name):
                return number
        raise AssertionError(f"no ready owner of backend server {name}")

    def get(self, number: int, name: str, kind: type):
        """Return a service of an entry."""
        return self.kernels[number].get(name, kind)

    def permit_queue(self, number: int) -> PermitQueue:
        """Return the permit queue of an entry."""
        return self.get(number, "permit_queue", PermitQueue)

    def scheduler(self, number: int) -> Scheduler:
        """Return the scheduler of an entry."""
        return self.get(number, "scheduler", Scheduler)

    def acquire(
        self, number: int, request: PermitRequest
    ) -> asyncio.Task[Result[Permit, Refusal]]:
        """Start acquiring a permit through an entry."""
        return asyncio.create_task(self.scheduler(number).acquire(request))

    async def _announce(self, name: str) -> None:
        number = self.random.randrange(self.size)
        while True:
            if number not in self.kernels and self.kernels:
                number = self.random.choice(sorted(self.kernels))
            if number in self.kernels:
                directory = self.get(number, "backend_servers", BackendDirectory)
                directory.receive(self.servers[name])
            await asyncio.sleep(ANNOUNCE_PERIOD_S)

    def _kernel(self, number: int) -> Kernel:
        members = [_member(i) for i in range(min(self.size, SEEDS + 1))]
        if number >= len(members):
            members.append(_member(number))
        settings = Settings(
            node=_member(number).node,
            failure_domain=DOMAIN,
            region="r",
            addresses=Addresses(operators="10.0.9.1:1", peers=_member(number).peers),
            control=self.control,
            entries=members,
            policies=self.policies,
        )
        members_service = membership.create(settings, random.Random(self.seed + number))
        table = ownership.create(settings)
        owners = MembershipOwners(settings, table)
        peer_addresses = addresses.create(settings, members_service.address_of)
        kernel = Kernel()
        for service in (
            self.network.bus(settings.node, settings.addresses.peers),
            current_document.create(),
            follower.create(
                settings,
                lambda: tuple(
                    FetchPeer(member.node, member.peers)
                    for member in members_service.alive()
                ),
                random.Random(self.seed + number),
            ),
            members_service,
            table,
            backend_servers.create(settings),
            quarantine.create_for(settings),
            permit_queue.create(settings.node, settings.policies, owners),
            owner_digests.create(number),
            leases.create(peer_addresses),
            spillover.create(settings),
            scheduler.create(settings, owners, number, peer_addresses),
            membership_owners.create(),
        ):
            kernel.add(service)
        return kernel


def _member(number: int) -> Member:
    return Member(f"e{number}", DOMAIN, f"10.0.{number // 250}.{number % 250 + 1}:1")


def permit_request(
    request_id: str, service: str, timeout_s: float = 10.0, **fields
) -> PermitRequest:
    """Return a permit request for a service."""
    return PermitRequest(
        request_id=request_id,
        service=service,
        rank=fields.pop("rank", 0),
        timeout_s=timeout_s,
        workspace="w",
        **fields,
    )
