"""Which entries keep the origin of a stream: a few, in some failure domains.

So a stream's origin outlives entries, and each failure domain that is cut off. In the
domain that serves the stream there is more than one, as one of them may stop or stand
still while the domain is cut off. It costs a few messages a stream, however many
entries there are.
"""

from collections.abc import Iterable, Sequence

from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.membership.rendezvous import choose_owner, choose_owners

DOMAINS_NOTIFIED = 4
"""Failure domains with an owner; that of the entry that serves the stream is one."""
OWN_DOMAIN_OWNERS = 2
"""Owners in the domain of the entry that serves the stream."""
MIN_OWNERS = 3
"""Owners of a stream, if there are that many entries."""
OWNERS_ASKED = 3
"""Entries asked in each domain; one that has just joined knows nothing yet."""


def owners_to_notify(
    key: str, entries: Iterable[EntryRecord], own_domain: str
) -> list[EntryRecord]:
    """Return the entries that are notified of what began the stream of a key."""
    by_domain = _by_domain(entry for entry in entries if not entry.leaving)
    own_entries = by_domain.pop(own_domain, [])
    others = choose_owners(key, sorted(by_domain), DOMAINS_NOTIFIED - 1)
    own_count = max(OWN_DOMAIN_OWNERS, MIN_OWNERS - len(others))
    remote = [choose_owner(key, by_domain[domain]) for domain in others]
    return _best(key, own_entries, own_count) + remote


def owners_to_query(
    key: str, entries: Iterable[EntryRecord]
) -> dict[str, list[EntryRecord]]:
    """Return by failure domain the entries that may know what began a stream."""
    return {
        domain: _best(key, members, OWNERS_ASKED)
        for domain, members in _by_domain(entries).items()
    }


def _best(key: str, members: Sequence[EntryRecord], count: int) -> list[EntryRecord]:
    by_node = {entry.node: entry for entry in members}
    return [by_node[node] for node in choose_owners(key, by_node, count)]


def _by_domain(entries: Iterable[EntryRecord]) -> dict[str, list[EntryRecord]]:
    by_domain: dict[str, list[EntryRecord]] = {}
    for entry in entries:
        by_domain.setdefault(entry.failure_domain, []).append(entry)
    return by_domain
