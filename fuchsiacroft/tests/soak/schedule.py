"""Which faults strike when, drawn from a seed; they come in series and overlap."""

import random
from dataclasses import dataclass

QUIET_S = 3.0
"""Before the first fault and after the last, of the time of a run."""
GAP_S = (0.1, 2.0)
DURATION_S = (0.3, 3.0)
SERIES = (1, 3)
"""How often a fault strikes in a row."""
KINDS = {
    "kill_entry": 3,
    "stop_entry": 4,
    "pause_entry": 3,
    "reload_entry": 1,
    "kill_control": 3,
    "pause_control": 2,
    "wipe_control": 1,
    "tear_control": 2,
    "kill_all_control": 1,
    "crash_server": 3,
    "leave_server": 3,
    "delay_link": 2,
    "reset_link": 2,
    "silence_link": 2,
    "configure": 4,
    "refuse_configuration": 1,
}
"""Kinds of faults and of planned work, with their weights."""
PLANNED = frozenset({"configure", "refuse_configuration", "reload_entry"})
"""What disturbs nobody and may not be noticed by any caller."""


@dataclass(frozen=True, slots=True)
class Fault:
    """Strikes at `at_s` after the start; what it ends comes back `duration_s` later.

    `target_index` chooses the target among those there are.
    """

    at_s: float
    kind: str
    duration_s: float
    target_index: int


def generate(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a run in the order of their times."""
    rng = random.Random(seed)
    kinds = rng.choices(list(KINDS), list(KINDS.values()), k=1_000)
    faults, at_s = [], QUIET_S
    for kind in kinds:
        for _ in range(rng.randint(*SERIES)):
            at_s += rng.uniform(*GAP_S)
            if at_s >= length_s - QUIET_S:
                return faults
            for_s = rng.uniform(*DURATION_S)
            faults.append(Fault(at_s, kind, for_s, rng.randrange(1_000)))
    return faults
