"""The service "membership": which entries of the failure domain are alive."""

import asyncio
import random
import secrets

from expression import Result

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.lease import OWNERSHIP_LEASE_S, ViewLease
from fuchsiacroft.membership.prober import Prober
from fuchsiacroft.membership.table import EntryInfo, MemberRecord, info_of
from fuchsiacroft.membership.view import Listener, LocalView
from fuchsiacroft.membership.wire import (
    Ack,
    Gossip,
    IndirectAck,
    IndirectPing,
    Leave,
    Ping,
    Status,
    Sync,
    SyncAnswer,
    Update,
)
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils import clock
from fuchsiacroft.utils.tasks import BackgroundTasks

GOSSIP_PERIOD_S = 0.2
GOSSIP_FANOUT = 2
JOIN_PERIOD_S = 0.5
RECONNECT_PERIOD_S = 5.0
MISMATCH_PATIENCE_S = 3.0
SYNC_TIMEOUT_S = 1.0
LEAVE_TIMEOUT_S = 1.0


class Membership(Service):
    """Keeps the view of the domain's entries by probes and gossip.

    `changed` is set and replaced whenever the set of live entries changes.
    """

    name = "membership"

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        if settings.addresses.peers is None:
            raise SettingsError("an entry needs the address $.addresses.peers")
        self.boot_id = f"{rng.getrandbits(64):016x}"
        self.changed = asyncio.Event()
        self._node = settings.node
        self._seeds = tuple(
            member.peers
            for member in settings.entries
            if member.failure_domain == settings.failure_domain
            and member.peers != settings.addresses.peers
        )
        self._rng = rng
        self._tasks = BackgroundTasks("membership")
        me = Update(
            settings.node, settings.addresses.peers, self.boot_id, 0, Status.ALIVE
        )
        self._view = LocalView(settings.failure_domain, me, self._tasks)
        self._view.listeners.append(self._wake)
        self._prober: Prober | None = None
        self._answered: dict[str, float] = {}
        self._joined_at: float | None = None
        self._started_at = 0.0

    async def start(self, kernel: Kernel) -> None:
        """Register with the bus, then join and probe in the background."""
        self._bus = kernel.get("bus", Bus)
        self._prober = Prober(self._bus, self._view, self._rng)
        self._view.accused = self._on_accused
        self._view.on_self_suspected = self._prober.health.worse
        self._bus.register_handler(Ping, self._on_ping)
        self._bus.register_handler(IndirectPing, self._on_indirect_ping)
        self._bus.register_handler(Gossip, self._on_gossip)
        self._bus.register_handler(Sync, self._on_sync)
        self._bus.register_handler(Leave, self._on_leave)
        self._started_at = clock.now()
        self._view.open()
        self._tasks.spawn_critical(self._prober.run(), "membership-probe")
        self._tasks.spawn_critical(self._prober.keep_lease(), "membership-lease")
        self._tasks.spawn_critical(self._join(), "membership-join")
        self._tasks.spawn_critical(self._pass_on(), "membership-gossip")

    async def drain(self) -> None:
        """Leave, if `leave` was not called before."""
        await self.leave()

    async def stop(self) -> None:
        """End every background task."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the members and counters."""
        if self._prober is None:
            return {}
        return {
            "node": self._node,
            "boot_id": self.boot_id,
            "domain": self._view.domain,
            "joined": self.joined,
            "lease_left_s": round(self.lease.confirmed_for(), 3),
            "health_score": self._prober.health.score,
            "probes": dict(self._prober.counts),
            **self._view.dump(),
        }

    @property
    def local_entry(self) -> EntryInfo:
        """Return this entry."""
        return info_of(self._view.me)

    @property
    def joined(self) -> bool:
        """Tell whether another entry has given us its table since the start."""
        return self._joined_at is not None

    @property
    def started_at(self) -> float:
        """Return when this entry started, by the loop's clock."""
        return self._started_at

    @property
    def lease(self) -> ViewLease:
        """Return the lease that equal views of other entries renew."""
        return self._view.lease

    @property
    def view(self) -> int:
        """Return the hash of the live entries; equal views hash equally."""
        return self._view.hash

    @property
    def generation(self) -> int:
        """Return how often the set of live entries changed."""
        return self._view.generation

    @property
    def left(self) -> bool:
        """Tell whether this entry has announced that it leaves."""
        return self._view.left

    @property
    def domain(self) -> str:
        """Return the failure domain."""
        return self._view.domain

    def activate(self) -> None:
        """Announce that this entry may own backend servers."""
        if not self._view.left:
            self._view.activate()

    def last_answered(self, record: MemberRecord) -> float:
        """Return when we last answered a probe of an entry, or our start."""
        return self._answered.get(record.update.node, self._started_at)

    def lease_left_of(self, record: MemberRecord) -> float:
        """Return for how many seconds a lost entry may still hold its lease."""
        ends_at = self.last_answered(record) + OWNERSHIP_LEASE_S
        return max(0.0, ends_at - clock.now())

    def alive(self) -> tuple[EntryInfo, ...]:
        """Return the live entries of the domain, ourselves included."""
        return self._view.alive()

    def address_of(self, node: str) -> str | None:
        """Return the peers address of an entry of the domain, if it is known."""
        record = self.record(node)
        return record.update.peers if record is not None else None

    def record(self, node: str) -> MemberRecord | None:
        """Return what is remembered of an entry."""
        return self._view.table.get(node)

    def present(self) -> tuple[MemberRecord, ...]:
        """Return the records of the live entries."""
        return self._view.table.present()

    def records(self) -> tuple[MemberRecord, ...]:
        """Return the records of all entries, live or gone."""
        return self._view.table.records()

    def gone(self) -> tuple[MemberRecord, ...]:
        """Return the entries that died or left and are still remembered."""
        return self._view.gone()

    def on_change(self, listener: Listener) -> None:
        """Call `listener` with the live entries whenever they change."""
        self._view.listeners.append(listener)

    async def leave(self) -> None:
        """Tell every live entry that this one leaves; it goes on answering."""
        if self._view.left:
            return
        peers = self._view.peers()
        notice = Leave(self._view.domain, self._view.leave())
        await asyncio.gather(
            *(self._bus.request(peer.peers, notice, LEAVE_TIMEOUT_S) for peer in peers)
        )

    async def _join(self) -> None:
        """Ask seeds until one answers, then look for lost entries for ever."""
        while not self.joined and self._seeds:
            await self._sync(self._rng.choice(self._seeds))
            if not self.joined:
                await asyncio.sleep(JOIN_PERIOD_S * self._rng.uniform(0.5, 1.5))
        while True:
            await asyncio.sleep(RECONNECT_PERIOD_S * self._rng.uniform(0.5, 1.5))
            await self._reconnect()
            self._forget_old()

    async def _reconnect(self) -> None:
        since = self._view.mismatch_since
        if since is not None and clock.now() - since > MISMATCH_PATIENCE_S:
            peers = self._view.peers()
            self._view.mismatch_since = None
            if peers:
                await self._sync(self._rng.choice(peers).peers)
        lost = self._lost_addresses()
        if lost:
            await self._sync(self._rng.choice(lost))

    def _forget_old(self) -> None:
        self._view.table.forget_old(clock.now())
        for node in tuple(self._answered):
            if self._view.table.get(node) is None:
                del self._answered[node]

    def _lost_addresses(self) -> list[str]:
        alive = {entry.peers for entry in self.alive()}
        dead = {
            record.update.peers
            for record in self.gone()
            if record.update.status is Status.DEAD
        }
        return sorted((dead | set(self._seeds)) - alive)

    async def _sync(self, peer: str) -> None:
        members = self._view.table.shared(clock.now())
        request = Sync(self._view.domain, members)
        match await self._bus.request(peer, request, SYNC_TIMEOUT_S):
            case Result(tag="ok", ok=SyncAnswer(members=theirs)):
                for claim in theirs:
                    self._view.merge(claim)
                if self._joined_at is None:
                    self._joined_at = clock.now()

    async def _pass_on(self) -> None:
        while True:
            await asyncio.sleep(GOSSIP_PERIOD_S)
            peers = self._view.peers() if self._view.gossip else []
            for peer in self._rng.sample(peers, min(GOSSIP_FANOUT, len(peers))):
                news = self._view.news_for(peer.node)
                if news:
                    self._bus.send(peer.peers, Gossip(self._view.domain, news))

    async def _on_ping(self, sender: str, ping: Ping) -> Ack | None:
        if ping.domain != self._view.domain:
            return None
        self._view.hear(ping.sender, ping.view, ping.updates)
        news = self._view.news_for(ping.sender.node, ping.sender)
        self._answered[ping.sender.node] = clock.now()
        return Ack(self._view.me, self._view.hash, news)

    async def _on_indirect_ping(
        self, sender: str, request: IndirectPing
    ) -> IndirectAck | None:
        if request.domain != self._view.domain:
            return None
        return await self._prober.answer_indirect(request)

    async def _on_gossip(self, sender: str, gossip: Gossip) -> None:
        if gossip.domain == self._view.domain:
            for claim in gossip.updates:
                self._view.merge(claim)

    async def _on_sync(self, sender: str, sync: Sync) -> SyncAnswer | None:
        if sync.domain != self._view.domain:
            return None
        for claim in sync.members:
            self._view.merge(claim)
        return SyncAnswer(self._view.table.shared(clock.now()))

    async def _on_leave(self, sender: str, leave: Leave) -> Ack | None:
        if leave.domain != self._view.domain:
            return None
        self._view.merge(leave.sender)
        return Ack(self._view.me, self._view.hash, ())

    def _on_accused(self, claim: Update) -> None:
        self._tasks.spawn(self._prober.insist(claim), "membership-insist")

    def _wake(self, alive: tuple[EntryInfo, ...]) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def create(settings: Settings, rng: random.Random | None = None) -> Membership:
    """Return the membership of an entry; `rng` is given by tests only."""
    return Membership(settings, rng or secrets.SystemRandom())
