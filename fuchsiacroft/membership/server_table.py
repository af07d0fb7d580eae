"""Table of the registered backend servers, which merges their reports.

Reports may be delayed, duplicated and reordered, even after a later life of
the server has taken the same name, or another server the same address.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from fuchsiacroft.membership.registry_wire import ServerRecord, ServerState

LEFT_RETENTION_S = 60.0
"""How long `LEFT` records are retained, so that late reports are ignored."""

_STATE_ORDER = {ServerState.SERVING: 0, ServerState.LEAVING: 1, ServerState.LEFT: 2}


@dataclass(frozen=True, slots=True)
class TimedRecord:
    """A record and the time of its last update, on the event loop's clock."""

    record: ServerRecord
    updated_at: float


class ServerTable:
    """The newest record of each backend server; a state never goes backwards."""

    def __init__(self) -> None:
        self._timed_records: dict[str, TimedRecord] = {}
        self._digest: int | None = None

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._timed_records)

    def get(self, name: str) -> ServerRecord | None:
        """Return the record of a name, or None."""
        timed = self._timed_records.get(name)
        return timed.record if timed is not None else None

    def records(self) -> tuple[ServerRecord, ...]:
        """Return every record, including those that recently became `LEFT`."""
        return tuple(timed.record for timed in self._timed_records.values())

    @property
    def digest(self) -> int:
        """Return a hash of the fields that affect requests.

        Equal tables have equal hashes. `LEFT` records don't count, since each table
        drops them at its own time.
        """
        if self._digest is None:
            texts = sorted(
                _fingerprint(record)
                for record in self.records()
                if record.life is not ServerState.LEFT
            )
            self._digest = xxhash.xxh3_64_intdigest("\n".join(texts).encode())
        return self._digest

    def merge(self, record: ServerRecord, at: float) -> tuple[ServerRecord, ...]:
        """Merge a report; return the records that it changed."""
        known = self._timed_records.get(record.name)
        if known is None:
            return self._insert(record, at)
        if record.born_ms < known.record.born_ms:
            return ()
        if record.born_ms > known.record.born_ms:
            return self._insert(record, at)
        return self._update(known, record, at)

    def left_among(self, records: Iterable[ServerRecord]) -> tuple[ServerRecord, ...]:
        """Return what is known of the servers that records take for present wrongly."""
        found = []
        for record in records:
            timed = self._timed_records.get(record.name)
            if timed is None or not _is_left(timed):
                continue
            is_present = record.life is not ServerState.LEFT
            if is_present and record.born_ms <= timed.record.born_ms:
                found.append(timed.record)
        return tuple(found)

    def refresh(self, names: Iterable[str], at: float) -> None:
        """Mark the servers of these names as updated at `at`."""
        for name in names:
            timed = self._timed_records.get(name)
            if timed is not None and timed.record.life is not ServerState.LEFT:
                self._timed_records[name] = TimedRecord(timed.record, at)

    def remove_expired(self, oldest: float, at: float) -> tuple[str, ...]:
        """Remove servers not updated since `oldest`, and old `LEFT` records.

        A server that was leaving has left then, so that late reports are ignored.
        """
        removed = [
            name
            for name, timed in self._timed_records.items()
            if timed.updated_at < (at - LEFT_RETENTION_S if _is_left(timed) else oldest)
        ]
        for name in removed:
            record = self._timed_records.pop(name).record
            if record.life is ServerState.LEAVING:
                self._mark_left(record, at)
            self._digest = None
        return tuple(removed)

    def _update(
        self, known: TimedRecord, record: ServerRecord, at: float
    ) -> tuple[ServerRecord, ...]:
        current = known.record
        is_newer = record.sequence > current.sequence
        is_further = _STATE_ORDER[record.life] > _STATE_ORDER[current.life]
        if not is_newer and not is_further:
            return ()
        life = record.life if is_further else current.life
        latest = record if is_newer else current
        merged = ServerRecord(
            latest.announcement, current.born_ms, latest.sequence, life
        )
        self._timed_records[record.name] = TimedRecord(merged, at)
        if _fingerprint(merged) == _fingerprint(current):
            return ()
        self._digest = None
        return (merged,)

    def _insert(self, record: ServerRecord, at: float) -> tuple[ServerRecord, ...]:
        """Insert a new life, unless a later one already has its address."""
        address = record.announcement.address
        ended = []
        for timed in list(self._timed_records.values()):
            other = timed.record
            if other.name == record.name or other.announcement.address != address:
                continue
            if other.born_ms > record.born_ms:
                if record.life is not ServerState.LEFT:
                    return ()
            elif other.life is not ServerState.LEFT:
                ended.append(self._mark_left(other, at))
        self._timed_records[record.name] = TimedRecord(record, at)
        self._digest = None
        return (*ended, record)

    def _mark_left(self, record: ServerRecord, at: float) -> ServerRecord:
        ended = record.as_left()
        self._timed_records[record.name] = TimedRecord(ended, at)
        return ended


def _is_left(timed: TimedRecord) -> bool:
    return timed.record.life is ServerState.LEFT


def _fingerprint(record: ServerRecord) -> str:
    announcement = record.announcement
    return (
        f"{announcement.name} {record.born_ms} {record.life.value} "
        f"{announcement.address} "
        f"{announcement.failure_domain} {announcement.slots} {announcement.offered}"
    )
