"""Messages of the membership protocol between the entries of a domain."""

import enum

import msgspec

from fuchsiacroft.config.bounds import Hash64, Whole
from fuchsiacroft.transport import codec


class Status(enum.IntEnum):
    """The status of an entry."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Update(msgspec.Struct, frozen=True, array_like=True):
    """One claim about one entry.

    Of two claims the one with the higher incarnation is valid. Only the entry
    itself increments its incarnation. `accuser` is the entry that suspects it.
    `active` is false until the entry may own backend servers.
    """

    node: str
    peers: str
    boot_id: str
    incarnation: Whole
    status: Status
    accuser: str = ""
    active: bool = False


@codec.message("membership.ping")
class Ping(msgspec.Struct, frozen=True, array_like=True):
    """Probes an entry; `view` is the sender's view hash."""

    domain: str
    sender: Update
    view: Hash64
    updates: tuple[Update, ...]


@codec.message("membership.ack")
class Ack(msgspec.Struct, frozen=True, array_like=True):
    """Acknowledges a `Ping` or a `Leave`; `view` is the sender's view hash."""

    sender: Update
    view: Hash64
    updates: tuple[Update, ...]


@codec.message("membership.indirect_ping")
class IndirectPing(msgspec.Struct, frozen=True, array_like=True):
    """Asks an entry to probe another one for the sender."""

    domain: str
    target: Update


@codec.message("membership.indirect_ack")
class IndirectAck(msgspec.Struct, frozen=True, array_like=True):
    """Answers an `IndirectPing`; `ack` is None if the target did not reply."""

    ack: Ack | None


@codec.message("membership.gossip")
class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """Carries recent claims; there is no reply."""

    domain: str
    updates: tuple[Update, ...]


@codec.message("membership.sync")
class Sync(msgspec.Struct, frozen=True, array_like=True):
    """Carries the sender's claims; sent to join, after a mismatch and to reconnect.

    The claims are about all live and recently departed entries.
    """

    domain: str
    members: tuple[Update, ...]


@codec.message("membership.sync_answer")
class SyncReply(msgspec.Struct, frozen=True, array_like=True):
    """Answers a `Sync` with the same kind of claims from the receiver's table."""

    members: tuple[Update, ...]


@codec.message("membership.leave")
class Leave(msgspec.Struct, frozen=True, array_like=True):
    """Announces that the sender leaves."""

    domain: str
    sender: Update
