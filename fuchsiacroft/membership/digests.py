"""The service "digests": what is known of the load of other failure domains.

Every entry sends its part to one entry of its domain, which adds the parts up
and sends the sum to a few entries of each other domain. There it is passed on
at random. No message grows with entries or backend servers.
"""

import asyncio
import random
import secrets
from abc import ABC, abstractmethod
from collections import Counter, defaultdict
from dataclasses import dataclass

import msgspec

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership import rendezvous
from fuchsiacroft.membership.digest_wire import (
    MAX_CONTACTS,
    MAX_SERVICES,
    DomainDigest,
    PartDigest,
    ServiceLoad,
)
from fuchsiacroft.membership.service import Membership
from fuchsiacroft.membership.table import EntryInfo
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils import clock
from fuchsiacroft.utils.tasks import TaskGroup

DIGEST_PERIOD_S = 2.0
DIGEST_MAX_AGE_S = 15.0
PART_MAX_AGE_S = 8.0
FANOUT_BETWEEN = 2
FANOUT_WITHIN = 3
MAX_DOMAINS = 16
AGGREGATOR = "digest-aggregator"


class DigestSource(ABC):
    """The part of an entry that knows the load of its backend servers."""

    @abstractmethod
    def loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load of each service on the backend servers we own."""


class NoLoads(DigestSource):
    """An entry that owns nothing."""

    def loads(self) -> tuple[ServiceLoad, ...]:
        """Return nothing."""
        return ()


@dataclass(frozen=True, slots=True)
class DomainLoad:
    """What is known of another domain; `dated_at` is on our loop's clock."""

    domain: str
    dated_at: float
    contacts: tuple[str, ...]
    loads: tuple[ServiceLoad, ...]

    def of(self, service: str) -> ServiceLoad | None:
        """Return the load of one service."""
        return next((load for load in self.loads if load.service == service), None)


@dataclass(frozen=True, slots=True)
class _Part:
    received_at: float
    loads: tuple[ServiceLoad, ...]


class Digests(Service):
    """Sends our part, adds parts up if it falls to us, keeps others' digests."""

    name = "digests"

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._region = settings.region
        self._domain = settings.failure_domain
        self._rng = rng
        self._source: DigestSource = NoLoads()
        self._seeds: dict[str, list[str]] = defaultdict(list)
        for member in settings.entries:
            if member.failure_domain != self._domain:
                self._seeds[member.failure_domain].append(member.peers)
        self._parts: dict[str, _Part] = {}
        self._known: dict[str, DomainLoad] = {}
        self._fresh: set[str] = set()
        self._counts: Counter[str] = Counter()
        self._tasks = TaskGroup("digests")

    async def start(self, kernel: Kernel) -> None:
        """Register with the bus and begin to send."""
        self._bus = kernel.get("bus", Bus)
        self._membership = kernel.get("membership", Membership)
        self._bus.handle(PartDigest, self._on_part)
        self._bus.handle(DomainDigest, self._on_domain)
        self._tasks.spawn(self._run(), "digests")

    async def stop(self) -> None:
        """End the background task."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return what is known of other domains, with its age."""
        now = clock.now()
        domains = {
            load.domain: {
                "age_s": round(now - load.dated_at, 3),
                "contacts": list(load.contacts),
                "loads": [msgspec.structs.asdict(one) for one in load.loads],
            }
            for load in self.known()
        }
        return {"domains": domains, "counts": dict(self._counts)}

    def attach(self, source: DigestSource) -> None:
        """Name the part that knows our load."""
        self._source = source

    def known(self) -> tuple[DomainLoad, ...]:
        """Return the other domains of the region that are known of late."""
        oldest = clock.now() - DIGEST_MAX_AGE_S
        return tuple(load for load in self._known.values() if load.dated_at >= oldest)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(DIGEST_PERIOD_S * self._rng.uniform(0.8, 1.2))
            self._drop_aged()
            self._send_part()
            self._pass_on()

    def _drop_aged(self) -> None:
        now = clock.now()
        for domain, load in tuple(self._known.items()):
            if now - load.dated_at > DIGEST_MAX_AGE_S:
                del self._known[domain]
        for node, part in tuple(self._parts.items()):
            if now - part.received_at > PART_MAX_AGE_S:
                del self._parts[node]

    def _send_part(self) -> None:
        loads = self._source.loads()[:MAX_SERVICES]
        aggregator = rendezvous.choose(AGGREGATOR, self._membership.alive())
        if aggregator is None:
            return
        me = self._membership.me
        if aggregator.node != me.node:
            part = PartDigest(self._domain, me.node, loads)
            self._bus.send(aggregator.peers, part)
            return
        self._parts[me.node] = _Part(clock.now(), loads)
        self._send_sum()

    def _send_sum(self) -> None:
        alive = self._membership.alive()
        digest = DomainDigest(
            self._region, self._domain, 0.0, self._contacts(alive), self._sum()
        )
        for domain, seeds in self._seeds.items():
            known = self._known.get(domain)
            targets = sorted({*seeds, *(known.contacts if known else ())})
            for peer in self._rng.sample(targets, min(FANOUT_BETWEEN, len(targets))):
                self._bus.send(peer, digest)

    def _contacts(self, alive: tuple[EntryInfo, ...]) -> tuple[str, ...]:
        some = self._rng.sample(alive, min(MAX_CONTACTS, len(alive)))
        return tuple(entry.peers for entry in some)

    def _sum(self) -> tuple[ServiceLoad, ...]:
        free: Counter[str] = Counter()
        queued: Counter[str] = Counter()
        for part in self._parts.values():
            for load in part.loads:
                free[load.service] += load.free
                queued[load.service] += load.queued
        names = sorted(free.keys() | queued.keys())[:MAX_SERVICES]
        return tuple(ServiceLoad(name, free[name], queued[name]) for name in names)

    def _pass_on(self) -> None:
        me = self._membership.me.node
        peers = [peer for peer in self._membership.alive() if peer.node != me]
        now = clock.now()
        while self._fresh:
            load = self._known.get(self._fresh.pop())
            if load is None:
                continue
            digest = DomainDigest(
                self._region,
                load.domain,
                now - load.dated_at,
                load.contacts,
                load.loads,
            )
            for peer in self._rng.sample(peers, min(FANOUT_WITHIN, len(peers))):
                self._bus.send(peer.peers, digest)

    async def _on_part(self, sender: str, part: PartDigest) -> None:
        if part.domain != self._domain or len(part.loads) > MAX_SERVICES:
            self._counts["dropped"] += 1
            return
        self._parts[part.node] = _Part(clock.now(), part.loads)

    async def _on_domain(self, sender: str, digest: DomainDigest) -> None:
        if not self._acceptable(digest):
            self._counts["dropped"] += 1
            return
        dated_at = clock.now() - max(0.0, digest.age_s)
        known = self._known.get(digest.domain)
        if known is not None and dated_at <= known.dated_at + DIGEST_PERIOD_S / 4:
            return
        self._known[digest.domain] = DomainLoad(
            digest.domain, dated_at, digest.contacts, digest.loads
        )
        self._fresh.add(digest.domain)

    def _acceptable(self, digest: DomainDigest) -> bool:
        if digest.region != self._region or digest.domain == self._domain:
            return False
        if not 0 <= digest.age_s <= DIGEST_MAX_AGE_S:
            return False
        if len(digest.contacts) > MAX_CONTACTS or len(digest.loads) > MAX_SERVICES:
            return False
        return digest.domain in self._known or len(self._known) < MAX_DOMAINS


def create(settings: Settings, rng: random.Random | None = None) -> Digests:
    """Return the digests service of an entry; `rng` is given by tests only."""
    return Digests(settings, rng or secrets.SystemRandom())
