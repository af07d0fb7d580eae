"""One run: a cluster, a trace replayed against it, faults, and the checks."""

import asyncio
import random
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import msgspec

from fuchsiacroft.model import trace
from fuchsiacroft.model.trace import LENTES, Arrival
from fuchsiacroft.replay import expectations, report
from fuchsiacroft.replay.expectations import Expectations, RunLog
from fuchsiacroft.replay.outcome import End, Outcome
from fuchsiacroft.replay.player import EntryAddress, Player
from fuchsiacroft.tests.fakes import cluster
from fuchsiacroft.tests.faults.actions import ACTIONS, FaultContext

TIERS = {0: "counter", 1: "desk", 2: "batch"}
KEYS = {name: f"key-{i}" for i, (name, _, _) in enumerate(LENTES.workspaces)}
RESEND_SHARE = 0.5
RESEND_AFTER_S = (0.05, 4.0)
SETTLE_S = 8.0
CRASHING_AT_S = 1.5
CRASHING_PERIOD_S = 2.0
MAX_CRASHES = 2
KILL_ENTRY = "kill_entry"
KILL_WINDOW_S = 1.0
"""A killed entry's connections end within this time after its fault began."""


@dataclass(frozen=True)
class Plan:
    """What to run: the load, the faults with their times, and the seed.

    `faults` are names of actions; each starts `gap_s` after the previous one, and
    all end `recover_after_s` after the last. A request that crashes its backend
    server is sent `crashing` times.
    """

    seed: int
    faults: Sequence[str] = ()
    crashing: int = 0
    model_requests_per_s: float = 12.0
    length_s: float = 14.0
    first_fault_s: float = 3.0
    gap_s: float = 1.0
    recover_after_s: float = 4.0


@dataclass(frozen=True)
class Verdict:
    """The violations as sentences, the lines of the report, and the outcomes."""

    violations: list[str]
    lines: list[str]
    outcomes: list[Outcome]


def run(plan: Plan, expected: Expectations) -> Verdict:
    """Run a plan on real processes and check the outcomes."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_run(plan, expected, Path(folder)))


def arrivals(plan: Plan) -> list[Arrival]:
    """Return the plan's trace, with resends of non-idempotent requests."""
    rng = random.Random(plan.seed)
    generated = trace.generate(
        LENTES, plan.model_requests_per_s, plan.length_s, plan.seed
    )
    resent = [
        trace.resend(arrival, rng.uniform(*RESEND_AFTER_S))
        for arrival in generated
        if not arrival.idempotent and rng.random() < RESEND_SHARE
    ]
    generated += resent + _crashing_arrivals(plan, generated)
    return sorted(generated, key=lambda arrival: arrival.at_s)


def _crashing_arrivals(plan: Plan, generated: list[Arrival]) -> list[Arrival]:
    """Return repeated arrivals of one request that crashes its backend server."""
    first = next(arrival for arrival in generated if arrival.is_model)
    return [
        msgspec.structs.replace(
            first,
            at_s=CRASHING_AT_S + CRASHING_PERIOD_S * i,
            request_id=f"crashing-{i}",
            resend_of="crashing",
            crashes=True,
        )
        for i in range(plan.crashing)
    ]


async def _run(plan: Plan, expected: Expectations, folder: Path) -> Verdict:
    topology = cluster.Topology(relayed=True, engine_flags=("--can_crash",))
    running = cluster.create(folder, topology)
    await running.start_relays()
    running.start()
    try:
        async with aiohttp.ClientSession() as session:
            context = FaultContext(running, session, random.Random(plan.seed))
            await _prepare(context)
            entry_addresses = [
                EntryAddress(node.addresses["callers"], node.domain)
                for node in running.named("entry")
            ]
            player = Player(entry_addresses, KEYS, TIERS, plan.seed)
            faults = asyncio.create_task(_inject_faults(context, plan))
            restarting = None
            if plan.crashing:
                restarting = asyncio.create_task(_restart_crashed(running))
            outcomes = await player.play(arrivals(plan))
            await faults
            if restarting is not None:
                restarting.cancel()
            recovery = await _recovery_violations(context)
    finally:
        running.stop()
        await running.stop_relays()
    log = _run_log(folder)
    judged = [o for o in outcomes if not _ended_with_a_killed_entry(o, plan)]
    violations = expectations.violations(expected, judged, log) + recovery
    crashes = sum(log.by_trace[f"crashing-{i}"] for i in range(plan.crashing))
    if crashes > MAX_CRASHES:
        violations.append(
            f"one request crashed {crashes} backend servers, more than {MAX_CRASHES}"
        )
    return Verdict(violations, report.lines(outcomes, log), outcomes)


def _ended_with_a_killed_entry(outcome: Outcome, plan: Plan) -> bool:
    """Return whether a connection ended when an entry was killed, without an answer."""
    kills_at = [
        plan.first_fault_s + i * plan.gap_s
        for i, fault in enumerate(plan.faults)
        if fault == KILL_ENTRY
    ]
    return outcome.end is End.DISCONNECTED and any(
        0.0 <= outcome.ended_at - at <= KILL_WINDOW_S for at in kills_at
    )


async def _prepare(context: FaultContext) -> None:
    running, session = context.cluster, context.session
    await running.wait_healthy(session)
    status, body = await running.put_document(
        session, cluster.sample_document(), 0, "first"
    )
    if status != 200:
        raise AssertionError(body)
    await running.wait_in_force(session, 1)
    await running.wait_ready(session)
    await running.wait_owned(session)


async def _restart_crashed(running: cluster.Cluster) -> None:
    """Restart engines that have exited."""
    while True:
        await asyncio.sleep(0.5)
        for node in running.named("engine"):
            if running.running[node.name].poll() is not None:
                running.start(node.name)


async def _inject_faults(context: FaultContext, plan: Plan) -> None:
    await asyncio.sleep(plan.first_fault_s)
    recoveries = []
    for name in plan.faults:
        recoveries.append(await ACTIONS[name](context))
        await asyncio.sleep(plan.gap_s)
    await asyncio.sleep(plan.recover_after_s)
    for recover in recoveries:
        await recover()


async def _recovery_violations(context: FaultContext) -> list[str]:
    """Return a violation if the cluster does not recover after the faults."""
    try:
        async with asyncio.timeout(SETTLE_S + cluster.READY_TIMEOUT_S):
            await context.cluster.wait_ready(context.session)
            newest = await context.cluster.newest_version(context.session)
            await context.cluster.wait_in_force(context.session, newest)
    except (TimeoutError, RuntimeError) as exc:
        return [f"the cluster did not recover after the faults: {exc!r}"]
    return []


def _run_log(folder: Path) -> RunLog:
    logs = [*folder.glob("engine-*.log"), *folder.glob("app-*.log")]
    return expectations.read_run_log(logs)
