"""Which software versions of each service served lately, as one entry saw it.

It does no I/O and takes the time as an argument.
"""

from collections.abc import Iterable

from fuchsiacroft.membership.registry_wire import ServerRecord, ServerState

KEPT_S = 600.0
"""No stream is taken up later than this after it began."""


class VersionHistory:
    """The versions that serve, and when the others were last seen."""

    def __init__(self, at: float) -> None:
        self._since = at
        self._current: dict[str, set[str]] = {}
        self._past: dict[tuple[str, str], float] = {}

    def update(self, records: Iterable[ServerRecord], at: float) -> None:
        """Record the servers that are known now."""
        before = self._current
        self._current = {}
        for record in records:
            if record.life is ServerState.LEFT:
                continue
            for offer in record.announcement.offers:
                self._current.setdefault(offer.service, set()).add(offer.version)
        for service, versions in before.items():
            for version in versions - self._current.get(service, set()):
                self._past[(service, version)] = at
        self._past = {k: seen for k, seen in self._past.items() if seen > at - KEPT_S}

    def dump(self) -> dict:
        """Return the versions that serve now, by service."""
        return {name: sorted(found) for name, found in self._current.items()}

    def restart(self, at: float) -> None:
        """Begin anew, as servers may have come and gone unseen until now."""
        self._since = at

    def versions(self, service: str, since: float) -> frozenset[str]:
        """Return the versions of a service that were seen since a time."""
        past = {
            version
            for (name, version), seen_at in self._past.items()
            if name == service and seen_at >= since
        }
        return frozenset(past | self._current.get(service, set()))

    def is_complete(self, since: float) -> bool:
        """Return whether every version that served since a time has been seen."""
        return self._since <= since
