"""Which entries keep the origin of a stream: one in each of a few failure domains.

So a stream's origin outlives each entry, and each failure domain that is cut off. It
costs a few messages a stream, however many entries there are.
"""

from collections.abc import Iterable, Sequence

from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.membership.rendezvous import choose_owner, choose_owners

DOMAINS_TOLD = 4
"""Failure domains with an owner; that of the entry that serves the stream is one."""
OWNERS_ASKED = 2
"""Entries asked in each domain; an entry that has just joined knows nothing yet."""


def owners_told(
    key: str, entries: Iterable[EntryRecord], own_domain: str
) -> list[EntryRecord]:
    """Return the entries that are told what began the stream of a key."""
    by_domain = _by_domain(entry for entry in entries if not entry.leaving)
    others = sorted(by_domain.keys() - {own_domain})
    ranked = choose_owners(key, others, DOMAINS_TOLD - 1)
    domains = [own_domain, *ranked] if own_domain in by_domain else ranked
    return [choose_owner(key, by_domain[domain]) for domain in domains]


def owners_asked(
    key: str, entries: Iterable[EntryRecord]
) -> dict[str, list[EntryRecord]]:
    """Return by failure domain the entries that may know what began a stream."""
    return {
        domain: _best(key, members) for domain, members in _by_domain(entries).items()
    }


def _best(key: str, members: Sequence[EntryRecord]) -> list[EntryRecord]:
    by_node = {entry.node: entry for entry in members}
    return [by_node[node] for node in choose_owners(key, by_node, OWNERS_ASKED)]


def _by_domain(entries: Iterable[EntryRecord]) -> dict[str, list[EntryRecord]]:
    by_domain: dict[str, list[EntryRecord]] = {}
    for entry in entries:
        by_domain.setdefault(entry.failure_domain, []).append(entry)
    return by_domain
