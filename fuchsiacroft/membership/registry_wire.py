"""Messages about registered backend servers and entries."""

import enum
from collections.abc import Iterable
from typing import Self

import msgspec
import xxhash

from fuchsiacroft.config.bounds import Hash64, Sequence, UnixMs, Whole
from fuchsiacroft.config.settings import Address
from fuchsiacroft.membership.announcement import Announcement
from fuchsiacroft.transport import codec


class ServerState(enum.Enum):
    """The lifecycle state of a registered backend server.

    `LEAVING` finishes its requests and accepts no more; `LEFT` is final.
    """

    SERVING = "serving"
    LEAVING = "leaving"
    LEFT = "left"


class ServerRecord(msgspec.Struct, frozen=True):
    """The latest report of one life of a backend server.

    The name and `born_ms`, the Unix time of its start in milliseconds, identify
    the life. `sequence` numbers the reports of this life.
    """

    announcement: Announcement
    born_ms: UnixMs
    sequence: Sequence
    life: ServerState

    @property
    def name(self) -> str:
        """Return the name of the backend server."""
        return self.announcement.name

    @property
    def instance_id(self) -> tuple[str, int]:
        """Return the name and start time that identify this life."""
        return (self.announcement.name, self.born_ms)

    def as_left(self) -> Self:
        """Return the record with the state `LEFT`."""
        return msgspec.structs.replace(self, life=ServerState.LEFT)


class EntryRecord(msgspec.Struct, frozen=True):
    """An entry that recently sent a heartbeat to a control member.

    `started_ms` is the Unix time of its start; with the node it orders the
    entries by age. `leaving` means that the entry is draining.
    """

    node: str
    failure_domain: str
    peers: Address
    started_ms: UnixMs
    leaving: bool = False


def entries_digest(entries: Iterable[EntryRecord]) -> int:
    """Return a hash of entries that does not depend on their order."""
    texts = sorted(
        f"{e.node} {e.failure_domain} {e.peers} {e.started_ms} {e.leaving}"
        for e in entries
    )
    return xxhash.xxh3_64_intdigest("\n".join(texts).encode())


@codec.message("registry.hello")
class EntryHeartbeat(msgspec.Struct, frozen=True):
    """Heartbeat of an entry, with the digests it last got from the control member.

    With `asks_full` the member replies with each table whose digest is another now.
    """

    entry: EntryRecord
    digest: Hash64
    entries_digest: Hash64
    asks_full: bool = True


@codec.message("registry.hello_answer")
class EntryHeartbeatReply(msgspec.Struct, frozen=True):
    """Reply to a heartbeat; tables that the entry knows or didn't ask for are None.

    `controls` reflect the group `group` up to its change at the log index
    `group_index`; 0 if the member knows of no committed change. A member that has just
    started doesn't know all entries yet; it `has_all_entries` later.
    """

    controls: tuple[str, ...]
    entries_digest: Hash64
    entries: tuple[EntryRecord, ...] | None
    digest: Hash64
    records: tuple[ServerRecord, ...] | None
    group: str = ""
    group_index: Whole = 0
    has_all_entries: bool = True


@codec.message("registry.gone")
class EntryStopping(msgspec.Struct, frozen=True):
    """An entry is stopping and must not be notified any more."""

    node: str


@codec.message("registry.changed")
class ServersChanged(msgspec.Struct, frozen=True):
    """Changed records, sent by a control member to entries and other members.

    Entries send a member those of servers that have left, if it lists them.
    """

    source: str
    records: tuple[ServerRecord, ...]


@codec.message("registry.noted")
class ChangeAck(msgspec.Struct, frozen=True):
    """Acknowledges that the receiver has applied the change."""
