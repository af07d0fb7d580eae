"""A simulated deployment: real schedulers on simulated servers."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field

from fuchsiacroft.config.settings import Addresses, Member, Policies, Settings
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership import backend_servers
from fuchsiacroft.membership.announcement import (
    Announcement,
    CacheEvent,
    Offer,
    RelayedAnnouncement,
    ReportedLoad,
)
from fuchsiacroft.model.application import SimulatedApplication
from fuchsiacroft.model.engine import NEWER, OLDER, SimulatedEngine
from fuchsiacroft.model.network import MemoryNetwork
from fuchsiacroft.model.server import DeployedServer, ServerRun
from fuchsiacroft.model.trace import Deployment, mean_tokens
from fuchsiacroft.quarantine import service as quarantine
from fuchsiacroft.routing import (
    addresses,
    leases,
    owners,
    permit_queue,
    scheduler,
    spillover,
)
from fuchsiacroft.routing.leases import PermitLeases
from fuchsiacroft.routing.owners import RendezvousOwners
from fuchsiacroft.routing.permit_queue import PermitQueue
from fuchsiacroft.routing.scheduler import Scheduler
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.tasks import BackgroundTasks

ENGINES_PER_DOMAIN = 3
ENGINE_SLOTS = 32
APPLICATION_SLOTS = 16
APPLICATION_WORKERS = 8
ANNOUNCE_PERIOD_S = 1.0
FAILURE_DETECTION_S = 2.5
REGION_DELAY_S = (0.0005, 0.0015)


@dataclass(frozen=True, slots=True)
class ReportConditions:
    """The quality of load reports: delayed, missing or wrongly scaled.

    `event_loss` is the share of cache events that are lost.
    """

    report_lag_s: float = 1.0
    reports: bool = True
    report_factor: float = 1.0
    event_loss: float = 0.02


@dataclass(slots=True)
class SimulatedEntry:
    """One entry with its real services."""

    member: Member
    kernel: Kernel
    owners: RendezvousOwners
    alive: bool = True
    request_tasks: dict[asyncio.Task, None] = field(default_factory=dict)

    @property
    def scheduler(self) -> Scheduler:
        """Return the entry's scheduler."""
        return self.kernel.get("scheduler", Scheduler)


class Simulation:
    """Builds a deployment, sends the servers' announcements, and injects faults."""

    def __init__(
        self,
        deployment: Deployment,
        policies: Policies,
        seed: int,
        conditions: ReportConditions,
    ) -> None:
        self.deployment = deployment
        self.conditions = conditions
        self.random = random.Random(f"world {seed}")
        self.network = MemoryNetwork(seed, REGION_DELAY_S)
        self.servers = _deploy_servers(deployment)
        self.server_by_name = {deployed.name: deployed for deployed in self.servers}
        self.members = _members(deployment)
        self.entries = [
            self._create_entry(member, policies, seed * 100 + i)
            for i, member in enumerate(self.members)
        ]
        self._boot_ids = {
            deployed.name: f"{deployed.name}-1" for deployed in self.servers
        }
        self._tasks = BackgroundTasks("world")

    async def start(self) -> None:
        """Start every entry, and the announcements of every server."""
        for entry in self.entries:
            await entry.kernel.start()
        for deployed in self.servers:
            self._tasks.spawn(self._announce(deployed))

    async def stop(self) -> None:
        """Stop the announcements and every entry."""
        await self._tasks.cancel()
        for entry in self.entries:
            await entry.kernel.stop()

    def choose_entry(self) -> SimulatedEntry:
        """Return the entry that the load balancer chooses for a new request."""
        return self.random.choice([entry for entry in self.entries if entry.alive])

    def boot_id_of(self, name: str) -> str:
        """Return the present boot id of a server."""
        return self._boot_ids[name]

    def kill_entry(self, entry: SimulatedEntry) -> None:
        """Kill an entry without notifying the others."""
        entry.alive = False
        self.network.buses.pop(entry.member.peers, None)
        for task in list(entry.request_tasks):
            task.cancel()
        self._tasks.spawn(self._replace_dead_owner(entry))

    def isolate_domain(self, domain: str) -> None:
        """Drop all messages and lose all runs between one domain and the others."""
        for member in self.members:
            for other in self.members:
                if (member.failure_domain == domain) != (
                    other.failure_domain == domain
                ):
                    self.network.partition(member.peers, other.peers)
        for deployed in self.servers:
            for run in sorted(deployed.server.runs, key=ServerRun.request_id):
                if (run.domain == domain) != (deployed.domain == domain):
                    deployed.server.disconnect(run)

    async def _replace_dead_owner(self, dead: SimulatedEntry) -> None:
        await asyncio.sleep(FAILURE_DETECTION_S)
        domain = dead.member.failure_domain
        live = [e for e in self.entries if e.alive]
        survivors = [e for e in live if e.member.failure_domain == domain]
        members = [entry.member for entry in survivors]
        for entry in survivors:
            entry.owners.replace(members)
        await asyncio.sleep(ANNOUNCE_PERIOD_S)
        for entry in survivors:
            self._adopt_permits(entry, live)

    def _adopt_permits(self, owner: SimulatedEntry, live: list[SimulatedEntry]) -> None:
        owner_queue = owner.kernel.get("permit_queue", PermitQueue)
        owner_leases = owner.kernel.get("lending", PermitLeases)
        for holder in live:
            for deployed in self.servers:
                for permit in holder.scheduler.held_permits(deployed.name):
                    if permit.owner == owner.member.node:
                        continue
                    adopted = owner_queue.adopt(permit)
                    if adopted and holder is not owner:
                        owner_leases.adopt(permit, holder.member.node)

    def _create_entry(
        self, member: Member, policies: Policies, seed: int
    ) -> SimulatedEntry:
        settings = Settings(
            node=member.node,
            failure_domain=member.failure_domain,
            region="region",
            addresses=Addresses(operators="127.0.0.1:1"),
            entries=self.members,
            policies=policies,
        )
        owned_by = owners.create(settings)
        kernel = Kernel()
        for service in (
            self.network.bus(member.node, member.peers),
            backend_servers.create(settings),
            quarantine.create_for(settings),
            permit_queue.create(member.node, policies, owned_by, seed),
            leases.create(addresses.create(settings)),
            spillover.create(settings, seed),
            scheduler.create(settings, owned_by, seed),
        ):
            kernel.add(service)
        return SimulatedEntry(member, kernel, owned_by)

    async def _announce(self, deployed: DeployedServer) -> None:
        bus = self.network.bus(deployed.name, f"server-{deployed.name}")
        loads: deque[tuple[float, int]] = deque()
        await asyncio.sleep(self.random.uniform(0.0, ANNOUNCE_PERIOD_S))
        while deployed.server.alive:
            loads.append((now(), len(deployed.server.runs)))
            announced = RelayedAnnouncement(self._announcement(deployed, loads))
            for entry in self.entries:
                if entry.alive and entry.member.failure_domain == deployed.domain:
                    bus.send(entry.member.peers, announced)
            await asyncio.sleep(ANNOUNCE_PERIOD_S)

    def _announcement(
        self, deployed: DeployedServer, loads: deque[tuple[float, int]]
    ) -> Announcement:
        return Announcement(
            name=deployed.name,
            boot_id=self._boot_ids[deployed.name],
            failure_domain=deployed.domain,
            address="127.0.0.1:1",
            offers=(Offer(deployed.service),),
            slots=deployed.slots,
            generation=deployed.generation,
            load=self._reported_load(loads),
            leaving=deployed.server.leaving_since is not None,
            cache_events=self._cache_events(deployed),
        )

    def _cache_events(self, deployed: DeployedServer) -> tuple[CacheEvent, ...]:
        if not isinstance(deployed.server, SimulatedEngine):
            return ()
        events = deployed.server.take_events()
        lost = self.conditions.event_loss
        return tuple(event for event in events if self.random.random() >= lost)

    def _reported_load(self, loads: deque[tuple[float, int]]) -> ReportedLoad | None:
        if not self.conditions.reports:
            return None
        oldest = now() - self.conditions.report_lag_s
        while len(loads) > 1 and loads[1][0] <= oldest:
            loads.popleft()
        at, running = loads[0]
        factor = self.conditions.report_factor
        return ReportedLoad(running=int(running * factor), age_s=now() - at)


def capacity_per_s(deployment: Deployment) -> float:
    """Return the arrivals per second that saturate every engine with warm caches."""
    prompt, output = mean_tokens(deployment)
    total = 0.0
    for deployed in _deploy_servers(deployment):
        if isinstance(deployed.server, SimulatedEngine):
            generation = deployed.server.generation
            prefill_s = prompt / generation.prefill_tokens_per_s
            total += 1.0 / (
                prefill_s + output * generation.token_gap_s / generation.knee_runs
            )
    return total


def _members(deployment: Deployment) -> list[Member]:
    return [
        Member(
            node=f"{domain}-entry-{i}",
            failure_domain=domain,
            peers=f"10.0.{number}.{i + 1}:7000",
        )
        for number, domain in enumerate(deployment.domains)
        for i in range(deployment.entries[number])
    ]


def _deploy_servers(deployment: Deployment) -> list[DeployedServer]:
    servers = []
    for number, domain in enumerate(deployment.domains):
        for i in range(ENGINES_PER_DOMAIN):
            generation = NEWER if (number + i) % 2 else OLDER
            servers.append(
                DeployedServer(
                    f"{domain}-engine-{i}",
                    domain,
                    deployment.model_service,
                    generation.name,
                    ENGINE_SLOTS,
                    SimulatedEngine(generation),
                )
            )
        servers.append(
            DeployedServer(
                f"{domain}-app",
                domain,
                deployment.plain_service,
                "gen-app",
                APPLICATION_SLOTS,
                SimulatedApplication(APPLICATION_WORKERS),
            )
        )
    return servers
