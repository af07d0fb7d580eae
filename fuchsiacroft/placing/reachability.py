"""Reachable entries of the region, and this entry's share of common limits."""

from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.membership.roster import Roster

ENTRY_TTL_S = 30.0
"""How long an unreachable entry keeps its share of common limits."""


class Reachability:
    """Tracks the entries of the region, including recently unreachable ones."""

    def __init__(self, roster: Roster, failure_domain: str) -> None:
        self._roster = roster
        self._domain = failure_domain
        self._known: dict[str, tuple[str, float]] = {}

    def refresh(self, at: float) -> None:
        """Record which entries are reachable now."""
        for entry in self._roster.entries():
            self._known[entry.node] = (entry.failure_domain, at)
        oldest = at - ENTRY_TTL_S
        self._known = {n: seen for n, seen in self._known.items() if seen[1] >= oldest}

    def local_entries(self) -> list[EntryRecord]:
        """Return the reachable entries of this failure domain."""
        return [e for e in self._roster.entries() if e.failure_domain == self._domain]

    def domain_count(self) -> int:
        """Return the number of known failure domains, at least 1."""
        return max(len({domain for domain, _ in self._known.values()}), 1)

    def is_alone(self) -> bool:
        """Return whether no other entry is known."""
        return len(self._known) <= 1

    def share(self) -> float:
        """Return one entry's share of limits divided among all known entries."""
        return 1 / max(len(self._known), 1)

    def missing_local(self) -> int:
        """Return how many entries of this domain recently became unreachable."""
        reachable = {entry.node for entry in self.local_entries()}
        return sum(
            domain == self._domain and node not in reachable
            for node, (domain, _) in self._known.items()
        )
