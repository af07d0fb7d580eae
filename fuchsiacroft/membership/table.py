"""What one entry believes of every entry of its domain."""

from dataclasses import dataclass

import msgspec
import xxhash

from fuchsiacroft.membership.wire import Status, Update

GONE_MEMORY_S = 600.0
GONE_SHARED_S = 60.0


@dataclass(frozen=True, slots=True)
class EntryInfo:
    """An entry process of the domain."""

    node: str
    peers: str
    incarnation: int
    boot_id: str
    active: bool


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """The claim held about an entry, and when its status and presence began."""

    update: Update
    since: float
    joined_at: float

    @property
    def info(self) -> EntryInfo:
        """Return the entry without its status."""
        return info_of(self.update)

    @property
    def present(self) -> bool:
        """Tell whether the entry counts as alive."""
        return self.update.status in (Status.ALIVE, Status.SUSPECT)


class MemberTable:
    """Merges claims by incarnation; times are seconds of the loop's clock.

    A claim that an entry is dead counts only as a suspicion: each entry waits
    out its own suspicion timeout, so that one entry with a bad link cannot
    unseat others for everybody.
    """

    def __init__(self) -> None:
        self._records: dict[str, MemberRecord] = {}
        self._view = 0

    def get(self, node: str) -> MemberRecord | None:
        """Return the record of an entry."""
        return self._records.get(node)

    def records(self) -> tuple[MemberRecord, ...]:
        """Return every record."""
        return tuple(self._records.values())

    def present(self) -> tuple[MemberRecord, ...]:
        """Return the records of the entries that count as alive, by name."""
        found = [record for record in self._records.values() if record.present]
        return tuple(sorted(found, key=lambda record: record.update.node))

    def gone(self) -> tuple[MemberRecord, ...]:
        """Return the records of the entries that died or left."""
        return tuple(rec for rec in self._records.values() if not rec.present)

    @property
    def view(self) -> int:
        """Return a hash of the entries present; equal sets hash equally."""
        return self._view

    def merge(self, claim: Update, now: float) -> Update | None:
        """Take a claim in; return what is now believed if that changed."""
        record = self._records.get(claim.node)
        believed = _resolve(record.update if record else None, claim)
        if believed is None:
            return None
        self._put(believed, now)
        return believed

    def declare_dead(self, node: str, incarnation: int, now: float) -> Update | None:
        """End a suspicion that was not refuted; return the new claim."""
        record = self._records.get(node)
        if record is None or record.update.status is not Status.SUSPECT:
            return None
        if record.update.incarnation != incarnation:
            return None
        claim = msgspec.structs.replace(record.update, status=Status.DEAD)
        self._put(claim, now)
        return claim

    def shared(self, now: float) -> tuple[Update, ...]:
        """Return the claims that a joining entry needs."""
        return tuple(
            record.update
            for record in self._records.values()
            if record.present or now - record.since < GONE_SHARED_S
        )

    def forget_old(self, now: float) -> None:
        """Drop entries that have been gone for long."""
        for record in self.gone():
            if now - record.since > GONE_MEMORY_S:
                del self._records[record.update.node]

    def _put(self, claim: Update, now: float) -> None:
        old = self._records.get(claim.node)
        same = old is not None and old.update.status == claim.status
        same = same and old.update.boot_id == claim.boot_id
        stays = old is not None and old.present
        stays = stays and old.update.boot_id == claim.boot_id
        self._records[claim.node] = MemberRecord(
            claim,
            since=old.since if same else now,
            joined_at=old.joined_at if stays else now,
        )
        self._view = 0
        for record in self._records.values():
            if record.present:
                self._view ^= _hash(record.update)


def info_of(claim: Update) -> EntryInfo:
    """Return the entry that a claim is about."""
    return EntryInfo(
        claim.node, claim.peers, claim.incarnation, claim.boot_id, claim.active
    )


def _resolve(old: Update | None, claim: Update) -> Update | None:
    """Return what to believe after a claim, or None if nothing changes."""
    if old is None or claim.incarnation > old.incarnation:
        return _soften(old, claim)
    if claim.incarnation < old.incarnation:
        return None
    if claim.boot_id != old.boot_id:
        return _soften(old, claim) if claim.boot_id > old.boot_id else None
    softened = _soften(old, claim)
    return softened if softened.status > old.status else None


def _soften(old: Update | None, claim: Update) -> Update:
    """Turn the claim that a present entry is dead into a suspicion."""
    if claim.status is not Status.DEAD or old is None:
        return claim
    if old.status in (Status.DEAD, Status.LEFT):
        return claim
    return msgspec.structs.replace(claim, status=Status.SUSPECT)


def _hash(claim: Update) -> int:
    return xxhash.xxh64_intdigest(
        f"{claim.node}/{claim.boot_id}/{claim.active}".encode()
    )
