"""The format of a member's durable files, with checksums.

A file starts with a header that contains its type and format version. In a log
segment, frames follow; each frame is one synced batch with a sequence number and
a checksum. A snapshot contains one frame.
"""

import struct
from dataclasses import dataclass

import msgspec
import xxhash

from fuchsiacroft.config.bounds import Whole

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

    index: Whole
    term: Whole
    kind: str
    body: bytes


class HighWaterMark(msgspec.Struct, frozen=True, array_like=True):
    """The highest term and index that a member is known to have acknowledged."""

    identity: str
    term: Whole
    index: Whole


class Position(msgspec.Struct, frozen=True, array_like=True):
    """An index of the log and the term of its entry."""

    index: Whole
    term: Whole


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """The changes made durable by one sync.

    `reset` discards the log and restarts it after that position. An entry whose
    index exists already replaces that entry and all that follow.
    """

    term: int
    vote: str
    entries: list[Entry] = []
    reset: Position | None = None
    marks: list[HighWaterMark] = []


class GroupMember(msgspec.Struct, frozen=True, array_like=True):
    """A member of the group, identified by its disk."""

    identity: str
    node: str
    address: str
    voter: bool


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """The members of the group, in force from one log entry on."""

    group: str
    members: tuple[GroupMember, ...]

    def voters(self) -> tuple[GroupMember, ...]:
        """Return the voting members."""
        return tuple(member for member in self.members if member.voter)

    def majority(self) -> int:
        """Return the number of voters in a majority."""
        return len(self.voters()) // 2 + 1

    def find(self, identity: str) -> GroupMember | None:
        """Return the member with an identity, or None."""
        for member in self.members:
            if member.identity == identity:
                return member
        return None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state of all state machines as of one log index."""

    index: int
    term: int
    configuration_index: int
    configuration: Configuration
    machines: dict[str, bytes]


class Identity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The identity of a disk; a new disk gets a new identity.

    `boot` is the machine's boot id at the time when the disk was last known to
    contain everything acknowledged under this identity.
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
    """Why a file is rejected."""

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
    """Return the header of a file of the type given by `magic`."""
    start = _HEADER_START.pack(magic, FORMAT_VERSION)
    return start + xxhash.xxh32_intdigest(start).to_bytes(4, "little")


def is_header_valid(data: bytes) -> bool:
    """Return whether a file starts with a complete header with a valid checksum."""
    if len(data) < HEADER_BYTES:
        return False
    digest = xxhash.xxh32_intdigest(data[: _HEADER_START.size])
    return _HEADER.unpack_from(data)[2] == digest


def header_error(data: bytes, magic: bytes) -> str | None:
    """Return why a file's header is rejected, or None."""
    if not is_header_valid(data):
        return "damaged: the header is incomplete or its checksum does not match"
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
    """Return whether there is a valid frame after an offset."""
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
