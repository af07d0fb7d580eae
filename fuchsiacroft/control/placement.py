"""Which engine should hold which model, from the document and the demand.

Each engine without a model gets one; a model above its target gives up a copy
for one below. The last copy of a model of the document is never given up.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Literal

from fuchsiacroft.config.document import ServiceSpec

DEMAND_HYSTERESIS = 1.5


@dataclass(frozen=True, slots=True)
class Engine:
    """A model engine in its present life, and what it holds.

    `name` is unique among all failure domains.
    """

    name: str
    boot_id: str
    address: str
    failure_domain: str
    models: frozenset[str]
    checks_fencing: bool = False
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Step:
    """One order to give."""

    engine: Engine
    action: Literal["load", "unload"]
    model: str


def target_copies(
    specs: Iterable[ServiceSpec], demand: Mapping[str, float], engines: int
) -> dict[str, int]:
    """Return how many copies each model should have.

    First each model gets one copy, then its `replicas`, in the document's
    order; what is left goes to the highest demand per copy.
    """
    least = {spec.name: max(1, spec.replicas) for spec in specs if _is_model(spec)}
    wanted = dict.fromkeys(least, 0)
    left = engines
    for copy in range(max(least.values(), default=0)):
        for name, copies in least.items():
            if left and copy < copies:
                wanted[name] += 1
                left -= 1
    while left and any(demand.get(name, 0) > 0 for name in least):
        name = max(least, key=lambda one: demand.get(one, 0) / (wanted[one] + 1))
        wanted[name] += 1
        left -= 1
    return wanted


class Placement:
    """Finds the next steps from what engines hold to the targets."""

    def __init__(
        self,
        specs: Collection[ServiceSpec],
        demand: Mapping[str, float],
        engines: Collection[Engine],
        busy: Collection[str] = (),
    ) -> None:
        self._min_copies = {spec.name: max(1, spec.replicas) for spec in specs}
        self._demand = demand
        self._usable = [engine for engine in engines if not engine.leaving]
        self._available = [engine for engine in self._usable if engine.name not in busy]
        self._targets = target_copies(specs, demand, len(self._usable))
        self._copies = Counter(name for one in self._usable for name in one.models)

    def steps(self, loading: Mapping[str, int], limit: int) -> list[Step]:
        """Return up to `limit` steps; `loading` counts copies on their way."""
        free = [engine for engine in self._available if not engine.models]
        steps: list[Step] = []
        for model in self._models_below_target(loading):
            if len(steps) >= limit:
                break
            step = self._next_step(model, free)
            if step is None:
                continue
            steps.append(step)
            if step.action == "load":
                free.remove(step.engine)
            else:
                self._copies[step.model] -= 1
                self._available.remove(step.engine)
        return steps

    def may_unload(self, model: str) -> bool:
        """Tell whether a copy may go without being the last one needed."""
        return self._copies[model] > (1 if model in self._targets else 0)

    def _models_below_target(self, loading: Mapping[str, int]) -> list[str]:
        """Return each model once for each missing copy, the neediest first."""
        missing = []
        for model, target in self._targets.items():
            have = self._copies[model] + loading.get(model, 0)
            for copy in range(have, target):
                missing.append((copy, -self._demand.get(model, 0.0), model))
        return [model for _, _, model in sorted(missing)]

    def _next_step(self, model: str, free: list[Engine]) -> Step | None:
        if free:
            return Step(
                min(free, key=lambda one: self._copies_in_domain(model, one)),
                "load",
                model,
            )
        donors = [
            Step(engine, "unload", given)
            for engine in self._available
            for given in engine.models
            if self._may_transfer(given, model)
        ]
        return min(donors, key=self._demand_per_copy, default=None)

    def _copies_in_domain(self, model: str, engine: Engine) -> tuple[int, str]:
        """Return how many copies the engine's failure domain has already."""
        there = sum(
            model in one.models
            for one in self._usable
            if one.failure_domain == engine.failure_domain
        )
        return there, engine.name

    def _may_transfer(self, donor: str, recipient: str) -> bool:
        if not self.may_unload(donor):
            return False
        if self._copies[donor] <= self._targets.get(donor, 0):
            return False
        if self._copies[recipient] < self._min_copies[recipient]:
            return True
        after = self._demand.get(donor, 0.0) / max(self._copies[donor] - 1, 1)
        now = self._demand.get(recipient, 0.0) / max(self._copies[recipient], 1)
        return now > DEMAND_HYSTERESIS * after

    def _demand_per_copy(self, step: Step) -> tuple[float, str]:
        pressure = self._demand.get(step.model, 0.0) / self._copies[step.model]
        return pressure, step.engine.name


def _is_model(spec: ServiceSpec) -> bool:
    return spec.kind == "model"
