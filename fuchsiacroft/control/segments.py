"""The segments of a member's log on disk. All methods block."""

from fuchsiacroft.control import records
from fuchsiacroft.control.folder import Folder
from fuchsiacroft.control.recovery import (
    SEGMENT_PREFIX,
    TEMP_SUFFIX,
    Recovered,
    Segment,
)
from fuchsiacroft.utils.logs import event

MAX_SEGMENT_BYTES = 8 * 1024 * 1024


class Segments:
    """Writes frames, syncing each before the next, and deletes old segments."""

    def __init__(self, folder: Folder) -> None:
        self._folder = folder
        self._segments: list[Segment] = []
        self._active: Segment | None = None
        self._failed: Segment | None = None
        self.sequence = 0
        self.syncs = 0

    def __len__(self) -> int:
        """Return the number of segments."""
        return len(self._segments)

    def load(self, state: Recovered) -> None:
        """Load the recovered segments and truncate a torn tail."""
        self._segments = state.segments
        self._active = None
        self._failed = None
        self.sequence = state.sequence
        if self._segments and self._segments[-1].torn:
            self._truncate_torn_tail()

    def write(self, payload: bytes, last_index: int) -> None:
        """Write and sync one frame.

        On an `OSError` the partial write is removed and the error is raised. If it
        can't be removed, nothing else is written until it is: a frame behind it would
        be unreadable.
        """
        self._remove_partial_write()
        sequence = self.sequence + 1
        frame = records.encode_frame(sequence, payload)
        segment = self._active
        is_new = segment is None or segment.size >= MAX_SEGMENT_BYTES
        if is_new:
            segment = Segment(f"{SEGMENT_PREFIX}{sequence:020d}", 0)
            frame = records.encode_header(records.SEGMENT_MAGIC) + frame
        self._failed = segment
        try:
            self._folder.append(segment.name, frame)
            self._folder.sync(segment.name)
            if is_new:
                self._folder.sync_folder()
        except OSError:
            self._remove_partial_write()
            raise
        self._failed = None
        if is_new:
            self._active = segment
            self._segments.append(segment)
        segment.size += len(frame)
        segment.last_index = max(segment.last_index, last_index)
        self.sequence = sequence
        self.syncs += 1

    def remove_covered(self, index: int) -> None:
        """Delete the segments whose entries a durable snapshot covers."""
        while self._segments:
            segment = self._segments[0]
            if self._active in (None, segment) or segment.last_index > index:
                break
            self._folder.remove(segment.name)
            self._folder.sync_folder()
            del self._segments[0]

    def _remove_partial_write(self) -> None:
        """Remove what a failed write has left, if there is any."""
        segment = self._failed
        if segment is None:
            return
        if segment.size:
            self._folder.truncate(segment.name, segment.size)
        else:
            self._folder.remove(segment.name)
        self._failed = None

    def _truncate_torn_tail(self) -> None:
        segment = self._segments[-1]
        event("warning", "torn_tail_cut", file=segment.name, size=segment.size)
        if segment.size <= records.HEADER_BYTES:
            self._folder.remove(segment.name)
            self._folder.sync_folder()
            del self._segments[-1]
            return
        self._folder.truncate(segment.name, segment.size)
        self._folder.sync(segment.name)
        segment.torn = False


def write_atomically(folder: Folder, name: str, data: bytes) -> None:
    """Replace a file atomically: a crash leaves either the old or the new content."""
    temporary = name + TEMP_SUFFIX
    folder.remove(temporary)
    try:
        folder.append(temporary, data)
        folder.sync(temporary)
    except OSError:
        folder.remove(temporary)
        raise
    folder.rename(temporary, name)
    folder.sync_folder()
