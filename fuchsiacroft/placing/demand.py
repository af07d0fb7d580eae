"""Recent demand of each workspace, by which domains divide its quota."""

import math
from dataclasses import dataclass

DECAY_S = 1.5
"""Time constant of the decay; several report periods between domains."""
MIN_UNITS_PER_S = 1.0


@dataclass(slots=True)
class _Rate:
    units_per_s: float
    updated_at: float

    def decayed(self, at: float) -> float:
        """Return the rate after its decay until `at`."""
        return self.units_per_s * math.exp((self.updated_at - at) / DECAY_S)


class Demand:
    """Exponentially decaying rates of requested units, by workspace."""

    def __init__(self) -> None:
        self._rates: dict[str, _Rate] = {}

    def record(self, workspace: str, units: float, at: float) -> None:
        """Count units that a workspace requests, whether granted or not."""
        if units <= 0:
            return
        rate = self._rates.get(workspace)
        if rate is None:
            self._rates[workspace] = _Rate(units / DECAY_S, at)
            return
        rate.units_per_s = rate.decayed(at) + units / DECAY_S
        rate.updated_at = at

    def rates(self, at: float) -> dict[str, float]:
        """Return the units per second of each workspace with recent requests."""
        found = {name: rate.decayed(at) for name, rate in self._rates.items()}
        kept = {name: rate for name, rate in found.items() if rate > MIN_UNITS_PER_S}
        self._rates = {name: self._rates[name] for name in kept}
        return kept
