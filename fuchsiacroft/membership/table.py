"""The membership table of one entry."""

from dataclasses import dataclass

import msgspec
import xxhash

from fuchsiacroft.membership.wire import Status, Update

DEPARTED_RETENTION_S = 600.0
DEPARTED_SHARING_S = 60.0


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
    """The current claim about an entry, and when its status and presence began."""

    update: Update
    since: float
    joined_at: float

    @property
    def info(self) -> EntryInfo:
        """Return the entry without its status."""
        return entry_info(self.update)

    @property
    def present(self) -> bool:
        """Return whether the entry counts as alive."""
        return self.update.status in (Status.ALIVE, Status.SUSPECT)


class MemberTable:
    """Merges claims by incarnation; times are on the event loop's clock.

    A claim that an entry is dead counts only as a suspicion: each entry waits
    for its own suspicion timeout, so that one entry with a bad link cannot
    remove others from every table.
    """

    def __init__(self) -> None:
        self._records: dict[str, MemberRecord] = {}
        self._view_hash = 0

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

    def departed(self) -> tuple[MemberRecord, ...]:
        """Return the records of the entries that died or left."""
        return tuple(record for record in self._records.values() if not record.present)

    @property
    def view_hash(self) -> int:
        """Return a hash of the live entries; equal sets have equal hashes."""
        return self._view_hash

    def merge(self, claim: Update, now: float) -> Update | None:
        """Merge a claim; return the resulting claim if the record changed."""
        record = self._records.get(claim.node)
        resulting = _resolve(record.update if record else None, claim)
        if resulting is None:
            return None
        self._store(resulting, now)
        return resulting

    def declare_dead(self, node: str, incarnation: int, now: float) -> Update | None:
        """Mark a suspected entry as dead after its timeout; return the new claim."""
        record = self._records.get(node)
        if record is None or record.update.status is not Status.SUSPECT:
            return None
        if record.update.incarnation != incarnation:
            return None
        claim = msgspec.structs.replace(record.update, status=Status.DEAD)
        self._store(claim, now)
        return claim

    def claims_to_share(self, now: float) -> tuple[Update, ...]:
        """Return the claims about live and recently departed entries.

        A departed entry is included for `DEPARTED_SHARING_S`.
        """
        return tuple(
            record.update
            for record in self._records.values()
            if record.present or now - record.since < DEPARTED_SHARING_S
        )

    def remove_expired(self, now: float) -> None:
        """Remove entries that departed more than `DEPARTED_RETENTION_S` ago."""
        for record in self.departed():
            if now - record.since > DEPARTED_RETENTION_S:
                del self._records[record.update.node]

    def _store(self, claim: Update, now: float) -> None:
        old = self._records.get(claim.node)
        same_status = old is not None and old.update.status == claim.status
        same_status = same_status and old.update.boot_id == claim.boot_id
        stays_present = old is not None and old.present
        stays_present = stays_present and old.update.boot_id == claim.boot_id
        self._records[claim.node] = MemberRecord(
            claim,
            since=old.since if same_status else now,
            joined_at=old.joined_at if stays_present else now,
        )
        self._view_hash = 0
        for record in self._records.values():
            if record.present:
                self._view_hash ^= _hash(record.update)


def entry_info(claim: Update) -> EntryInfo:
    """Return the entry that a claim is about."""
    return EntryInfo(
        claim.node, claim.peers, claim.incarnation, claim.boot_id, claim.active
    )


def _resolve(old: Update | None, claim: Update) -> Update | None:
    """Return the claim that results from a merge, or None if nothing changes."""
    if old is None or claim.incarnation > old.incarnation:
        return _downgrade_dead_claim(old, claim)
    if claim.incarnation < old.incarnation:
        return None
    if claim.boot_id != old.boot_id:
        return (
            _downgrade_dead_claim(old, claim) if claim.boot_id > old.boot_id else None
        )
    resolved = _downgrade_dead_claim(old, claim)
    return resolved if resolved.status > old.status else None


def _downgrade_dead_claim(old: Update | None, claim: Update) -> Update:
    """Turn a claim that a live entry is dead into a suspicion."""
    if claim.status is not Status.DEAD or old is None:
        return claim
    if old.status in (Status.DEAD, Status.LEFT):
        return claim
    return msgspec.structs.replace(claim, status=Status.SUSPECT)


def _hash(claim: Update) -> int:
    return xxhash.xxh64_intdigest(
        f"{claim.node}/{claim.boot_id}/{claim.active}".encode()
    )
