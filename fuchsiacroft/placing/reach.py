"""Which entries are in reach, and what part of shared limits falls to this one."""

from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.membership.roster import Roster

KNOWN_ENTRIES_S = 30.0
"""How long an entry that is out of reach keeps its part of shared limits."""


class Reach:
    """Remembers the entries of the region for some time after they are gone."""

    def __init__(self, roster: Roster, failure_domain: str) -> None:
        self._roster = roster
        self._domain = failure_domain
        self._known: dict[str, tuple[str, float]] = {}

    def refresh(self, at: float) -> None:
        """Look who is in reach now."""
        for entry in self._roster.entries():
            self._known[entry.node] = (entry.failure_domain, at)
        oldest = at - KNOWN_ENTRIES_S
        self._known = {n: seen for n, seen in self._known.items() if seen[1] >= oldest}

    def near(self) -> list[EntryRecord]:
        """Return the entries of this failure domain in reach."""
        return [e for e in self._roster.entries() if e.failure_domain == self._domain]

    def domains(self) -> int:
        """Return how many failure domains are known."""
        return max(len({domain for domain, _ in self._known.values()}), 1)

    def is_single(self) -> bool:
        """Tell whether no other entry is known."""
        return len(self._known) <= 1

    def part(self) -> float:
        """Return one entry's part of limits that all known entries share."""
        return 1 / max(len(self._known), 1)

    def missing(self) -> int:
        """Return how many entries of the domain are out of reach since lately."""
        near = {entry.node for entry in self.near()}
        return sum(
            domain == self._domain and node not in near
            for node, (domain, _) in self._known.items()
        )
