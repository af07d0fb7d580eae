"""Rendezvous hashing: maps each name to one entry, with few moves on changes."""

import heapq
from collections.abc import Iterable

import xxhash

from fuchsiacroft.membership.table import EntryInfo

Score = tuple[int, str]


def choose_owner(name: str, entries: Iterable[EntryInfo]) -> EntryInfo | None:
    """Return the entry with the highest score for a name."""
    return max(entries, key=lambda entry: _score(name, entry.node), default=None)


def choose_owners(name: str, nodes: Iterable[str], count: int) -> list[str]:
    """Return the nodes with the `count` highest scores for a name, the best first."""
    return heapq.nlargest(count, nodes, key=lambda node: _score(name, node))


class OwnerIndex:
    """An index of the owners of many names, updated as entries join and leave.

    A joining entry costs one hash for each name; a leaving entry costs one hash
    for each name it owned and each remaining entry.
    """

    def __init__(self) -> None:
        self._entries: dict[str, EntryInfo] = {}
        self._owners: dict[str, Score | None] = {}

    def __len__(self) -> int:
        """Return the number of indexed names."""
        return len(self._owners)

    def add(self, name: str) -> None:
        """Add a name to the index."""
        if name not in self._owners:
            self._owners[name] = self._highest_score(name)

    def discard(self, name: str) -> None:
        """Remove a name from the index."""
        self._owners.pop(name, None)

    def owner_of(self, name: str) -> EntryInfo | None:
        """Return the owner of a name, whether or not it is indexed."""
        best = self._owners[name] if name in self._owners else self._highest_score(name)
        return self._entries[best[1]] if best is not None else None

    def owned_by(self, node: str) -> set[str]:
        """Return the indexed names that an entry owns."""
        return {name for name, best in self._owners.items() if best and best[1] == node}

    def set_entries(self, entries: Iterable[EntryInfo]) -> None:
        """Replace the set of entries and update the owners."""
        before = self._entries
        self._entries = {entry.node: entry for entry in entries}
        added = self._entries.keys() - before.keys()
        for name, best in self._owners.items():
            if best is not None and best[1] not in self._entries:
                self._owners[name] = self._highest_score(name)
                continue
            scores = [_score(name, node) for node in added]
            if best is not None:
                scores.append(best)
            self._owners[name] = max(scores, default=None)

    def _highest_score(self, name: str) -> Score | None:
        return max((_score(name, node) for node in self._entries), default=None)


def _score(name: str, node: str) -> Score:
    return xxhash.xxh64_intdigest(f"{node}\0{name}".encode()), node
