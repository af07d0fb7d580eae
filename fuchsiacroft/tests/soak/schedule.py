"""A random fault schedule from a seed; faults come in series and may overlap."""

import random
from collections.abc import Collection
from dataclasses import dataclass

FAULT_FREE_S = 3.0
"""Time without faults at the start and at the end of a run."""
GAP_RANGE_S = (0.1, 2.0)
DURATION_RANGE_S = (0.3, 3.0)
SERIES_LENGTH_RANGE = (1, 3)
"""How many faults of the same kind follow each other."""
KINDS = {
    "kill_entry": 3,
    "stop_entry": 4,
    "pause_entry": 3,
    "stop_coordinator_entry": 2,
    "kill_coordinator_entry": 2,
    "reload_entry": 1,
    "kill_control": 3,
    "pause_control": 2,
    "wipe_control": 1,
    "tear_control": 2,
    "kill_all_control": 1,
    "silence_entry": 2,
    "silence_control": 1,
    "silence_all": 1,
    "cut_entry": 2,
    "cut_control": 2,
    "crash_server": 3,
    "leave_server": 3,
    "pause_server": 3,
    "limit_server": 3,
    "taint_server": 2,
    "delay_link": 2,
    "reset_link": 2,
    "silence_link": 2,
    "configure": 4,
    "configure_often": 2,
    "refuse_configuration": 1,
}
"""Kinds of faults and of planned operations, with their weights."""
GARBLE_KIND = "garble_server"
"""Drawn apart from the others, so that the other faults of a seed stay the same."""
GARBLE_PERIOD_RANGE_S = (2.0, 8.0)
LOSE_POWER_KIND = "lose_power_all"
"""All processes at once, and the disk of one control member; drawn apart, too."""
LOSE_POWER_PERIOD_RANGE_S = (8.0, 15.0)
STARVE_KIND = "starve_entries"
"""All entries run only for a part of each tenth of a second; drawn apart, too."""
STARVE_PERIOD_RANGE_S = (1.0, 4.0)
PERIODS_S = {
    GARBLE_KIND: GARBLE_PERIOD_RANGE_S,
    LOSE_POWER_KIND: LOSE_POWER_PERIOD_RANGE_S,
    STARVE_KIND: STARVE_PERIOD_RANGE_S,
}
"""Range of the periods of the kinds that are drawn apart."""
ALL_KINDS = (*KINDS, GARBLE_KIND)
"""The kinds that a run has by default; the others are asked for by name."""
NAMED_KINDS = (*ALL_KINDS, LOSE_POWER_KIND, STARVE_KIND)
HARMLESS_KINDS = frozenset(
    {"configure", "configure_often", "refuse_configuration", "reload_entry"}
)
"""Planned operations that must not affect any caller."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that starts at `at_s` after the start of the run and lasts `duration_s`.

    `target_index` selects the target, modulo the number of targets.
    """

    at_s: float
    kind: str
    duration_s: float
    target_index: int


def generate(
    seed: int, length_s: float, allowed: Collection[str] = ALL_KINDS
) -> list[Fault]:
    """Return the faults of a run, of the allowed kinds, in chronological order."""
    faults = _generate_others(seed, length_s, allowed)
    for kind, period_range_s in PERIODS_S.items():
        if kind in allowed:
            faults += _generate_apart(seed, length_s, kind, period_range_s)
    return sorted(faults, key=lambda fault: fault.at_s)


def _generate_apart(
    seed: int, length_s: float, kind: str, period_range_s: tuple[float, float]
) -> list[Fault]:
    rng = random.Random(f"{kind} {seed}")
    faults, at_s = [], FAULT_FREE_S
    while at_s < length_s - FAULT_FREE_S - DURATION_RANGE_S[1]:
        duration_s = rng.uniform(*DURATION_RANGE_S)
        faults.append(Fault(at_s, kind, duration_s, rng.randrange(1_000)))
        at_s += rng.uniform(*period_range_s)
    return faults


def _generate_others(
    seed: int, length_s: float, allowed: Collection[str]
) -> list[Fault]:
    rng = random.Random(seed)
    weights = {kind: weight for kind, weight in KINDS.items() if kind in allowed}
    if not weights:
        return []
    kinds = rng.choices(list(weights), list(weights.values()), k=1_000)
    faults, at_s = [], FAULT_FREE_S
    for kind in kinds:
        for _ in range(rng.randint(*SERIES_LENGTH_RANGE)):
            at_s += rng.uniform(*GAP_RANGE_S)
            if at_s >= length_s - FAULT_FREE_S:
                return faults
            duration_s = rng.uniform(*DURATION_RANGE_S)
            faults.append(Fault(at_s, kind, duration_s, rng.randrange(1_000)))
    return faults
