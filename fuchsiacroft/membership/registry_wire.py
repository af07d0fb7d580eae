"""Messages about registered backend servers and entries."""

import enum
from collections.abc import Iterable
from typing import Self

import msgspec
import xxhash

from fuchsiacroft.membership.announcement import Announcement
from fuchsiacroft.transport import codec


class ServerState(enum.Enum):
    """What a registered backend server takes.

    `LEAVING` ends its work and takes no more; `LEFT` is gone for good.
    """

    SERVING = "serving"
    LEAVING = "leaving"
    LEFT = "left"


class ServerRecord(msgspec.Struct, frozen=True):
    """One life of a backend server as it last told of itself.

    `born_ms` is the Unix millisecond of its start, and with the name its
    identity. `sequence` counts what it told in this life.
    """

    announcement: Announcement
    born_ms: int
    sequence: int
    life: ServerState

    @property
    def name(self) -> str:
        """Return the name of the backend server."""
        return self.announcement.name

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return what tells this life from all others."""
        return (self.announcement.name, self.born_ms)

    def ended(self) -> Self:
        """Return the record of this life after its end."""
        return msgspec.structs.replace(self, life=ServerState.LEFT)


class EntryRecord(msgspec.Struct, frozen=True):
    """An entry that greeted a control member lately.

    `started_ms` is the time of day of its start; with the node it orders the
    entries by age. `leaving` means that it drains.
    """

    node: str
    failure_domain: str
    peers: str
    started_ms: int
    leaving: bool = False


def entries_digest(entries: Iterable[EntryRecord]) -> int:
    """Return a hash of entries, whatever their order."""
    texts = sorted(
        f"{e.node} {e.failure_domain} {e.peers} {e.started_ms} {e.leaving}"
        for e in entries
    )
    return xxhash.xxh3_64_intdigest("\n".join(texts).encode())


@codec.message("registry.hello")
class EntryHello(msgspec.Struct, frozen=True):
    """An entry greets a control member, with digests of what that told before."""

    entry: EntryRecord
    digest: int
    entries_digest: int


@codec.message("registry.hello_answer")
class HelloAnswer(msgspec.Struct, frozen=True):
    """The control members; the entries and the table if their digests differ."""

    controls: tuple[str, ...]
    entries_digest: int
    entries: tuple[EntryRecord, ...] | None
    digest: int
    records: tuple[ServerRecord, ...] | None


@codec.message("registry.gone")
class EntryGone(msgspec.Struct, frozen=True):
    """An entry stops now; nothing is told to it any more."""

    node: str


@codec.message("registry.changed")
class ServersChanged(msgspec.Struct, frozen=True):
    """Records that changed at a control member, told to entries and members."""

    source: str
    records: tuple[ServerRecord, ...]


@codec.message("registry.noted")
class ChangeNoted(msgspec.Struct, frozen=True):
    """The receiver obeys the change from now on."""
