"""Which entry coordinates a failure domain."""

from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.membership.roster import Roster


class DomainCoordinators:
    """The coordinators of all failure domains, among the entries of a roster.

    They are looked up with each request and report, so they are chosen once for each
    list of entries.
    """

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._entries: tuple[EntryRecord, ...] = ()
        self._found: dict[str, EntryRecord | None] = {}

    def of(self, failure_domain: str) -> EntryRecord | None:
        """Return the coordinator of a failure domain, None without entries."""
        entries = self._roster.entries()
        if entries is not self._entries:
            self._entries = entries
            self._found.clear()
        if failure_domain not in self._found:
            self._found[failure_domain] = coordinator_of(entries, failure_domain)
        return self._found[failure_domain]


def coordinator_of(
    entries: tuple[EntryRecord, ...], failure_domain: str
) -> EntryRecord | None:
    """Return the entry that is the coordinator of a domain.

    It is the oldest entry that is not draining, or the oldest if all are.
    """
    local = [entry for entry in entries if entry.failure_domain == failure_domain]
    return min(local, key=lambda e: (e.leaving, e.started_ms, e.node), default=None)
