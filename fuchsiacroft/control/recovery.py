"""Recovery of a member's state from its files after a stop or a crash."""

from dataclasses import dataclass, field

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.control import records
from fuchsiacroft.control.folder import Folder
from fuchsiacroft.control.records import (
    Batch,
    Entry,
    FileFault,
    HighWaterMark,
    Identity,
    Position,
    Snapshot,
)

IDENTITY_FILE = "identity.json"
DISCARDED_FILE = "discarded"
"""It exists from the moment when all files are given up until all are removed."""
SEGMENT_PREFIX = "log-"
SNAPSHOT_PREFIX = "snapshot-"
TEMP_SUFFIX = ".aside"
REJOIN_ADVICE = (
    "keep a copy of the data folder, empty it and start this member again: "
    "it rejoins the group as a learner under a new identity"
)


@dataclass(slots=True)
class Segment:
    """A log segment: its name, validated size and last entry index."""

    name: str
    size: int
    last_index: int = 0
    torn: bool = False


@dataclass(slots=True)
class Recovered:
    """The state recovered from a folder."""

    identity: Identity | None = None
    snapshot: Snapshot | None = None
    term: int = 0
    vote: str = ""
    entries: list[Entry] = field(default_factory=list)
    base: Position | None = None
    marks: list[HighWaterMark] = field(default_factory=list)
    segments: list[Segment] = field(default_factory=list)
    sequence: int = 0


def recover(folder: Folder) -> Result[Recovered, FileFault]:
    """Read and validate all files of a folder, without changing them."""
    state = Recovered()
    names = folder.list_files()
    fault = _read_identity(folder, names, state) or _read_snapshot(folder, names, state)
    if fault is not None:
        return Error(fault)
    segments = [name for name in names if name.startswith(SEGMENT_PREFIX)]
    for name in segments:
        fault = _read_segment(folder, name, name == segments[-1], state)
        if fault is not None:
            return Error(fault)
    fault = _trim_to_snapshot(state)
    if fault is None and state.identity is None and (state.segments or state.snapshot):
        fault = FileFault(IDENTITY_FILE, 0, "missing, although there is a log")
    return Ok(state) if fault is None else Error(fault)


def _read_identity(
    folder: Folder, names: list[str], state: Recovered
) -> FileFault | None:
    if IDENTITY_FILE not in names:
        return None
    try:
        identity = msgspec.json.decode(folder.read(IDENTITY_FILE), type=Identity)
    except msgspec.MsgspecError as exc:
        return FileFault(IDENTITY_FILE, 0, f"damaged: {exc}")
    if identity.format != records.FORMAT_VERSION:
        return FileFault(IDENTITY_FILE, 0, f"format version {identity.format}")
    state.identity = identity
    return None


def _read_snapshot(
    folder: Folder, names: list[str], state: Recovered
) -> FileFault | None:
    found = [
        name
        for name in names
        if name.startswith(SNAPSHOT_PREFIX) and not name.endswith(TEMP_SUFFIX)
    ]
    if not found:
        return None
    name = found[-1]
    data = folder.read(name)
    fault = records.header_error(data, records.SNAPSHOT_MAGIC)
    if fault is not None:
        return FileFault(name, 0, fault)
    frame = records.read_frame(data, records.HEADER_BYTES)
    if frame is None:
        return FileFault(name, records.HEADER_BYTES, "damaged: checksum does not match")
    state.snapshot = records.decode_snapshot(frame.payload)
    return None


def _read_segment(
    folder: Folder, name: str, is_last: bool, state: Recovered
) -> FileFault | None:
    data = folder.read(name)
    segment = Segment(name, 0)
    state.segments.append(segment)
    is_valid = records.is_header_valid(data)
    if is_last and not is_valid and not records.has_frame_after(data, 0):
        segment.torn = True
        return None
    fault = records.header_error(data, records.SEGMENT_MAGIC)
    if fault is not None:
        return FileFault(name, 0, fault)
    segment.size = records.HEADER_BYTES
    while segment.size < len(data):
        frame = records.read_frame(data, segment.size)
        if frame is None:
            if is_last and not records.has_frame_after(data, segment.size):
                segment.torn = True
                return None
            return FileFault(
                name, segment.size, "damaged: an invalid frame precedes valid ones"
            )
        if state.sequence and frame.sequence != state.sequence + 1:
            reason = f"damaged: frame {frame.sequence} follows {state.sequence}"
            return FileFault(name, segment.size, reason)
        state.sequence = frame.sequence
        replay_batch(records.decode_batch(frame.payload), segment, state)
        segment.size = frame.end
    # A segment with only a header is a torn write too: its name will be reused.
    segment.torn = is_last and segment.size == records.HEADER_BYTES
    return None


def replay_batch(batch: Batch, segment: Segment, state: Recovered) -> None:
    """Apply one durable batch to the recovered state."""
    state.term = batch.term
    state.vote = batch.vote
    if batch.marks:
        state.marks = batch.marks
    if batch.reset is not None:
        state.entries = []
        state.base = batch.reset
    for entry in batch.entries:
        _replay_entry(entry, state)
        segment.last_index = max(segment.last_index, entry.index)


def _replay_entry(entry: Entry, state: Recovered) -> None:
    if state.base is None:
        state.base = Position(entry.index - 1, 0)
    offset = entry.index - state.base.index - 1
    if offset < 0 or offset > len(state.entries):
        state.base = Position(entry.index - 1, 0)
        state.entries = [entry]
        return
    del state.entries[offset:]
    state.entries.append(entry)


def _trim_to_snapshot(state: Recovered) -> FileFault | None:
    """Discard the entries covered by the snapshot."""
    snapshot = state.snapshot
    start = Position(0, 0)
    if snapshot is not None:
        start = Position(snapshot.index, snapshot.term)
    base = state.base or start
    if base.index > start.index:
        reason = f"missing: entries {start.index + 1} to {base.index}"
        return FileFault(state.segments[0].name, 0, reason)
    offset = start.index - base.index
    is_covered = offset <= len(state.entries)
    if is_covered and offset > 0:
        is_covered = state.entries[offset - 1].term == start.term
    state.entries = state.entries[offset:] if is_covered else []
    state.base = start
    return None
