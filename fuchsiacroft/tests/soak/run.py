"""One run of the soak: processes, load, faults, and the check of the invariants."""

import asyncio
import contextlib
import itertools
import os
import random
import signal
import tempfile
from dataclasses import dataclass, replace
from pathlib import Path

from fuchsiacroft.tests.fakes.platform_wire import CONTROL_PORT
from fuchsiacroft.tests.fakes.ports import subnet
from fuchsiacroft.tests.fakes.process_links import ProcessLinks
from fuchsiacroft.tests.fakes.proxy import Proxy
from fuchsiacroft.tests.soak import invariants, schedule
from fuchsiacroft.tests.soak.callers import Balancer, Caller
from fuchsiacroft.tests.soak.fleet import Program
from fuchsiacroft.tests.soak.metered_caller import MeteredCaller
from fuchsiacroft.tests.soak.observations import FaultSpan, LimitSpan, Observations
from fuchsiacroft.tests.soak.operator import Operator
from fuchsiacroft.tests.soak.route_prober import RouteProber
from fuchsiacroft.tests.soak.schedule import HARMLESS_KINDS, Fault
from fuchsiacroft.tests.soak.servers import SoakServer

ZONES = ("mvd-cordon", "mvd-pocitos")
CALLERS = 16
START_TIMEOUT_S = 30.0
RECOVERY_S = 8.0
"""Time after the last fault until requests must be served as before."""
AFTER_RECOVERY_S = 3.0
"""How long the load continues after `RECOVERY_S`."""
MEMBER_RECOVERY_S = 10.0
"""Time after its start until a control member that lost its data returns a version."""
RECOVERY_CHECK_S = 0.1
DELAY_S = 0.15
CONFIGURE_PERIOD_S = 0.3
STARVED_SHARE = 1 / 3
STARVED_PERIOD_S = 0.1
TAINT_DURATIONS = 4.0
"""A prompt part stays deadly for this many durations of its fault."""
LIMIT_DURATIONS = 4.0
"""A server names a limit for this many durations of its fault."""
LIMIT_CHECK_S = 0.05
LIMITS_PER_S = (0.3, 1.5, 5.0)
PART_CRASH = Fault(at_s=0.0, kind="crash_server", duration_s=1.0, target_index=0)
_nets = itertools.count(os.getpid() % 50)


@dataclass(frozen=True, slots=True)
class Plan:
    """What to run, with which kinds of faults; `folder`, if set, keeps the logs."""

    seed: int
    length_s: float = 20.0
    entries: int = 4
    servers: int = 6
    folder: str | None = None
    kinds: tuple[str, ...] = tuple(schedule.ALL_KINDS)


@dataclass(frozen=True, slots=True)
class Result:
    """The violations, the injected faults, and counts of requests and runs."""

    violations: list[str]
    faults: list[Fault]
    attempts: int
    served: int
    runs: int


def run_soak(plan: Plan) -> Result:
    """Run a plan and check the invariants."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_run_plan(plan, Path(plan.folder or folder)))


async def _run_plan(plan: Plan, folder: Path) -> Result:
    folder.mkdir(parents=True, exist_ok=True)
    observations = Observations()
    region = Region(plan, folder, observations)
    faults = schedule.generate(plan.seed, plan.length_s, plan.kinds)
    try:
        await region.start()
        await region.inject_faults(faults)
    finally:
        await region.stop()
    served = sum(attempt.status == 200 for attempt in observations.attempts)
    violations = invariants.violations(observations)
    return Result(
        violations, faults, len(observations.attempts), served, len(observations.runs)
    )


class Region:
    """The processes, backend servers, callers and the operator of a run."""

    def __init__(self, plan: Plan, folder: Path, observations: Observations) -> None:
        net = f"127.{next(_nets) + 150}"
        self._seed = plan.seed
        self._rng = random.Random(plan.seed)
        self._observations = observations
        self._now = asyncio.get_running_loop().time
        self._controls = [
            Program(
                "control", f"{subnet(net, 1)}.{n}", ZONES[n % 2], folder, observations
            )
            for n in (1, 2, 3)
        ]
        self._entries = [
            Program(
                "entry", f"{subnet(net, 2)}.{n}", ZONES[n % 2], folder, observations
            )
            for n in range(1, plan.entries + 1)
        ]
        self._links = ProcessLinks(
            net,
            [control.ip for control in self._controls],
            [entry.ip for entry in self._entries],
            self._rng,
        )
        self._servers = [self._server(net, n) for n in range(1, plan.servers + 1)]
        self._net = net
        self._operator = Operator(self._controls, observations)
        self._tasks: list[asyncio.Task] = []

    def _server(self, net: str, number: int) -> SoakServer:
        proxy = Proxy(
            f"{subnet(net, 4)}.{number}:80", f"{subnet(net, 3)}.{number}:80", self._rng
        )
        service = ("till", "lens")[number % 2]
        zone = ZONES[number // 2 % 2]
        server = SoakServer(f"i{number}", service, zone, proxy, self._observations)
        server.on_part_crash = self._on_part_crash
        return server

    async def start(self) -> None:
        """Start processes and backend servers and, once entries are ready, the load."""
        await self._links.start()
        for program in (*self._controls, *self._entries):
            self._write_settings(program, bootstrap=program.role == "control")
            await program.start()
        for server in self._servers:
            await server.proxy.start()
            await self._start_server(server)
        balancer = Balancer(self._entries)
        self._spawn(balancer.watch())
        async with asyncio.timeout(START_TIMEOUT_S):
            await self._operator.configure()
            while len(balancer.ready()) < len(self._entries):
                await asyncio.sleep(0.1)
        for control in self._controls:
            self._write_settings(control, bootstrap=False)
        self._spawn(self._operator.poll_versions())
        prober = RouteProber([e.ip for e in self._entries], self._observations)
        self._spawn(prober.probe())
        metered_rng = random.Random(f"metered {self._seed}")
        metered = MeteredCaller(balancer, metered_rng, self._observations)
        self._spawn(metered.call())
        for _ in range(CALLERS):
            caller_rng = random.Random(self._rng.random())
            self._spawn(Caller(balancer, caller_rng, self._observations).call())

    def _write_settings(self, program: Program, *, bootstrap: bool) -> None:
        seeds = [control.ip for control in self._controls]
        tunnels = self._links.tunnels(program.ip)
        program.write_settings(seeds, tunnels, bootstrap=bootstrap)

    async def inject_faults(self, faults: list[Fault]) -> None:
        """Inject every fault at its time, and continue until after recovery."""
        started_at = self._now()
        injections = []
        for fault in faults:
            await asyncio.sleep(max(started_at + fault.at_s - self._now(), 0.0))
            injections.append(self._spawn(self._inject_fault(fault)))
        await asyncio.gather(*injections)
        await asyncio.sleep(RECOVERY_S)
        self._observations.recovered_at = self._now()
        await asyncio.sleep(AFTER_RECOVERY_S)

    async def stop(self) -> None:
        """Stop the load and every process and backend server."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for attempt in self._observations.attempts:
            attempt.is_abandoned = attempt.is_abandoned or attempt.ended_at is None
        for program in (*self._entries, *self._controls):
            program.send_signal(signal.SIGCONT)
            await program.kill()
        for server in self._servers:
            await server.crash()
            await server.proxy.stop()
        await self._links.stop()

    def _spawn(self, coro) -> asyncio.Task:
        task = asyncio.ensure_future(coro)
        self._tasks.append(task)
        return task

    async def _inject_fault(self, fault: Fault) -> None:
        started_at = self._now()
        if fault.kind.endswith("_coordinator_entry"):
            fault = replace(fault, target_index=self._coordinator_index(fault))
        await getattr(self, f"_{fault.kind}")(fault)
        if fault.kind not in HARMLESS_KINDS:
            self._record_span(fault, started_at)

    def _coordinator_index(self, fault: Fault) -> int:
        """Return the index of the entry that coordinates a zone: its oldest one."""
        zone = ZONES[fault.target_index % len(ZONES)]
        entries = [entry for entry in self._entries if entry.zone == zone]
        return self._entries.index(min(entries, key=lambda e: e.started_at))

    def _record_span(self, fault: Fault, started_at: float) -> None:
        _, _, target = fault.kind.rpartition("_")
        observations = self._observations
        node = ""
        if target == "entry":
            node = self._entries[fault.target_index % len(self._entries)].ip
        span = FaultSpan(started_at, self._now(), node)
        observations.fault_spans.append(span)
        if fault.kind.startswith("stop_"):
            observations.planned_spans.append(span)
        if target in ("entry", "all"):
            observations.entry_spans.append(span)
        if target in ("control", "all"):
            observations.control_spans.append(span)
        if target in ("server", "link"):
            name = self._servers[fault.target_index % len(self._servers)].name
            observations.server_spans.append(replace(span, node=name))

    def _program(self, programs: list[Program], fault: Fault) -> Program | None:
        """Return the target, or None while another fault affects it."""
        program = programs[fault.target_index % len(programs)]
        return None if program.is_busy else program

    async def _kill(self, program: Program | None, fault: Fault, before=None) -> None:
        if program is None:
            return
        program.is_busy = True
        await program.kill()
        if before is not None:
            before()
        await asyncio.sleep(fault.duration_s)
        await program.start()
        program.is_busy = False

    async def _pause(self, program: Program | None, fault: Fault) -> None:
        if program is None:
            return
        program.is_busy = True
        program.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        program.send_signal(signal.SIGCONT)
        program.is_busy = False

    async def _kill_entry(self, fault: Fault) -> None:
        await self._kill(self._program(self._entries, fault), fault)

    async def _pause_entry(self, fault: Fault) -> None:
        await self._pause(self._program(self._entries, fault), fault)

    async def _starve_entries(self, fault: Fault) -> None:
        """Let each entry run for `STARVED_SHARE` of each `STARVED_PERIOD_S` only."""
        ends_at = self._now() + fault.duration_s
        while self._now() < ends_at:
            starved = [entry for entry in self._entries if not entry.is_busy]
            for entry in starved:
                entry.send_signal(signal.SIGSTOP)
            await asyncio.sleep((1 - STARVED_SHARE) * STARVED_PERIOD_S)
            # Also one that is being stopped by now, which could not end otherwise.
            for entry in starved:
                entry.send_signal(signal.SIGCONT)
            await asyncio.sleep(STARVED_SHARE * STARVED_PERIOD_S)

    async def _stop_entry(self, fault: Fault) -> None:
        program = self._program(self._entries, fault)
        if program is None:
            return
        program.is_busy = True
        if not await program.stop():
            self._observations.unexpected_exits.append(
                f"{program.ip} did not stop within its grace period"
            )
        await program.start()
        program.is_busy = False

    async def _stop_coordinator_entry(self, fault: Fault) -> None:
        await self._stop_entry(fault)

    async def _kill_coordinator_entry(self, fault: Fault) -> None:
        await self._kill_entry(fault)

    async def _reload_entry(self, fault: Fault) -> None:
        program = self._program(self._entries, fault)
        if program is not None:
            program.send_signal(signal.SIGHUP)

    async def _kill_control(self, fault: Fault) -> None:
        await self._kill(self._program(self._controls, fault), fault)

    async def _pause_control(self, fault: Fault) -> None:
        await self._pause(self._program(self._controls, fault), fault)

    async def _tear_control(self, fault: Fault) -> None:
        program = self._program(self._controls, fault)
        await self._kill(program, fault, program.append_torn_write if program else None)

    async def _wipe_control(self, fault: Fault) -> None:
        """Delete one member's data, unless a fault affects any control member."""
        if any(control.is_busy for control in self._controls):
            return
        program = self._program(self._controls, fault)
        for control in self._controls:
            control.is_busy = True
        await program.kill()
        program.delete_data()
        await program.start()
        # Until the member has recovered its data, no other control member may fail.
        await asyncio.sleep(schedule.DURATION_RANGE_S[1])
        for control in self._controls:
            control.is_busy = False

    async def _kill_all_control(self, fault: Fault) -> None:
        unaffected = [control for control in self._controls if not control.is_busy]
        await asyncio.gather(*(self._kill(control, fault) for control in unaffected))

    async def _lose_power_all(self, fault: Fault) -> None:
        """Kill all processes at once; one control member loses its data, too.

        Nothing is done while another fault affects any control member, and none may
        fail before the member has its data again.
        """
        if any(control.is_busy for control in self._controls):
            return
        wiped = self._controls[fault.target_index % len(self._controls)]
        entries = [entry for entry in self._entries if not entry.is_busy]
        programs = (*self._controls, *entries)
        for program in programs:
            program.is_busy = True
        await asyncio.gather(*(program.kill() for program in programs))
        wiped.delete_data()
        await asyncio.sleep(fault.duration_s)
        await asyncio.gather(*(program.start() for program in programs))
        for entry in entries:
            entry.is_busy = False
        if not await self._has_recovered(wiped):
            self._observations.unrecovered.append(wiped.ip)
        for control in self._controls:
            control.is_busy = False

    async def _has_recovered(self, member: Program) -> bool:
        """Wait until a member returns a version; return False if it takes too long."""
        started_at = self._now()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MEMBER_RECOVERY_S):
                while not self._operator.has_read(member, started_at):
                    await asyncio.sleep(RECOVERY_CHECK_S)
                return True
        return False

    async def _silence_entry(self, fault: Fault) -> None:
        self._silence(self._entries[fault.target_index % len(self._entries)])

    async def _silence_control(self, fault: Fault) -> None:
        self._silence(self._controls[fault.target_index % len(self._controls)])

    async def _silence_all(self, fault: Fault) -> None:
        self._silence(*self._controls, *self._entries)

    def _silence(self, *programs: Program) -> None:
        for program in programs:
            self._links.silence_open(program.ip)

    async def _cut_entry(self, fault: Fault) -> None:
        await self._cut(self._program(self._entries, fault), fault)

    async def _cut_control(self, fault: Fault) -> None:
        await self._cut(self._program(self._controls, fault), fault)

    async def _cut(self, program: Program | None, fault: Fault) -> None:
        if program is None:
            return
        program.is_busy = True
        await self._links.cut(program.ip, fault.duration_s)
        program.is_busy = False

    async def _crash_server(self, fault: Fault) -> None:
        server = self._server_for(fault)
        if server is not None:
            await self._replace_server(server, fault)

    async def _leave_server(self, fault: Fault) -> None:
        server = self._server_for(fault)
        if server is None:
            return
        await server.leave()
        await asyncio.sleep(invariants.LEAVE_S + 1.0)
        await self._replace_server(server, fault)

    async def _pause_server(self, fault: Fault) -> None:
        """Make a server refuse requests with a Retry-After of the whole duration."""
        server = self._server_for(fault)
        if server is None:
            return
        server.pause_s = fault.duration_s
        await asyncio.sleep(fault.duration_s)
        server.pause_s = 0.0
        server.is_busy = False

    async def _garble_server(self, fault: Fault) -> None:
        """Let a server garble a part of its answers, until it restarts."""
        server = self._servers[fault.target_index % len(self._servers)]
        server.garbles = True
        await asyncio.sleep(fault.duration_s)
        server.garbles = False

    async def _limit_server(self, fault: Fault) -> None:
        """Let a server name a limit on its requests a second, until it restarts."""
        server = self._servers[fault.target_index % len(self._servers)]
        instance_id, started_at = server.instance_id, self._now()
        if server.is_busy or server.limit_per_s is not None:
            return
        per_s = LIMITS_PER_S[fault.target_index % len(LIMITS_PER_S)]
        server.limit_per_s = per_s
        ends_at = started_at + LIMIT_DURATIONS * fault.duration_s
        while self._now() < ends_at and server.instance_id == instance_id:
            await asyncio.sleep(LIMIT_CHECK_S)
        if server.instance_id == instance_id:
            server.limit_per_s = None
        span = LimitSpan(instance_id, per_s, started_at, self._now())
        self._observations.limit_spans.append(span)

    async def _taint_server(self, fault: Fault) -> None:
        """Let one prompt part crash every backend server that streams on it."""
        part = f"dead{fault.target_index:04x}"
        self._observations.deadly_parts.append(part)
        await asyncio.sleep(TAINT_DURATIONS * fault.duration_s)
        self._observations.deadly_parts.remove(part)
        await asyncio.sleep(PART_CRASH.duration_s)

    def _on_part_crash(self, server: SoakServer) -> None:
        if not server.is_busy:
            server.is_busy = True
            self._spawn(self._replace_after_part_crash(server))

    async def _replace_after_part_crash(self, server: SoakServer) -> None:
        started_at = self._now()
        await self._replace_server(server, PART_CRASH)
        span = FaultSpan(started_at, self._now(), server.name)
        self._observations.server_spans.append(span)

    async def _replace_server(self, server: SoakServer, fault: Fault) -> None:
        await server.crash()
        await asyncio.sleep(fault.duration_s)
        await self._start_server(server)
        server.is_busy = False

    async def _delay_link(self, fault: Fault) -> None:
        proxy = self._proxy(fault)
        proxy.delay_s = DELAY_S
        await asyncio.sleep(fault.duration_s)
        proxy.clear_faults()

    async def _reset_link(self, fault: Fault) -> None:
        self._proxy(fault).reset()

    async def _silence_link(self, fault: Fault) -> None:
        proxy = self._proxy(fault)
        proxy.silence()
        await asyncio.sleep(fault.duration_s)
        proxy.clear_faults()

    async def _configure(self, fault: Fault) -> None:
        await self._operator.configure()

    async def _configure_often(self, fault: Fault) -> None:
        ends_at = self._now() + fault.duration_s
        while self._now() < ends_at:
            await self._operator.configure()
            await asyncio.sleep(CONFIGURE_PERIOD_S)

    async def _refuse_configuration(self, fault: Fault) -> None:
        await self._operator.submit_faulty()

    def _proxy(self, fault: Fault) -> Proxy:
        return self._servers[fault.target_index % len(self._servers)].proxy

    def _server_for(self, fault: Fault) -> SoakServer | None:
        server = self._servers[fault.target_index % len(self._servers)]
        if server.is_busy:
            return None
        server.is_busy = True
        return server

    async def _start_server(self, server: SoakServer) -> None:
        number = self._servers.index(server) + 1
        controls = [f"{control.ip}:{CONTROL_PORT}" for control in self._controls]
        await server.start(f"{subnet(self._net, 3)}.{number}:80", controls)
