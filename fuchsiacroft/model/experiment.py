"""Plays a generated trace on a simulated deployment, with one fault per scenario."""

import asyncio
from dataclasses import dataclass

from fuchsiacroft.config.settings import Policies
from fuchsiacroft.model import virtual_time
from fuchsiacroft.model.outcomes import Outcomes
from fuchsiacroft.model.simulation import ReportConditions, Simulation, capacity_per_s
from fuchsiacroft.model.trace import Deployment, generate
from fuchsiacroft.model.trace_player import TracePlayer

WARM_UP_S = 3.0
FAULT_START_SHARE = 0.4
FAULT_END_SHARE = 0.8
STRAGGLER_SLOWDOWN = 8.0

BASELINE_POLICIES = {
    "order": "arrival",
    "limit": "fixed",
    "reserve": "none",
    "shed": "reject_newest",
    "straggler": "ignore",
}
SHORT_QUEUE_LIMIT = 24
POLICY_SETS = {
    "round_robin": Policies(route="round_robin", **BASELINE_POLICIES),
    "least_connections": Policies(route="least_connections", **BASELINE_POLICIES),
    "power_of_two": Policies(route="power_of_two", **BASELINE_POLICIES),
    "short_queue": Policies(
        route="least_connections", queue_limit=SHORT_QUEUE_LIMIT, **BASELINE_POLICIES
    ),
    "ours": Policies(),
}
SCENARIOS = (
    "calm",
    "straggler",
    "killed_entry",
    "killed_server",
    "cut_domain",
    "leaving",
)


@dataclass(frozen=True, slots=True)
class Trial:
    """The parameters of one simulation run.

    `load` is a multiple of the capacity. With `highest_rank`, less urgent arrivals
    are left out.
    """

    deployment: Deployment
    policies: Policies
    load: float
    scenario: str = "calm"
    seed: int = 1
    length_s: float = 60.0
    highest_rank: int | None = None
    conditions: ReportConditions = ReportConditions()


def run(trial: Trial) -> Outcomes:
    """Run a trial on an event loop with a virtual clock."""
    return virtual_time.run(_run(trial))


async def _run(trial: Trial) -> Outcomes:
    rate = trial.load * capacity_per_s(trial.deployment)
    arrivals = generate(trial.deployment, rate, trial.length_s, trial.seed)
    if trial.highest_rank is not None:
        arrivals = [a for a in arrivals if a.rank <= trial.highest_rank]
    simulation = Simulation(
        trial.deployment, trial.policies, trial.seed, trial.conditions
    )
    await simulation.start()
    await asyncio.sleep(WARM_UP_S)
    fault = asyncio.get_running_loop().create_task(_inject_fault(simulation, trial))
    player = TracePlayer(simulation)
    try:
        return await player.play(arrivals)
    finally:
        fault.cancel()
        await simulation.stop()


async def _inject_fault(simulation: Simulation, trial: Trial) -> None:
    await asyncio.sleep(trial.length_s * FAULT_START_SHARE)
    domain = trial.deployment.domains[0]
    engine = simulation.server_by_name[f"{domain}-engine-1"].server
    match trial.scenario:
        case "straggler":
            engine.slow_down(STRAGGLER_SLOWDOWN)
        case "killed_entry":
            simulation.kill_entry(simulation.entries[0])
        case "killed_server":
            engine.kill()
        case "cut_domain":
            simulation.isolate_domain(domain)
        case "leaving":
            engine.leaving_since = asyncio.get_running_loop().time()
    await asyncio.sleep(trial.length_s * (FAULT_END_SHARE - FAULT_START_SHARE))
    match trial.scenario:
        case "straggler":
            engine.slow_down(1.0)
        case "cut_domain":
            simulation.network.heal()
