"""Which failure domains' backend servers a coordinator places requests on.

It answers the loss of all entries of a failure domain whose backend servers still
run: after a while another domain's coordinator uses them, until an entry is back.
All coordinators choose the same domain for that, from what they know of the entries.
"""

from collections.abc import Iterable

import xxhash

ADOPTION_DELAY_S = 1.0
"""Longer than the entries of a region that has just started need to find each other."""


class ServedDomains:
    """The domain of this coordinator, and those without entries that it has adopted."""

    def __init__(self, own: str) -> None:
        self._own = own
        self._without_entries_since: dict[str, float] = {}
        self.adopted: frozenset[str] = frozenset()

    def update(
        self, server_domains: Iterable[str], entry_domains: Iterable[str], at: float
    ) -> bool:
        """Update the adopted domains; return whether they have changed."""
        present = set(entry_domains) | {self._own}
        missing = set(server_domains) - present
        since = self._without_entries_since
        self._without_entries_since = {name: since.get(name, at) for name in missing}
        adopted = frozenset(
            name
            for name, missing_since in self._without_entries_since.items()
            if at - missing_since >= ADOPTION_DELAY_S
            and _adopter(name, present) == self._own
        )
        has_changed = adopted != self.adopted
        self.adopted = adopted
        return has_changed

    def serves(self, domain: str) -> bool:
        """Return whether requests are placed on a domain's backend servers."""
        return domain == self._own or domain in self.adopted


def _adopter(domain: str, present: set[str]) -> str:
    """Return the domain that adopts another one (rendezvous hashing)."""

    def score(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{domain} {name}".encode()), name

    return max(present, key=score)
