"""Messages between the members of a consensus group.

`group` is empty if the sender does not belong to a group yet. `source` and
`target` are disk identities, so that a message is never handled by another disk
that was installed at the same address.
"""

import enum

import msgspec

from fuchsiacroft.config.bounds import Hash64, Seconds, Whole
from fuchsiacroft.control.records import Configuration, Entry, HighWaterMark, Position
from fuchsiacroft.transport import codec


@codec.message("consensus.vote")
class VoteRequest(msgspec.Struct, frozen=True, array_like=True):
    """A vote request or, with `pre`, a pre-vote request.

    `unled` lists the identities of the members that have just confirmed to the
    candidate that they are not leader.
    """

    group: str
    source: str
    target: str
    term: Whole
    last_index: Whole
    last_term: Whole
    pre: bool
    unled: tuple[str, ...] = ()


@codec.message("consensus.vote_reply")
class VoteReply(msgspec.Struct, frozen=True, array_like=True):
    """A vote granted in `term`, or a rejection with the voter's term.

    `is_fresh` is true if the vote is rejected only because the voter has just
    started: it is not leader and has had no contact with a leader since.
    """

    source: str
    term: Whole
    granted: bool
    is_fresh: bool = False


@codec.message("consensus.beat")
class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat from the leader of a term, with its commit index."""

    group: str
    source: str
    target: str
    term: Whole
    commit: Whole


@codec.message("consensus.beat_reply")
class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True):
    """The follower's term, whether its disk is full, and its commit index.

    Members of older software don't tell their commit index.
    """

    source: str
    term: Whole
    full: bool
    commit: Whole | None = None


@codec.message("consensus.append")
class AppendRequest(msgspec.Struct, frozen=True, array_like=True):
    """Log entries that follow `previous_index` of the leader's log."""

    group: str
    source: str
    target: str
    term: Whole
    previous_index: Whole
    previous_term: Whole
    commit: Whole
    entries: list[Entry]
    marks: list[HighWaterMark]


@codec.message("consensus.append_reply")
class AppendReply(msgspec.Struct, frozen=True, array_like=True):
    """The last durable index that matches the leader's log, or where to retry.

    `index` is the former if `matched`, else the index to send from next.
    """

    source: str
    term: Whole
    matched: bool
    index: Whole


@codec.message("consensus.piece")
class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True):
    """A chunk of the leader's snapshot."""

    group: str
    source: str
    target: str
    term: Whole
    index: Whole
    size: Whole
    checksum: Hash64
    offset: Whole
    data: bytes


@codec.message("consensus.piece_reply")
class SnapshotReply(msgspec.Struct, frozen=True, array_like=True):
    """The offset of the next chunk; the snapshot's size once it is installed."""

    source: str
    term: Whole
    offset: Whole


class ForwardOutcome(enum.Enum):
    """The outcome of a forwarded proposal."""

    APPLIED = "applied"
    NOT_LEADER = "not_leader"
    NO_QUORUM = "no_quorum"
    UNKNOWN = "unknown"


@codec.message("consensus.forward")
class ForwardRequest(msgspec.Struct, frozen=True, array_like=True):
    """A proposal forwarded to the leader of `term`; `number` is unique per `origin`."""

    term: Whole
    origin: str
    number: Whole
    kind: str
    body: bytes
    timeout: Seconds


@codec.message("consensus.forward_reply")
class ForwardReply(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a proposal, and the result of applying the command."""

    outcome: ForwardOutcome
    index: Whole = 0
    kind: str = ""
    body: bytes = b""


@codec.message("consensus.barrier")
class BarrierRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request for the leader's commit index, for a linearizable read."""

    term: Whole


@codec.message("consensus.barrier_reply")
class BarrierReply(msgspec.Struct, frozen=True, array_like=True):
    """The commit index of a leader with a valid lease, or a rejection."""

    granted: bool
    index: Whole


class HelloStatus(enum.Enum):
    """The status that a member returns to a member that has started.

    `FRESH`: the replying member does not belong to a group yet. `WELCOME`: the
    sender is in the configuration. `UNKNOWN`: it is not. `STALE`: the sender has
    acknowledged more than its disk holds. `REMOVED`: a committed configuration
    newer than the sender's does not contain it.
    """

    FRESH = "fresh"
    WELCOME = "welcome"
    UNKNOWN = "unknown"
    STALE = "stale"
    REMOVED = "removed"
    OTHER_GROUP = "other_group"


@codec.message("consensus.hello")
class Hello(msgspec.Struct, frozen=True, array_like=True):
    """Sent after a start: the sender's identity and the state of its disk."""

    group: str
    identity: str
    node: str
    address: str
    term: Whole
    vote: str
    last_index: Whole
    configuration_index: Whole


@codec.message("consensus.hello_reply")
class HelloReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a hello, with the state of the replying member."""

    identity: str
    node: str
    address: str
    status: HelloStatus
    configuration_index: Whole
    configuration: Configuration
    term: Whole
    last: Position
