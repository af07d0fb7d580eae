"""What members of the group send each other.

`group` is empty from a member that belongs to no group yet. `source` and
`target` are identities, so that a message never reaches another disk that was
put at the same address.
"""

import enum

import msgspec

from fuchsiacroft.control.records import Configuration, Entry, HighWaterMark, Position
from fuchsiacroft.transport import codec


@codec.message("consensus.vote")
class VoteRequest(msgspec.Struct, frozen=True, array_like=True):
    """A candidate asks for a vote, or with `pre` whether it would get one.

    `unled` names the disks whose members told it just now that they do not lead.
    """

    group: str
    source: str
    target: str
    term: int
    last_index: int
    last_term: int
    pre: bool
    unled: tuple[str, ...] = ()


@codec.message("consensus.vote_reply")
class VoteReply(msgspec.Struct, frozen=True, array_like=True):
    """A vote granted in `term`, or a refusal with the voter's term.

    `is_fresh` tells that it refuses only because it has just started: it does
    not lead, and has heard no leader since.
    """

    source: str
    term: int
    granted: bool
    is_fresh: bool = False


@codec.message("consensus.beat")
class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """The leader of a term is alive."""

    group: str
    source: str
    target: str
    term: int
    commit: int


@codec.message("consensus.beat_reply")
class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True):
    """The follower's term, and whether its disk is full."""

    source: str
    term: int
    full: bool


@codec.message("consensus.append")
class AppendRequest(msgspec.Struct, frozen=True, array_like=True):
    """Entries that follow a position of the leader's log."""

    group: str
    source: str
    target: str
    term: int
    previous_index: int
    previous_term: int
    commit: int
    entries: list[Entry]
    marks: list[HighWaterMark]


@codec.message("consensus.append_reply")
class AppendReply(msgspec.Struct, frozen=True, array_like=True):
    """The last durable index that matches, or the index to try from."""

    source: str
    term: int
    matched: bool
    index: int


@codec.message("consensus.piece")
class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True):
    """A part of the leader's snapshot."""

    group: str
    source: str
    target: str
    term: int
    index: int
    size: int
    checksum: int
    offset: int
    data: bytes


@codec.message("consensus.piece_reply")
class SnapshotReply(msgspec.Struct, frozen=True, array_like=True):
    """The offset of the next piece; the whole size once it is installed."""

    source: str
    term: int
    offset: int


class ForwardOutcome(enum.Enum):
    """What became of a forwarded proposal."""

    APPLIED = "applied"
    NOT_LEADER = "not_leader"
    NO_QUORUM = "no_quorum"
    UNKNOWN = "unknown"


@codec.message("consensus.forward")
class ForwardRequest(msgspec.Struct, frozen=True, array_like=True):
    """A proposal for the leader of a term; `number` is unique at `origin`."""

    term: int
    origin: str
    number: int
    kind: str
    body: bytes
    timeout: float


@codec.message("consensus.forward_reply")
class ForwardReply(msgspec.Struct, frozen=True, array_like=True):
    """The outcome, and the result of applying the command."""

    outcome: ForwardOutcome
    index: int = 0
    kind: str = ""
    body: bytes = b""


@codec.message("consensus.barrier")
class BarrierRequest(msgspec.Struct, frozen=True, array_like=True):
    """A member asks the leader for an index that includes all committed."""

    term: int


@codec.message("consensus.barrier_reply")
class BarrierReply(msgspec.Struct, frozen=True, array_like=True):
    """The commit index of a leader whose lease holds, else a refusal."""

    granted: bool
    index: int


class HelloStatus(enum.Enum):
    """What a member answers to one that has started.

    `STALE`: the asker promised more than its disk holds. `REMOVED`: a later
    configuration does not name the asker.
    """

    FRESH = "fresh"
    WELCOME = "welcome"
    UNKNOWN = "unknown"
    STALE = "stale"
    REMOVED = "removed"
    OTHER_GROUP = "other_group"


@codec.message("consensus.hello")
class Hello(msgspec.Struct, frozen=True, array_like=True):
    """What a started member holds on its disk."""

    group: str
    identity: str
    node: str
    address: str
    term: int
    vote: str
    last_index: int
    configuration_index: int


@codec.message("consensus.hello_reply")
class HelloReply(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a hello, with the replier's configuration."""

    identity: str
    node: str
    address: str
    status: HelloStatus
    configuration_index: int
    configuration: Configuration
    term: int
    last: Position
