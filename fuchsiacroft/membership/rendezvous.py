"""Rendezvous hashing: one owner for a name, moved only when entries change."""

from collections.abc import Iterable

import xxhash

from fuchsiacroft.membership.table import EntryInfo


def choose(name: str, entries: Iterable[EntryInfo]) -> EntryInfo | None:
    """Return the entry with the highest score for a name."""
    return max(entries, key=lambda entry: _score(name, entry), default=None)


def _score(name: str, entry: EntryInfo) -> tuple[int, str]:
    data = f"{entry.node}\0{name}".encode()
    return xxhash.xxh64_intdigest(data), entry.node
