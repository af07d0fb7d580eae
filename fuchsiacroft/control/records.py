"""What the durable files of a member hold, and how it is checked.

A file begins with a header that names its kind and format version. A log
segment then holds frames; each frame is one synced batch with a sequence
number and a checksum. A snapshot holds one frame.
"""

import struct
from dataclasses import dataclass

import msgspec
import xxhash

FORMAT_VERSION = 1
SEGMENT_MAGIC = b"FCSEG"
SNAPSHOT_MAGIC = b"FCSNP"
FRAME_MAGIC = b"\xfcFRM"

_HEADER = struct.Struct("<5sHI")
_HEADER_START = struct.Struct("<5sH")
_FRAME = struct.Struct("<4sIQQ")
HEADER_BYTES = _HEADER.size


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log; `kind` names the command's type."""

    index: int
    term: int
    kind: str
    body: bytes


class HighWaterMark(msgspec.Struct, frozen=True, array_like=True):
    """The furthest promise heard from a member: its term and its last index."""

    identity: str
    term: int
    index: int


class Position(msgspec.Struct, frozen=True, array_like=True):
    """An index of the log and the term of its entry."""

    index: int
    term: int


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """What one sync makes durable.

    `reset` discards the log and begins it again after that position. An entry
    whose index is already taken replaces that entry and all that follow.
    """

    term: int
    vote: str
    entries: list[Entry] = []
    reset: Position | None = None
    marks: list[HighWaterMark] = []


class GroupMember(msgspec.Struct, frozen=True, array_like=True):
    """A member of the group under the identity of its disk."""

    identity: str
    node: str
    address: str
    voter: bool


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """The members of the group from one entry of the log on."""

    group: str
    members: tuple[GroupMember, ...]

    def voters(self) -> tuple[GroupMember, ...]:
        """Return the members that vote."""
        return tuple(member for member in self.members if member.voter)

    def majority(self) -> int:
        """Return how many voters make a quorum."""
        return len(self.voters()) // 2 + 1

    def find(self, identity: str) -> GroupMember | None:
        """Return the member of that identity, or None."""
        for member in self.members:
            if member.identity == identity:
                return member
        return None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state of every state machine as of one index."""

    index: int
    term: int
    configuration_index: int
    configuration: Configuration
    machines: dict[str, bytes]


class Identity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who the disk belongs to; a new disk has a new identity.

    `boot` names the machine's start in which the disk was last known to hold
    every promise of this identity.
    """

    format: int
    identity: str
    node: str
    boot: str


_ENCODER = msgspec.msgpack.Encoder()
_BATCH_DECODER = msgspec.msgpack.Decoder(Batch)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)


@dataclass(frozen=True, slots=True)
class FileFault:
    """Why a file is refused."""

    file: str
    offset: int
    reason: str


@dataclass(frozen=True, slots=True)
class Frame:
    """One checked frame of a segment."""

    sequence: int
    payload: bytes
    end: int


def encode_header(magic: bytes) -> bytes:
    """Return the first bytes of a file of that kind."""
    start = _HEADER_START.pack(magic, FORMAT_VERSION)
    return start + xxhash.xxh32_intdigest(start).to_bytes(4, "little")


def is_header_valid(data: bytes) -> bool:
    """Tell whether a file begins with a header as it was written."""
    if len(data) < HEADER_BYTES:
        return False
    digest = xxhash.xxh32_intdigest(data[: _HEADER_START.size])
    return _HEADER.unpack_from(data)[2] == digest


def header_error(data: bytes, magic: bytes) -> str | None:
    """Return why a file's header is refused, or None."""
    if not is_header_valid(data):
        return "damaged: the header is not whole"
    found, version, _ = _HEADER.unpack_from(data)
    if found != magic:
        return "not a file of this kind"
    if version != FORMAT_VERSION:
        return f"format version {version}, this release reads {FORMAT_VERSION}"
    return None


def encode_frame(sequence: int, payload: bytes) -> bytes:
    """Return a frame with its checksum."""
    digest = xxhash.xxh3_64_intdigest(payload, seed=sequence)
    return _FRAME.pack(FRAME_MAGIC, len(payload), sequence, digest) + payload


def read_frame(data: bytes, offset: int) -> Frame | None:
    """Return the frame at an offset, or None if it is torn or damaged."""
    if offset + _FRAME.size > len(data):
        return None
    magic, length, sequence, digest = _FRAME.unpack_from(data, offset)
    start = offset + _FRAME.size
    payload = data[start : start + length]
    if magic != FRAME_MAGIC or len(payload) != length:
        return None
    if xxhash.xxh3_64_intdigest(payload, seed=sequence) != digest:
        return None
    return Frame(sequence, payload, start + length)


def has_frame_after(data: bytes, offset: int) -> bool:
    """Tell whether any whole frame begins after an offset."""
    found = data.find(FRAME_MAGIC, offset + 1)
    while found >= 0:
        if read_frame(data, found) is not None:
            return True
        found = data.find(FRAME_MAGIC, found + 1)
    return False


def encode(record: msgspec.Struct) -> bytes:
    """Return the bytes of a batch, snapshot or configuration."""
    return _ENCODER.encode(record)


def decode_batch(payload: bytes) -> Batch:
    """Return the batch of a checked frame."""
    return _BATCH_DECODER.decode(payload)


def decode_snapshot(payload: bytes) -> Snapshot:
    """Return the snapshot of a checked frame or transfer."""
    return _SNAPSHOT_DECODER.decode(payload)


def decode_configuration(payload: bytes) -> Configuration:
    """Return the configuration that an entry carries."""
    return msgspec.msgpack.decode(payload, type=Configuration)
