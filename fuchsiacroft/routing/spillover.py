"""Spillover of requests to entries in other failure domains of the region.

Each entry periodically sends a few entries of each domain a digest with the free
capacity of its backend servers and the speeds that it has measured. The weight of a
digest decays with its age, and old digests are dropped. A service starts to spill
over after its requests have waited for some time, and stops only after none has
waited for a longer time. This hysteresis keeps work from oscillating between domains.
"""

import asyncio
import math
import random
from dataclasses import dataclass

from fuchsiacroft.config.settings import Member, Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.routing.estimates import ReferenceSpeed
from fuchsiacroft.routing.messages import LoadDigest, MeasuredSpeed, ServiceLoad
from fuchsiacroft.routing.permit_queue import PermitQueue
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.tasks import BackgroundTasks

DIGEST_PERIOD_S = 1.0
DIGEST_PEERS = 2
DIGEST_RETENTION_S = 4.0
HALF_LIFE_S = 1.5
START_AFTER_S = 0.5
STOP_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class ReceivedDigest:
    """A digest and the time of receipt."""

    member: Member
    is_local: bool
    services: dict[str, ServiceLoad]
    received_at: float


@dataclass(slots=True)
class WaitState:
    """Since when requests of a service have waited, and when one last did."""

    waits_since: float | None = None
    waited_at: float = -math.inf
    is_spilling: bool = False


class Spillover(Service):
    """Tracks the digests of other entries, and the hysteresis by service."""

    name = "spilling"

    def __init__(self, settings: Settings, seed: int) -> None:
        self._domain = settings.failure_domain
        self._members = {
            member.node: member
            for member in settings.entries
            if member.node != settings.node
        }
        self._domains = {member.failure_domain for member in self._members.values()}
        self._digests: dict[str, ReceivedDigest] = {}
        self._wait_states: dict[str, WaitState] = {}
        self._random = random.Random(seed)
        self._tasks = BackgroundTasks("spilling")

    async def start(self, kernel: Kernel) -> None:
        """Start sending and receiving digests."""
        self._permit_queue = kernel.get("permit_queue", PermitQueue)
        self._permit_queue.peer_server_counts = self._peer_server_counts
        self._bus = kernel.get("bus", Bus)
        self._bus.register_handler(LoadDigest, self._on_digest)
        self._tasks.spawn_repeated(self._send_digests, "spill-digests")

    async def stop(self) -> None:
        """Stop sending digests."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the digests with their ages, and the services that spill over."""
        return {
            "reported": {
                node: {
                    "age_s": round(now() - digest.received_at, 2),
                    "room": {name: load.room for name, load in digest.services.items()},
                }
                for node, digest in self._digests.items()
            },
            "spilling": [
                name for name, state in self._wait_states.items() if state.is_spilling
            ],
        }

    def record_wait(self, service: str, waits: bool) -> bool:
        """Record whether a request waits; return whether its service spills over."""
        state = self._wait_states.setdefault(service, WaitState())
        if waits:
            state.waited_at = now()
            if state.waits_since is None:
                state.waits_since = now()
            if now() - state.waits_since >= START_AFTER_S:
                state.is_spilling = True
        elif now() - state.waited_at >= STOP_AFTER_S:
            state.waits_since = None
            state.is_spilling = False
        return state.is_spilling

    def target(self, service: str, force: bool) -> Member | None:
        """Return an entry of another domain with free capacity, or None.

        With `force`, it may be any entry that offers the service.
        """
        best = None
        best_weight = 0.0
        for digest in self._digests.values():
            age_s = now() - digest.received_at
            load = digest.services.get(service)
            if digest.is_local or load is None or age_s > DIGEST_RETENTION_S:
                continue
            free_slots = max(load.room - load.waiting, 1 if force else 0)
            weight = (
                free_slots * 0.5 ** (age_s / HALF_LIFE_S) * self._random.uniform(0.5, 1)
            )
            if weight > best_weight:
                best, best_weight = digest.member, weight
        return best

    async def _send_digests(self) -> None:
        await asyncio.sleep(DIGEST_PERIOD_S * self._random.uniform(0.9, 1.1))
        digest = LoadDigest(self._domain, self._services(), self._speeds())
        for domain in sorted(self._domains):
            peers = [
                member.peers
                for member in self._members.values()
                if member.failure_domain == domain
            ]
            for peer in self._random.sample(peers, min(DIGEST_PEERS, len(peers))):
                self._bus.send(peer, digest)

    def _services(self) -> tuple[ServiceLoad, ...]:
        return tuple(
            ServiceLoad(
                service=name,
                room=int(
                    sum(
                        max(0, owned.available_capacity(1))
                        for owned in service_queue.servers.values()
                    )
                ),
                waiting=len(service_queue.waiting),
                servers=len(service_queue.servers),
                slow=sum(
                    owned.health.is_ejected for owned in service_queue.servers.values()
                ),
            )
            for name, service_queue in self._permit_queue.service_queues().items()
            if service_queue.servers
        )

    def _speeds(self) -> tuple[MeasuredSpeed, ...]:
        return tuple(
            MeasuredSpeed(
                service, generation, reference.token_gap_s, reference.plain_run_s
            )
            for (
                service,
                generation,
            ), reference in self._permit_queue.estimates.measured().items()
        )

    def _peer_server_counts(self, service: str) -> tuple[int, int]:
        """Return how many servers the other owners here have, and how many ejected."""
        oldest = now() - DIGEST_RETENTION_S
        loads = [
            digest.services[service]
            for digest in self._digests.values()
            if digest.is_local
            and digest.received_at >= oldest
            and service in digest.services
        ]
        return sum(load.servers for load in loads), sum(load.slow for load in loads)

    def _on_digest(self, sender: str, msg: LoadDigest) -> None:
        member = self._members.get(sender)
        if member is None:
            return
        is_local = member.failure_domain == self._domain
        services = {load.service: load for load in msg.services}
        self._digests[sender] = ReceivedDigest(member, is_local, services, now())
        for speed in msg.speeds:
            reference = ReferenceSpeed(speed.token_gap_s, speed.plain_run_s)
            key = (speed.service, speed.generation)
            self._permit_queue.estimates.record_peer_speed(sender, key, reference)


def create(settings: Settings, seed: int = 0) -> Spillover:
    """Create the spillover service of an entry."""
    return Spillover(settings, seed)
