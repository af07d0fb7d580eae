"""Requests that crash each backend server that runs them.

When a backend server dies, the requests that it was running, or whose
connections were lost a moment before, are suspected of it. A request is known
by its fingerprint, so that it is known again when its caller sends it again.
One that was suspected of several deaths is held back; one that completes is
cleared, so that the neighbours of a bad request go free.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

DEATHS_TO_HOLD = 3
"""Of so many backend servers; two may be bad luck while servers fail."""
LOST_BEFORE_S = 4.0
"""How long before a death is noticed the connections to the server are lost."""
FORGET_S = 120.0
MAX_SUSPECTS = 5_000


@dataclass(slots=True)
class Suspicion:
    """The deaths that a fingerprint was there for, and when the last was."""

    deaths: set[str] = field(default_factory=set)
    at: float = 0.0


class CrashTracker:
    """Which fingerprints were running when backend servers died."""

    def __init__(self) -> None:
        self._suspicions: OrderedDict[str, Suspicion] = OrderedDict()
        self._lost: dict[str, list[tuple[str, float]]] = {}

    def record_lost_connection(
        self, instance_id: str, fingerprint: str, at: float
    ) -> None:
        """Note that a run's connection was lost, in one life of a server."""
        if fingerprint:
            lost = self._lost.setdefault(instance_id, [])
            lost.append((fingerprint, at))
            lost[:] = [item for item in lost if item[1] >= at - LOST_BEFORE_S]

    def record_crash(self, instance_id: str, running: Iterable[str], at: float) -> None:
        """Suspect all that a server was running, and lost, when it died."""
        lost = self._lost.pop(instance_id, [])
        recent = {name for name, lost_at in lost if lost_at >= at - LOST_BEFORE_S}
        for fingerprint in recent.union(running) - {""}:
            self._suspect(fingerprint, {instance_id}, at)

    def clear(self, fingerprint: str) -> None:
        """Note that a request completed: it did not crash its server."""
        self._suspicions.pop(fingerprint, None)

    def is_quarantined(self, fingerprint: str, at: float) -> bool:
        """Tell whether a request is held back."""
        found = self._suspicions.get(fingerprint)
        if found is None:
            return False
        if at - found.at > FORGET_S:
            del self._suspicions[fingerprint]
            return False
        return len(found.deaths) >= DEATHS_TO_HOLD

    def suspects(self, at: float) -> dict[str, tuple[str, ...]]:
        """Return what others need to know: fingerprints and their deaths."""
        return {
            name: tuple(sorted(found.deaths))
            for name, found in self._suspicions.items()
            if at - found.at <= FORGET_S
        }

    def merge(self, suspects: dict[str, tuple[str, ...]], at: float) -> None:
        """Take over deaths that others noted."""
        for fingerprint, deaths in suspects.items():
            known = self._suspicions.get(fingerprint)
            if known is None or not known.deaths.issuperset(deaths):
                self._suspect(fingerprint, set(deaths), at)

    def _suspect(self, fingerprint: str, deaths: set[str], at: float) -> None:
        found = self._suspicions.setdefault(fingerprint, Suspicion())
        found.deaths |= deaths
        found.at = at
        self._suspicions.move_to_end(fingerprint)
        if len(self._suspicions) > MAX_SUSPECTS:
            self._suspicions.popitem(last=False)
