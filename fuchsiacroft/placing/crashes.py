"""Quarantines requests that crash the backend servers that run them.

When a backend server crashes, the requests that it was running, and those whose
connections were lost shortly before, become suspects. Requests are identified by
their fingerprints, so that retries are recognized. A suspect of several crashes
is quarantined; one that completes is cleared, so that requests that merely ran
beside a crashing one are not refused.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from fuchsiacroft.utils.logs import event

QUARANTINE_AFTER = 3
"""Crashes of this many servers; two may be a coincidence while servers fail."""
LOST_CONNECTION_WINDOW_S = 4.0
"""Connections to a crashed server may be lost this long before it is detected."""
SUSPICION_TTL_S = 120.0
MAX_SUSPICIONS = 5_000


@dataclass(slots=True)
class Suspicion:
    """Server instances that crashed while running a fingerprint, with the last time."""

    crashed: set[str] = field(default_factory=set)
    at: float = 0.0


class CrashTracker:
    """Tracks which fingerprints were running when backend servers crashed."""

    def __init__(self) -> None:
        self._suspicions: OrderedDict[str, Suspicion] = OrderedDict()
        self._lost_connections: dict[str, list[tuple[str, float]]] = {}

    def record_lost_connection(
        self, instance_id: str, fingerprint: str, at: float
    ) -> None:
        """Record that the connection of a run on a server instance was lost."""
        if fingerprint:
            lost = self._lost_connections.setdefault(instance_id, [])
            lost.append((fingerprint, at))
            lost[:] = [
                item for item in lost if item[1] >= at - LOST_CONNECTION_WINDOW_S
            ]

    def record_crash(self, instance_id: str, running: Iterable[str], at: float) -> None:
        """Suspect a crashed instance's runs, also those that lost their connections."""
        lost = self._lost_connections.pop(instance_id, [])
        recent = {
            fingerprint
            for fingerprint, lost_at in lost
            if lost_at >= at - LOST_CONNECTION_WINDOW_S
        }
        suspects = recent.union(running) - {""}
        if suspects:
            event(
                "warning",
                "backend_server_died",
                death=instance_id,
                suspects=len(suspects),
            )
        for fingerprint in suspects:
            self._suspect(fingerprint, {instance_id}, at)

    def clear(self, fingerprint: str) -> None:
        """Clear a request that completed, and so did not crash its server."""
        self._suspicions.pop(fingerprint, None)

    def is_quarantined(self, fingerprint: str, at: float) -> bool:
        """Return whether requests with a fingerprint are to be refused."""
        found = self._suspicions.get(fingerprint)
        if found is None:
            return False
        if at - found.at > SUSPICION_TTL_S:
            del self._suspicions[fingerprint]
            return False
        return len(found.crashed) >= QUARANTINE_AFTER

    def suspects(self, at: float) -> dict[str, tuple[str, ...]]:
        """Return the suspected fingerprints with the instances that crashed."""
        return {
            fingerprint: tuple(sorted(found.crashed))
            for fingerprint, found in self._suspicions.items()
            if at - found.at <= SUSPICION_TTL_S
        }

    def merge(self, suspects: dict[str, tuple[str, ...]], at: float) -> None:
        """Merge suspects that other domains reported."""
        for fingerprint, crashed in suspects.items():
            known = self._suspicions.get(fingerprint)
            if known is None or not known.crashed.issuperset(crashed):
                self._suspect(fingerprint, set(crashed), at)

    def _suspect(self, fingerprint: str, crashed: set[str], at: float) -> None:
        found = self._suspicions.setdefault(fingerprint, Suspicion())
        found.crashed |= crashed
        found.at = at
        self._suspicions.move_to_end(fingerprint)
        if len(self._suspicions) > MAX_SUSPICIONS:
            self._suspicions.popitem(last=False)
