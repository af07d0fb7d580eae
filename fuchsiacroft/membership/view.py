"""An entry's view of its domain: own claim, table, suspicions and gossip."""

from collections import Counter
from collections.abc import Callable

import msgspec

from fuchsiacroft.membership.gossip import GossipQueue
from fuchsiacroft.membership.lease import ViewLease
from fuchsiacroft.membership.suspicion import Suspicion
from fuchsiacroft.membership.table import EntryInfo, MemberRecord, MemberTable
from fuchsiacroft.membership.wire import Status, Update
from fuchsiacroft.utils import clock
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

SUSPICION_TICK_S = 0.25
MAX_RECORDS = 1_000

Listener = Callable[[tuple[EntryInfo, ...]], None]


class LocalView:
    """Merges claims, handles suspicions and queues changes for gossip."""

    def __init__(
        self, domain: str, local_claim: Update, tasks: BackgroundTasks
    ) -> None:
        self.domain = domain
        self.counts: Counter[str] = Counter()
        self.table = MemberTable()
        self.gossip = GossipQueue()
        self.lease = ViewLease()
        self.view_mismatch_since: float | None = None
        self.generation = 0
        self.on_suspicion_raised: Callable[[Update], None] = lambda target: None
        self.listeners: list[Listener] = []
        self.on_self_suspected: Callable[[], None] = lambda: None
        self._tasks = tasks
        self._suspicions: dict[str, Suspicion] = {}
        self._alive: tuple[EntryInfo, ...] = ()
        self._local_claim = local_claim

    def add_local_entry(self) -> None:
        """Add this entry to the table."""
        self._update_local_claim(self._local_claim)

    @property
    def local_claim(self) -> Update:
        """Return the claim about this entry."""
        return self._local_claim

    @property
    def view_hash(self) -> int:
        """Return the hash of the set of entries that count as alive."""
        return self.table.view_hash

    @property
    def has_left(self) -> bool:
        """Return whether this entry has announced that it leaves."""
        return self._local_claim.status is Status.LEFT

    def alive(self) -> tuple[EntryInfo, ...]:
        """Return the entries that count as alive, including this one."""
        return self._alive

    def peers(self) -> list[Update]:
        """Return the claims about the other entries that count as alive."""
        return [
            record.update
            for record in self.table.present()
            if record.update.node != self._local_claim.node
        ]

    def departed(self) -> tuple[MemberRecord, ...]:
        """Return the records of the entries that died or left."""
        return self.table.departed()

    def is_suspected(self, node: str) -> bool:
        """Return whether an entry is suspected now."""
        return node in self._suspicions

    def updates_for(
        self, node: str, received: Update | None = None
    ) -> tuple[Update, ...]:
        """Return claims for a message to an entry, first any it has to refute."""
        record = self.table.get(node)
        if record is None:
            return self.gossip.take()
        claim = record.update
        must_refute = claim.status is not Status.ALIVE
        if received is not None:
            must_refute = must_refute or claim.boot_id != received.boot_id
        return self.gossip.take(claim if must_refute else None)

    def merge_message(
        self, sender: Update, view: int | None, updates: tuple[Update, ...]
    ) -> None:
        """Merge the claims of a message; `view` is the view hash of its sender."""
        self.merge(sender)
        for claim in updates:
            self.merge(claim)
        if view is not None:
            self._compare_view(view)

    def merge(self, claim: Update) -> None:
        """Merge one claim."""
        if claim.node == self._local_claim.node:
            self._refute(claim)
            return
        if self.table.get(claim.node) is None and self._is_full():
            self.counts["dropped_table_full"] += 1
            return
        resulting = self.table.merge(claim, clock.now())
        if resulting is not None:
            self._on_claim_changed(resulting)
        elif claim.status in (Status.SUSPECT, Status.DEAD):
            self._confirm_suspicion(claim)

    def raise_suspicion(self, target: Update) -> None:
        """Suspect an entry that did not acknowledge a probe."""
        record = self.table.get(target.node)
        if record is None or not record.present:
            return
        claim = msgspec.structs.replace(
            record.update, status=Status.SUSPECT, accuser=self._local_claim.node
        )
        was_suspected = self.is_suspected(target.node)
        self.merge(claim)
        if not was_suspected and self.is_suspected(target.node):
            self.on_suspicion_raised(claim)

    def activate(self) -> None:
        """Announce that this entry may own backend servers."""
        own = self._local_claim
        self._update_local_claim(
            msgspec.structs.replace(own, incarnation=own.incarnation + 1, active=True)
        )

    def leave(self) -> Update:
        """Mark this entry as leaving and return the claim."""
        self._update_local_claim(
            msgspec.structs.replace(self._local_claim, status=Status.LEFT)
        )
        return self._local_claim

    def dump(self) -> dict:
        """Return the table and counters."""
        now = clock.now()
        members = {
            record.update.node: {
                "peers": record.update.peers,
                "boot_id": record.update.boot_id,
                "incarnation": record.update.incarnation,
                "status": record.update.status.name.lower(),
                "for_s": round(now - record.since, 3),
            }
            for record in self.table.records()
        }
        return {"members": members, "counts": dict(self.counts)}

    def _is_full(self) -> bool:
        return len(self.table.records()) >= MAX_RECORDS

    def _refute(self, claim: Update) -> None:
        own = self._local_claim
        if claim.incarnation < own.incarnation or self.has_left:
            return
        is_same_boot = claim.boot_id == own.boot_id
        if is_same_boot and claim.status is Status.ALIVE:
            return
        if is_same_boot:
            self.counts["refuted"] += 1
            self.on_self_suspected()
        self._update_local_claim(
            msgspec.structs.replace(own, incarnation=claim.incarnation + 1)
        )

    def _update_local_claim(self, claim: Update) -> None:
        self._local_claim = claim
        resulting = self.table.merge(claim, clock.now())
        if resulting is not None:
            self._on_claim_changed(resulting)

    def _on_claim_changed(self, claim: Update) -> None:
        self.gossip.add(claim, len(self.table.records()))
        old = self._suspicions.get(claim.node)
        if claim.status is Status.SUSPECT:
            if old is None or old.incarnation != claim.incarnation:
                self._start_suspicion(claim)
        elif old is not None:
            del self._suspicions[claim.node]
        self._notify_listeners(claim)

    def _start_suspicion(self, claim: Update) -> None:
        self.counts["suspected"] += 1
        suspicion = Suspicion(claim.incarnation, len(self._alive))
        suspicion.confirm(claim.accuser)
        self._suspicions[claim.node] = suspicion
        self._tasks.spawn(self._await_refutation(claim.node, suspicion))

    def _confirm_suspicion(self, claim: Update) -> None:
        suspicion = self._suspicions.get(claim.node)
        if suspicion is None or suspicion.incarnation != claim.incarnation:
            return
        if suspicion.confirm(claim.accuser):
            suspect = msgspec.structs.replace(claim, status=Status.SUSPECT)
            self.gossip.add(suspect, len(self._alive))

    async def _await_refutation(self, node: str, suspicion: Suspicion) -> None:
        await suspicion.wait(SUSPICION_TICK_S)
        if self._suspicions.get(node) is not suspicion:
            return
        claim = self.table.declare_dead(node, suspicion.incarnation, clock.now())
        if claim is not None:
            self.counts["declared_dead"] += 1
            self._on_claim_changed(claim)

    def _compare_view(self, view: int) -> None:
        now = clock.now()
        if view == self.view_hash:
            self.view_mismatch_since = None
        elif self.view_mismatch_since is None:
            self.view_mismatch_since = now

    def _notify_listeners(self, claim: Update) -> None:
        before = self._alive
        self._alive = tuple(record.info for record in self.table.present())
        self.lease.set_alone(len(self._alive) <= 1)
        if _identities(before) == _identities(self._alive):
            return
        self.generation += 1
        event(
            "info",
            "membership_changed",
            entry=claim.node,
            status=claim.status.name.lower(),
            incarnation=claim.incarnation,
            alive=len(self._alive),
        )
        for listener in tuple(self.listeners):
            listener(self._alive)


def _identities(entries: tuple[EntryInfo, ...]) -> list[tuple[str, str, bool]]:
    return [(entry.node, entry.boot_id, entry.active) for entry in entries]
