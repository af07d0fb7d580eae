"""This entry's own view of its domain: identity, table, suspicions, news."""

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
    """Takes claims in and decides what to believe and what to pass on."""

    def __init__(self, domain: str, me: Update, tasks: BackgroundTasks) -> None:
        self.domain = domain
        self.counts: Counter[str] = Counter()
        self.table = MemberTable()
        self.gossip = GossipQueue()
        self.lease = ViewLease()
        self.mismatch_since: float | None = None
        self.generation = 0
        self.accused: Callable[[Update], None] = lambda target: None
        self.listeners: list[Listener] = []
        self.on_self_suspected: Callable[[], None] = lambda: None
        self._tasks = tasks
        self._suspicions: dict[str, Suspicion] = {}
        self._alive: tuple[EntryInfo, ...] = ()
        self._me = me

    def open(self) -> None:
        """Enter ourselves into the table."""
        self._publish(self._me)

    @property
    def me(self) -> Update:
        """Return the claim about this entry."""
        return self._me

    @property
    def hash(self) -> int:
        """Return the hash of the set of entries that count as alive."""
        return self.table.view

    @property
    def left(self) -> bool:
        """Tell whether this entry has announced that it leaves."""
        return self._me.status is Status.LEFT

    def alive(self) -> tuple[EntryInfo, ...]:
        """Return the entries that count as alive, ourselves included."""
        return self._alive

    def peers(self) -> list[Update]:
        """Return the claims about the other entries that count as alive."""
        return [
            record.update
            for record in self.table.present()
            if record.update.node != self._me.node
        ]

    def gone(self) -> tuple[MemberRecord, ...]:
        """Return the records of the entries that died or left."""
        return self.table.gone()

    def suspects(self, node: str) -> bool:
        """Tell whether an entry is suspected now."""
        return node in self._suspicions

    def news_for(self, node: str, heard: Update | None = None) -> tuple[Update, ...]:
        """Return claims for a message to an entry, first what it must refute."""
        record = self.table.get(node)
        if record is None:
            return self.gossip.take()
        claim = record.update
        wrong = claim.status is not Status.ALIVE
        if heard is not None:
            wrong = wrong or claim.boot_id != heard.boot_id
        return self.gossip.take(claim if wrong else None)

    def hear(
        self, sender: Update, view: int | None, updates: tuple[Update, ...]
    ) -> None:
        """Take in what a message said; `view` is its sender's view hash."""
        self.merge(sender)
        for claim in updates:
            self.merge(claim)
        if view is not None:
            self._compare(view)

    def merge(self, claim: Update) -> None:
        """Take one claim in."""
        if claim.node == self._me.node:
            self._refute(claim)
            return
        if self.table.get(claim.node) is None and self._full():
            self.counts["dropped_table_full"] += 1
            return
        believed = self.table.merge(claim, clock.now())
        if believed is not None:
            self._changed(believed)
        elif claim.status in (Status.SUSPECT, Status.DEAD):
            self._confirm(claim)

    def accuse(self, target: Update) -> None:
        """Suspect an entry that did not answer our probe."""
        record = self.table.get(target.node)
        if record is None or not record.present:
            return
        claim = msgspec.structs.replace(
            record.update, status=Status.SUSPECT, accuser=self._me.node
        )
        known = self.suspects(target.node)
        self.merge(claim)
        if not known and self.suspects(target.node):
            self.accused(claim)

    def activate(self) -> None:
        """Announce that we may own backend servers."""
        mine = self._me
        self._publish(
            msgspec.structs.replace(mine, incarnation=mine.incarnation + 1, active=True)
        )

    def leave(self) -> Update:
        """Mark ourselves as leaving and return the claim."""
        self._publish(msgspec.structs.replace(self._me, status=Status.LEFT))
        return self._me

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

    def _full(self) -> bool:
        return len(self.table.records()) >= MAX_RECORDS

    def _refute(self, claim: Update) -> None:
        mine = self._me
        if claim.incarnation < mine.incarnation or self.left:
            return
        same = claim.boot_id == mine.boot_id
        if same and claim.status is Status.ALIVE:
            return
        if same:
            self.counts["refuted"] += 1
            self.on_self_suspected()
        self._publish(msgspec.structs.replace(mine, incarnation=claim.incarnation + 1))

    def _publish(self, me: Update) -> None:
        self._me = me
        believed = self.table.merge(me, clock.now())
        if believed is not None:
            self._changed(believed)

    def _changed(self, claim: Update) -> None:
        self.gossip.add(claim, len(self.table.records()))
        old = self._suspicions.get(claim.node)
        if claim.status is Status.SUSPECT:
            if old is None or old.incarnation != claim.incarnation:
                self._suspect(claim)
        elif old is not None:
            del self._suspicions[claim.node]
        self._notify(claim)

    def _suspect(self, claim: Update) -> None:
        self.counts["suspected"] += 1
        suspicion = Suspicion(claim.incarnation, len(self._alive))
        suspicion.confirm(claim.accuser)
        self._suspicions[claim.node] = suspicion
        self._tasks.spawn(self._await_refutation(claim.node, suspicion))

    def _confirm(self, claim: Update) -> None:
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
            self._changed(claim)

    def _compare(self, view: int) -> None:
        now = clock.now()
        if view == self.hash:
            self.mismatch_since = None
        elif self.mismatch_since is None:
            self.mismatch_since = now

    def _notify(self, claim: Update) -> None:
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
