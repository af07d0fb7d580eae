"""Assembles a snapshot from the chunks of a transfer."""

import xxhash

from fuchsiacroft.control import records
from fuchsiacroft.control.consensus.messages import SnapshotChunk
from fuchsiacroft.control.records import Snapshot


class SnapshotReceiver:
    """The chunks received so far of one snapshot."""

    def __init__(self) -> None:
        self._key = (0, 0, 0, 0)
        self._data = bytearray()

    def add_chunk(self, chunk: SnapshotChunk) -> int:
        """Add a chunk if it is the next one; return the next offset to send."""
        key = (chunk.term, chunk.index, chunk.size, chunk.checksum)
        if key != self._key:
            self._key = key
            self._data = bytearray()
        if chunk.offset == len(self._data):
            self._data += chunk.data
        return len(self._data)

    def completed_snapshot(self) -> Snapshot | None:
        """Return the snapshot if it is complete and its checksum matches, else None.

        Data with another checksum are dropped, so that the transfer starts again.
        """
        _, _, size, checksum = self._key
        if not size or len(self._data) != size:
            return None
        data = bytes(self._data)
        if xxhash.xxh3_64_intdigest(data) != checksum:
            self._key = (0, 0, 0, 0)
            return None
        return records.decode_snapshot(data)
