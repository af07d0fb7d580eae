"""The registered backend servers: which report of which life counts.

Reports may come late, twice and out of order, also after another life of the
server has taken the same name or address.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from fuchsiacroft.membership.registry_wire import ServerRecord, ServerState

LEFT_KEPT_S = 60.0
"""How long the end of a life is remembered, against reports that come late."""

_ORDER = {ServerState.SERVING: 0, ServerState.LEAVING: 1, ServerState.LEFT: 2}


@dataclass(frozen=True, slots=True)
class Heard:
    """A record and when it was last heard, on the loop's clock."""

    record: ServerRecord
    at: float


class ServerTable:
    """The newest record of each backend server; a life never goes backward."""

    def __init__(self) -> None:
        self._heard: dict[str, Heard] = {}
        self._digest: int | None = None

    def __len__(self) -> int:
        """Return how many records are kept."""
        return len(self._heard)

    def get(self, name: str) -> ServerRecord | None:
        """Return the record of a name."""
        heard = self._heard.get(name)
        return heard.record if heard is not None else None

    def records(self) -> tuple[ServerRecord, ...]:
        """Return every record, also of lives that ended lately."""
        return tuple(heard.record for heard in self._heard.values())

    @property
    def digest(self) -> int:
        """Return a hash of what decides about requests; equal tables hash equally."""
        if self._digest is None:
            texts = sorted(_described(record) for record in self.records())
            self._digest = xxhash.xxh3_64_intdigest("\n".join(texts).encode())
        return self._digest

    def merge(self, record: ServerRecord, at: float) -> tuple[ServerRecord, ...]:
        """Take a report; return the records that changed by it."""
        known = self._heard.get(record.name)
        if known is None:
            return self._place(record, at)
        if record.born_ms < known.record.born_ms:
            return ()
        if record.born_ms > known.record.born_ms:
            return self._place(record, at)
        return self._renew(known, record, at)

    def keep(self, names: Iterable[str], at: float) -> None:
        """Count the servers of these names as heard of now."""
        for name in names:
            heard = self._heard.get(name)
            if heard is not None and heard.record.life is not ServerState.LEFT:
                self._heard[name] = Heard(heard.record, at)

    def drop_silent(self, oldest: float, at: float) -> tuple[str, ...]:
        """Forget servers not heard since `oldest`, and ends long past."""
        gone = [
            name
            for name, heard in self._heard.items()
            if heard.at < (at - LEFT_KEPT_S if _is_left(heard) else oldest)
        ]
        for name in gone:
            del self._heard[name]
            self._digest = None
        return tuple(gone)

    def _renew(
        self, known: Heard, record: ServerRecord, at: float
    ) -> tuple[ServerRecord, ...]:
        held = known.record
        is_newer = record.sequence > held.sequence
        is_further = _ORDER[record.life] > _ORDER[held.life]
        if not is_newer and not is_further:
            return ()
        life = record.life if is_further else held.life
        latest = record if is_newer else held
        merged = ServerRecord(latest.announcement, held.born_ms, latest.sequence, life)
        self._heard[record.name] = Heard(merged, at)
        if _described(merged) == _described(held):
            return ()
        self._digest = None
        return (merged,)

    def _place(self, record: ServerRecord, at: float) -> tuple[ServerRecord, ...]:
        """Put a new life in, unless a later one has its address already."""
        address = record.announcement.address
        ended = []
        for heard in list(self._heard.values()):
            other = heard.record
            if other.name == record.name or other.announcement.address != address:
                continue
            if other.born_ms > record.born_ms:
                return ()
            if other.life is not ServerState.LEFT:
                ended.append(self._end(other, at))
        self._heard[record.name] = Heard(record, at)
        self._digest = None
        return (*ended, record)

    def _end(self, record: ServerRecord, at: float) -> ServerRecord:
        ended = record.ended()
        self._heard[record.name] = Heard(ended, at)
        return ended


def _is_left(heard: Heard) -> bool:
    return heard.record.life is ServerState.LEFT


def _described(record: ServerRecord) -> str:
    told = record.announcement
    offers = ",".join(f"{offer.service}/{offer.version}" for offer in told.offers)
    return (
        f"{told.name} {record.born_ms} {record.life.value} {told.address} "
        f"{told.failure_domain} {told.slots} {offers}"
    )
