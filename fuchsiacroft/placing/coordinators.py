"""Which entry coordinates a failure domain."""

from fuchsiacroft.membership.registry_wire import EntryRecord


def coordinator_of(
    entries: tuple[EntryRecord, ...], failure_domain: str
) -> EntryRecord | None:
    """Return the entry that is the coordinator of a domain.

    It is the oldest entry that is not draining, or the oldest if all are.
    """
    local = [entry for entry in entries if entry.failure_domain == failure_domain]
    return min(local, key=lambda e: (e.leaving, e.started_ms, e.node), default=None)
