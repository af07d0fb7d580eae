"""Replays one trace under policy sets, loads and faults, and measures."""

import asyncio
from dataclasses import dataclass

from fuchsiacroft.config.settings import Policies
from fuchsiacroft.model import virtual_time
from fuchsiacroft.model.callers import Callers
from fuchsiacroft.model.outcomes import Outcomes
from fuchsiacroft.model.trace import Deployment, generate
from fuchsiacroft.model.world import Conditions, World, capacity_per_s

WARM_UP_S = 3.0
FAULT_SHARE = 0.4
FAULT_END_SHARE = 0.8
SLOWDOWN = 8.0

BASELINE = {
    "order": "arrival",
    "limit": "fixed",
    "reserve": "none",
    "shed": "reject_newest",
    "straggler": "ignore",
}
SHORT_QUEUE = 24
POLICY_SETS = {
    "round_robin": Policies(route="round_robin", **BASELINE),
    "least_connections": Policies(route="least_connections", **BASELINE),
    "power_of_two": Policies(route="power_of_two", **BASELINE),
    "short_queue": Policies(
        route="least_connections", queue_limit=SHORT_QUEUE, **BASELINE
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
    """One run of the model: what, under which load and fault, and the seed."""

    deployment: Deployment
    policies: Policies
    load: float
    scenario: str = "calm"
    seed: int = 1
    length_s: float = 60.0
    highest_rank: int | None = None
    conditions: Conditions = Conditions()


def run(trial: Trial) -> Outcomes:
    """Run a trial on a loop of its own, whose clock advances itself."""
    return virtual_time.run(_run(trial))


async def _run(trial: Trial) -> Outcomes:
    rate = trial.load * capacity_per_s(trial.deployment)
    arrivals = generate(trial.deployment, rate, trial.length_s, trial.seed)
    if trial.highest_rank is not None:
        arrivals = [a for a in arrivals if a.rank <= trial.highest_rank]
    world = World(trial.deployment, trial.policies, trial.seed, trial.conditions)
    await world.start()
    await asyncio.sleep(WARM_UP_S)
    fault = asyncio.get_running_loop().create_task(_inject(world, trial))
    callers = Callers(world)
    try:
        return await callers.play(arrivals)
    finally:
        fault.cancel()
        await world.stop()


async def _inject(world: World, trial: Trial) -> None:
    await asyncio.sleep(trial.length_s * FAULT_SHARE)
    domain = trial.deployment.domains[0]
    engine = world.by_name[f"{domain}-engine-1"].server
    match trial.scenario:
        case "straggler":
            engine.slow_down(SLOWDOWN)
        case "killed_entry":
            world.kill_entry(world.entries[0])
        case "killed_server":
            engine.kill()
        case "cut_domain":
            world.cut_domain(domain)
        case "leaving":
            engine.leaving_since = asyncio.get_running_loop().time()
    await asyncio.sleep(trial.length_s * (FAULT_END_SHARE - FAULT_SHARE))
    match trial.scenario:
        case "straggler":
            engine.slow_down(1.0)
        case "cut_domain":
            world.network.heal()
