"""Quarantine of requests that crash backend servers.

When a backend server crashes, every fingerprint that it was running becomes a
suspect of that crash, which has an id. A fingerprint with two crashes is
quarantined if it is the only such one in the latest crash. If there are several,
each runs in isolation until it completes (cleared) or causes another crash
(quarantined). Entries share their crashes, so the counts agree whichever entry a
retry comes through.
"""

import enum
from dataclasses import dataclass, field

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.routing.messages import Cleared, Quarantined, Suspected
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event

RETENTION_S = 600.0
CRASHES_TO_ISOLATE = 2
MAX_FINGERPRINTS = 20_000


class Treatment(enum.Enum):
    """How a request with a given fingerprint may run."""

    UNRESTRICTED = "free"
    ISOLATED = "alone"
    REFUSED = "refused"


@dataclass(slots=True)
class Suspicion:
    """The crashes that a fingerprint is suspected of, and the last one's time."""

    crashes: set[str] = field(default_factory=set)
    quarantined: bool = False
    updated_at: float = 0.0


class Quarantine(Service):
    """Tracks suspected fingerprints, and shares them with the other entries."""

    name = "quarantine"

    def __init__(self, settings: Settings) -> None:
        self._peers = [
            member.peers for member in settings.entries if member.node != settings.node
        ]
        self._suspicions: dict[str, Suspicion] = {}

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to the suspicions of other entries."""
        self._bus = kernel.get("bus", Bus)
        self._bus.register_handler(Suspected, self._on_suspected)
        self._bus.register_handler(Cleared, self._on_cleared)
        self._bus.register_handler(Quarantined, self._on_quarantined)

    def dump(self) -> dict:
        """Return the suspected and quarantined fingerprints."""
        return {
            fingerprint: {
                "deaths": sorted(suspicion.crashes),
                "quarantined": suspicion.quarantined,
                "noted_s_ago": round(now() - suspicion.updated_at, 1),
            }
            for fingerprint, suspicion in self._suspicions.items()
        }

    def treatment(self, fingerprint: str) -> Treatment:
        """Return how a request with this fingerprint may run."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return Treatment.UNRESTRICTED
        if suspicion.updated_at < now() - RETENTION_S:
            del self._suspicions[fingerprint]
            return Treatment.UNRESTRICTED
        if suspicion.quarantined:
            return Treatment.REFUSED
        isolated = len(suspicion.crashes) >= CRASHES_TO_ISOLATE
        return Treatment.ISOLATED if isolated else Treatment.UNRESTRICTED

    def record_crash(self, crash_id: str, fingerprints: set[str]) -> None:
        """Suspect the fingerprints that a backend server was running in a crash."""
        suspects = tuple(sorted(item for item in fingerprints if item))
        if not suspects:
            return
        event("warning", "backend_server_died", death=crash_id, suspects=len(suspects))
        self._suspect(crash_id, suspects)
        self._send(Suspected(crash_id, suspects))
        isolated = [item for item in suspects if self._is_isolated(item)]
        if len(isolated) == 1:
            self._quarantine(isolated[0])

    def clear(self, fingerprint: str) -> None:
        """Clear a fingerprint whose request has completed."""
        if self._suspicions.pop(fingerprint, None) is not None:
            self._send(Cleared(fingerprint))

    def lift(self, fingerprint: str) -> bool:
        """Clear a fingerprint for an operator; return whether it was suspected."""
        was_suspected = self._suspicions.pop(fingerprint, None) is not None
        if was_suspected:
            event("info", "quarantine_lifted", fingerprint=fingerprint)
            self._send(Quarantined(fingerprint, lifted=True))
        return was_suspected

    def _is_isolated(self, fingerprint: str) -> bool:
        return self.treatment(fingerprint) is not Treatment.UNRESTRICTED

    def _quarantine(self, fingerprint: str) -> None:
        self._suspicion(fingerprint).quarantined = True
        event("warning", "quarantined", fingerprint=fingerprint)
        self._send(Quarantined(fingerprint))

    def _suspect(self, crash_id: str, fingerprints: tuple[str, ...]) -> None:
        for fingerprint in fingerprints:
            suspicion = self._suspicion(fingerprint)
            suspicion.crashes.add(crash_id)
            suspicion.updated_at = now()

    def _suspicion(self, fingerprint: str) -> Suspicion:
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            if len(self._suspicions) >= MAX_FINGERPRINTS:
                self._suspicions.pop(next(iter(self._suspicions)))
            suspicion = Suspicion(updated_at=now())
            self._suspicions[fingerprint] = suspicion
        return suspicion

    def _send(self, msg) -> None:
        for peer in self._peers:
            self._bus.send(peer, msg)

    async def _on_suspected(self, sender: str, msg: Suspected) -> None:
        self._suspect(msg.death, msg.fingerprints)

    async def _on_cleared(self, sender: str, msg: Cleared) -> None:
        self._suspicions.pop(msg.fingerprint, None)

    async def _on_quarantined(self, sender: str, msg: Quarantined) -> None:
        if msg.lifted:
            self._suspicions.pop(msg.fingerprint, None)
        else:
            self._suspicion(msg.fingerprint).quarantined = True


def create(settings: Settings) -> Quarantine:
    """Create the quarantine of an entry."""
    return Quarantine(settings)
