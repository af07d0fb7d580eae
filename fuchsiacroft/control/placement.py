"""Placement of models on engines, based on the document and the demand.

Models below their target number of copies are loaded on engines without a
model. If there are none left, a copy of a model above its target is unloaded
to make room. The last copy of a model that is in the document is never
unloaded.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Literal

from fuchsiacroft.config.document import ServiceSpec

DEMAND_HYSTERESIS = 1.5


@dataclass(frozen=True, slots=True)
class Engine:
    """A running model engine and the models that it has loaded.

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
    """One order to issue."""

    engine: Engine
    action: Literal["load", "unload"]
    model: str


def target_copies(
    specs: Iterable[ServiceSpec], demand: Mapping[str, float], engines: int
) -> dict[str, int]:
    """Return the target number of copies of each model.

    Each model first gets one copy and then its `replicas`, in document order. The
    remaining engines go to the models with the highest demand per copy.
    """
    min_copies = {spec.name: max(1, spec.replicas) for spec in specs if _is_model(spec)}
    targets = dict.fromkeys(min_copies, 0)
    remaining = engines
    for copy in range(max(min_copies.values(), default=0)):
        for name, copies in min_copies.items():
            if remaining and copy < copies:
                targets[name] += 1
                remaining -= 1
    while remaining and any(demand.get(name, 0) > 0 for name in min_copies):
        name = max(min_copies, key=lambda m: demand.get(m, 0) / (targets[m] + 1))
        targets[name] += 1
        remaining -= 1
    return targets


class Placement:
    """Computes the next steps from the loaded models toward the targets."""

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
        self._copies = Counter(
            name for engine in self._usable for name in engine.models
        )

    def steps(self, loading: Mapping[str, int], limit: int) -> list[Step]:
        """Return up to `limit` steps; `loading` counts copies being loaded."""
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
        """Return whether a copy may be unloaded, as it is not the last one needed."""
        return self._copies[model] > (1 if model in self._targets else 0)

    def _models_below_target(self, loading: Mapping[str, int]) -> list[str]:
        """Return each model once per missing copy, by fewest copies, then demand."""
        missing = []
        for model, target in self._targets.items():
            current = self._copies[model] + loading.get(model, 0)
            for copy in range(current, target):
                missing.append((copy, -self._demand.get(model, 0.0), model))
        return [model for _, _, model in sorted(missing)]

    def _next_step(self, model: str, free: list[Engine]) -> Step | None:
        if free:
            return Step(
                min(free, key=lambda engine: self._copies_in_domain(model, engine)),
                "load",
                model,
            )
        donors = [
            Step(engine, "unload", donor)
            for engine in self._available
            for donor in engine.models
            if self._may_transfer(donor, model)
        ]
        return min(donors, key=self._demand_per_copy, default=None)

    def _copies_in_domain(self, model: str, engine: Engine) -> tuple[int, str]:
        """Return the model's copies in the engine's failure domain, as a sort key."""
        copies = sum(
            model in other.models
            for other in self._usable
            if other.failure_domain == engine.failure_domain
        )
        return copies, engine.name

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
        demand = self._demand.get(step.model, 0.0) / self._copies[step.model]
        return demand, step.engine.name


def _is_model(spec: ServiceSpec) -> bool:
    return spec.kind == "model"
