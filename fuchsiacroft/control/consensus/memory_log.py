"""The entries of the log since the last snapshot, in memory."""

from fuchsiacroft.control.records import Entry, Position


class MemoryLog:
    """Entries after a base position, in order of their indexes."""

    def __init__(self) -> None:
        self._base = Position(0, 0)
        self._entries: list[Entry] = []

    @property
    def base(self) -> Position:
        """Return the position that precedes the first entry."""
        return self._base

    @property
    def last(self) -> Position:
        """Return the position of the last entry, or the base."""
        if not self._entries:
            return self._base
        entry = self._entries[-1]
        return Position(entry.index, entry.term)

    def reset(self, base: Position, entries: list[Entry] | None = None) -> None:
        """Replace the log by one that starts after `base`."""
        self._base = base
        self._entries = list(entries or ())

    def append(self, entry: Entry) -> None:
        """Append the next entry."""
        self._entries.append(entry)

    def truncate(self, index: int) -> None:
        """Remove the entry at an index and all that follow."""
        del self._entries[index - self._base.index - 1 :]

    def compact(self, index: int) -> None:
        """Discard entries up to an index, which becomes the base."""
        if index <= self._base.index:
            return
        term = self.term_at(index)
        del self._entries[: index - self._base.index]
        self._base = Position(index, term)

    def entry(self, index: int) -> Entry:
        """Return the entry at an index after the base."""
        return self._entries[index - self._base.index - 1]

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None if the log does not cover it."""
        if index == self._base.index:
            return self._base.term
        offset = index - self._base.index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        return None

    def first_of_term(self, index: int) -> int:
        """Return the first index in the log with the same term as `index`."""
        term = self.term_at(index)
        while index - 1 > self._base.index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def batch(self, start: int, entries: int, size: int) -> list[Entry]:
        """Return up to `entries` entries from `start`, of up to `size` bytes in all.

        A larger entry is returned alone, so that a message can carry it.
        """
        offset = start - self._base.index - 1
        batch = []
        for entry in self._entries[offset : offset + entries]:
            size -= len(entry.body)
            if batch and size < 0:
                break
            batch.append(entry)
        return batch
