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
from fuchsiacroft.membership.table import EntryInfo, MemberRecord, entry_info
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
    SyncReply,
    Update,
)
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils import clock
from fuchsiacroft.utils.tasks import BackgroundTasks

GOSSIP_PERIOD_S = 0.2
GOSSIP_FANOUT = 2
JOIN_PERIOD_S = 0.5
RECONNECT_PERIOD_S = 5.0
MISMATCH_GRACE_S = 3.0
SYNC_TIMEOUT_S = 1.0
LEAVE_TIMEOUT_S = 1.0


class Membership(Service):
    """Maintains the view of the domain's entries by probes and gossip.

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
        local_claim = Update(
            settings.node, settings.addresses.peers, self.boot_id, 0, Status.ALIVE
        )
        self._view = LocalView(settings.failure_domain, local_claim, self._tasks)
        self._view.listeners.append(self._signal_change)
        self._prober: Prober | None = None
        self._acks_sent_at: dict[str, float] = {}
        self._joined_at: float | None = None
        self._started_at = 0.0

    async def start(self, kernel: Kernel) -> None:
        """Register message handlers, then join and probe in the background."""
        self._bus = kernel.get("bus", Bus)
        self._prober = Prober(self._bus, self._view, self._rng)
        self._view.on_suspicion_raised = self._on_suspicion_raised
        self._view.on_self_suspected = self._prober.health.record_failure
        self._bus.register_handler(Ping, self._on_ping)
        self._bus.register_handler(IndirectPing, self._on_indirect_ping)
        self._bus.register_handler(Gossip, self._on_gossip)
        self._bus.register_handler(Sync, self._on_sync)
        self._bus.register_handler(Leave, self._on_leave)
        self._started_at = clock.now()
        self._view.add_local_entry()
        self._tasks.spawn_critical(self._prober.run(), "membership-probe")
        self._tasks.spawn_critical(self._prober.maintain_lease(), "membership-lease")
        self._tasks.spawn_critical(self._join(), "membership-join")
        self._tasks.spawn_repeated(self._send_gossip, "membership-gossip")

    async def drain(self) -> None:
        """Leave the domain, unless `leave` was called before."""
        await self.leave()

    async def stop(self) -> None:
        """Cancel the background tasks."""
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
            "lease_left_s": round(self.lease.remaining_s(), 3),
            "health_score": self._prober.health.score,
            "probes": dict(self._prober.counts),
            **self._view.dump(),
        }

    @property
    def local_entry(self) -> EntryInfo:
        """Return this entry."""
        return entry_info(self._view.local_claim)

    @property
    def joined(self) -> bool:
        """Return whether another entry has sent its table since the start."""
        return self._joined_at is not None

    @property
    def started_at(self) -> float:
        """Return when this entry started, on the event loop's clock."""
        return self._started_at

    @property
    def lease(self) -> ViewLease:
        """Return the lease that acks with an equal view hash renew."""
        return self._view.lease

    @property
    def view_hash(self) -> int:
        """Return the hash of the live entries; equal views have equal hashes."""
        return self._view.view_hash

    @property
    def generation(self) -> int:
        """Return the number of changes of the set of live entries."""
        return self._view.generation

    @property
    def has_left(self) -> bool:
        """Return whether this entry has announced that it leaves."""
        return self._view.has_left

    @property
    def domain(self) -> str:
        """Return the failure domain."""
        return self._view.domain

    def activate(self) -> None:
        """Announce that this entry may own backend servers."""
        if not self._view.has_left:
            self._view.activate()

    def last_ack_sent_at(self, record: MemberRecord) -> float:
        """Return when a probe of an entry was last acknowledged, or the start time."""
        return self._acks_sent_at.get(record.update.node, self._started_at)

    def remaining_lease_s(self, record: MemberRecord) -> float:
        """Return the time in seconds for which a lost entry may hold its lease."""
        ends_at = self.last_ack_sent_at(record) + OWNERSHIP_LEASE_S
        return max(0.0, ends_at - clock.now())

    def alive(self) -> tuple[EntryInfo, ...]:
        """Return the live entries of the domain, including this one."""
        return self._view.alive()

    def address_of(self, node: str) -> str | None:
        """Return the peers address of an entry of the domain, or None."""
        record = self.record(node)
        return record.update.peers if record is not None else None

    def record(self, node: str) -> MemberRecord | None:
        """Return the record of an entry, or None."""
        return self._view.table.get(node)

    def present(self) -> tuple[MemberRecord, ...]:
        """Return the records of the live entries."""
        return self._view.table.present()

    def records(self) -> tuple[MemberRecord, ...]:
        """Return the records of all entries, live or departed."""
        return self._view.table.records()

    def departed(self) -> tuple[MemberRecord, ...]:
        """Return the records of the entries that died or left."""
        return self._view.departed()

    def on_change(self, listener: Listener) -> None:
        """Call `listener` with the live entries whenever they change."""
        self._view.listeners.append(listener)

    async def leave(self) -> None:
        """Notify every live entry that this one leaves; it still replies to probes."""
        if self._view.has_left:
            return
        peers = self._view.peers()
        notice = Leave(self._view.domain, self._view.leave())
        await asyncio.gather(
            *(self._bus.request(peer.peers, notice, LEAVE_TIMEOUT_S) for peer in peers)
        )

    async def _join(self) -> None:
        """Sync with seeds until one replies, then reconnect to lost entries."""
        while not self.joined and self._seeds:
            await self._sync(self._rng.choice(self._seeds))
            if not self.joined:
                await asyncio.sleep(JOIN_PERIOD_S * self._rng.uniform(0.5, 1.5))
        while True:
            await asyncio.sleep(RECONNECT_PERIOD_S * self._rng.uniform(0.5, 1.5))
            await self._reconnect()
            self._remove_expired()

    async def _reconnect(self) -> None:
        since = self._view.view_mismatch_since
        if since is not None and clock.now() - since > MISMATCH_GRACE_S:
            peers = self._view.peers()
            self._view.view_mismatch_since = None
            if peers:
                await self._sync(self._rng.choice(peers).peers)
        lost = self._lost_addresses()
        if lost:
            await self._sync(self._rng.choice(lost))

    def _remove_expired(self) -> None:
        self._view.table.remove_expired(clock.now())
        for node in tuple(self._acks_sent_at):
            if self._view.table.get(node) is None:
                del self._acks_sent_at[node]

    def _lost_addresses(self) -> list[str]:
        alive = {entry.peers for entry in self.alive()}
        dead = {
            record.update.peers
            for record in self.departed()
            if record.update.status is Status.DEAD
        }
        return sorted((dead | set(self._seeds)) - alive)

    async def _sync(self, peer: str) -> None:
        members = self._view.table.claims_to_share(clock.now())
        request = Sync(self._view.domain, members)
        match await self._bus.request(peer, request, SYNC_TIMEOUT_S):
            case Result(tag="ok", ok=SyncReply(members=claims)):
                for claim in claims:
                    self._view.merge(claim)
                if self._joined_at is None:
                    self._joined_at = clock.now()

    async def _send_gossip(self) -> None:
        await asyncio.sleep(GOSSIP_PERIOD_S)
        peers = self._view.peers() if self._view.gossip else []
        for peer in self._rng.sample(peers, min(GOSSIP_FANOUT, len(peers))):
            updates = self._view.updates_for(peer.node)
            if updates:
                self._bus.send(peer.peers, Gossip(self._view.domain, updates))

    def _on_ping(self, sender: str, ping: Ping) -> Ack | None:
        if ping.domain != self._view.domain:
            return None
        self._view.merge_message(ping.sender, ping.view, ping.updates)
        updates = self._view.updates_for(ping.sender.node, ping.sender)
        self._acks_sent_at[ping.sender.node] = clock.now()
        return Ack(self._view.local_claim, self._view.view_hash, updates)

    async def _on_indirect_ping(
        self, sender: str, request: IndirectPing
    ) -> IndirectAck | None:
        if request.domain != self._view.domain:
            return None
        return await self._prober.handle_indirect_ping(request)

    def _on_gossip(self, sender: str, gossip: Gossip) -> None:
        if gossip.domain == self._view.domain:
            for claim in gossip.updates:
                self._view.merge(claim)

    def _on_sync(self, sender: str, sync: Sync) -> SyncReply | None:
        if sync.domain != self._view.domain:
            return None
        for claim in sync.members:
            self._view.merge(claim)
        return SyncReply(self._view.table.claims_to_share(clock.now()))

    def _on_leave(self, sender: str, leave: Leave) -> Ack | None:
        if leave.domain != self._view.domain:
            return None
        self._view.merge(leave.sender)
        return Ack(self._view.local_claim, self._view.view_hash, ())

    def _on_suspicion_raised(self, claim: Update) -> None:
        self._tasks.spawn(self._prober.probe_suspect(claim), "membership-insist")

    def _signal_change(self, alive: tuple[EntryInfo, ...]) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def create(settings: Settings, rng: random.Random | None = None) -> Membership:
    """Return the membership of an entry; `rng` is given by tests only."""
    return Membership(settings, rng or secrets.SystemRandom())
