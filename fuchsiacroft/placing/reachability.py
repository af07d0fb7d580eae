"""Reachable entries of the region, and this entry's share of common limits."""

from dataclasses import dataclass

from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.membership.roster import Roster

ENTRY_TTL_S = 30.0
"""How long an unreachable entry keeps its share of common limits."""


@dataclass(frozen=True, slots=True)
class LocalCounts:
    """How many of a list of entries are local, and how many local ones it lacks."""

    entries: tuple[EntryRecord, ...]
    reachable: int
    missing: int


class Reachability:
    """Tracks the entries of the region, including recently unreachable ones.

    Each decision on a quota asks for the counts, so they are taken once for each list
    of entries.
    """

    def __init__(self, roster: Roster, failure_domain: str) -> None:
        self._roster = roster
        self._domain = failure_domain
        self._known: dict[str, tuple[str, float]] = {}
        self._domains = 1
        self._counts: LocalCounts | None = None

    def refresh(self, at: float) -> None:
        """Record which entries are reachable now."""
        for entry in self._roster.entries():
            self._known[entry.node] = (entry.failure_domain, at)
        oldest = at - ENTRY_TTL_S
        self._known = {n: seen for n, seen in self._known.items() if seen[1] >= oldest}
        self._domains = max(len({domain for domain, _ in self._known.values()}), 1)
        self._counts = None

    def local_count(self) -> int:
        """Return the number of reachable entries of this failure domain."""
        return self._local().reachable

    def domain_count(self) -> int:
        """Return the number of known failure domains, at least 1."""
        return self._domains

    def is_alone(self) -> bool:
        """Return whether no other entry is known."""
        return len(self._known) <= 1

    def share(self) -> float:
        """Return one entry's share of limits divided among all known entries."""
        return 1 / max(len(self._known), 1)

    def missing_local(self) -> int:
        """Return how many entries of this domain recently became unreachable."""
        return self._local().missing

    def _local(self) -> LocalCounts:
        entries = self._roster.entries()
        if self._counts is None or self._counts.entries is not entries:
            local = {e.node for e in entries if e.failure_domain == self._domain}
            missing = sum(
                domain == self._domain and node not in local
                for node, (domain, _) in self._known.items()
            )
            self._counts = LocalCounts(entries, len(local), missing)
        return self._counts
