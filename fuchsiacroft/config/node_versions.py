"""The document version that each process last reported."""

from dataclasses import dataclass

from fuchsiacroft.utils.clock import now

TTL_S = 15.0


@dataclass(frozen=True, slots=True)
class ReportedVersion:
    """A version that a process reported, and the time of the report."""

    version: int
    reported_at: float


class NodeVersions:
    """Versions by node name; a report expires after `TTL_S`."""

    def __init__(self) -> None:
        self._reported: dict[str, ReportedVersion] = {}

    def record(self, versions: dict[str, int]) -> None:
        """Record reported versions, unless a newer unexpired one is known."""
        for node, version in versions.items():
            known = self._reported.get(node)
            if known is None or version >= known.version or self._is_expired(known):
                self._reported[node] = ReportedVersion(version, now())

    def versions(self) -> dict[str, int]:
        """Return the unexpired versions."""
        for node, reported in list(self._reported.items()):
            if self._is_expired(reported):
                del self._reported[node]
        return {node: reported.version for node, reported in self._reported.items()}

    @staticmethod
    def _is_expired(reported: ReportedVersion) -> bool:
        return reported.reported_at < now() - TTL_S
