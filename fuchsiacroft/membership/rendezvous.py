"""Rendezvous hashing: one owner for a name, moved only when entries change."""

from collections.abc import Iterable

import xxhash

from fuchsiacroft.membership.table import EntryInfo

Score = tuple[int, str]


def choose(name: str, entries: Iterable[EntryInfo]) -> EntryInfo | None:
    """Return the entry with the highest score for a name."""
    return max(entries, key=lambda entry: _score(name, entry.node), default=None)


class OwnerIndex:
    """The owners of many names, kept up to date as entries come and go.

    An entry that comes costs one hash for each name, one that goes costs one
    hash for each name it owned and each entry left.
    """

    def __init__(self) -> None:
        self._entries: dict[str, EntryInfo] = {}
        self._owners: dict[str, Score | None] = {}

    def __len__(self) -> int:
        """Return how many names are kept."""
        return len(self._owners)

    def add(self, name: str) -> None:
        """Keep the owner of a name."""
        if name not in self._owners:
            self._owners[name] = self._best(name)

    def discard(self, name: str) -> None:
        """Forget a name."""
        self._owners.pop(name, None)

    def owner_of(self, name: str) -> EntryInfo | None:
        """Return the owner of a name, kept or not."""
        best = self._owners[name] if name in self._owners else self._best(name)
        return self._entries[best[1]] if best is not None else None

    def owned_by(self, node: str) -> set[str]:
        """Return the kept names that an entry owns."""
        return {name for name, best in self._owners.items() if best and best[1] == node}

    def replace(self, entries: Iterable[EntryInfo]) -> None:
        """Put another set of entries in force."""
        before = self._entries
        self._entries = {entry.node: entry for entry in entries}
        come = self._entries.keys() - before.keys()
        for name, best in self._owners.items():
            if best is not None and best[1] not in self._entries:
                self._owners[name] = self._best(name)
                continue
            scores = [_score(name, node) for node in come]
            if best is not None:
                scores.append(best)
            self._owners[name] = max(scores, default=None)

    def _best(self, name: str) -> Score | None:
        return max((_score(name, node) for node in self._entries), default=None)


def _score(name: str, node: str) -> Score:
    return xxhash.xxh64_intdigest(f"{node}\0{name}".encode()), node
