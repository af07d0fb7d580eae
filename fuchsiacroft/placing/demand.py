"""What each workspace has asked for lately, to share its quota by."""

import math
from dataclasses import dataclass

MEMORY_S = 1.5
"""How fast what was asked for fades: some exchanges between domains."""
LEAST_UNITS_PER_S = 1.0


@dataclass(slots=True)
class _Rate:
    units_per_s: float
    noted_at: float

    def at(self, at: float) -> float:
        """Return the rate as it has faded."""
        return self.units_per_s * math.exp((self.noted_at - at) / MEMORY_S)


class Demand:
    """Exponentially weighted rates of units, by workspace."""

    def __init__(self) -> None:
        self._rates: dict[str, _Rate] = {}

    def record(self, workspace: str, units: float, at: float) -> None:
        """Count units that a workspace asks for, granted or not."""
        if units <= 0:
            return
        rate = self._rates.get(workspace)
        if rate is None:
            self._rates[workspace] = _Rate(units / MEMORY_S, at)
            return
        rate.units_per_s = rate.at(at) + units / MEMORY_S
        rate.noted_at = at

    def rates(self, at: float) -> dict[str, float]:
        """Return the units a second of each workspace that asked lately."""
        found = {name: rate.at(at) for name, rate in self._rates.items()}
        kept = {name: rate for name, rate in found.items() if rate > LEAST_UNITS_PER_S}
        self._rates = {name: self._rates[name] for name in kept}
        return kept
