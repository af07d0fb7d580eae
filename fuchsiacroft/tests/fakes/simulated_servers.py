"""Backend servers on virtual time, whose runs slow each other down as a test says."""

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from fuchsiacroft.membership.reported_load import ReportedLoad
from fuchsiacroft.placing.fleet import Fleet
from fuchsiacroft.placing.messages import PlaceRequest
from fuchsiacroft.placing.server_load import ServerLoad
from fuchsiacroft.routing.permits import RunOutcome, RunReport

STEP_S = 0.005
WAVE_S = 13.0
WAVE_SHARE = 0.55
"""Period and height of the waves of demand, as at the deployments."""


@dataclass
class SimulatedRun:
    """A run with work left, in seconds on an idle server."""

    request: PlaceRequest
    load: ServerLoad
    began_at: float
    left_s: float


@dataclass
class Simulation:
    """Runs new requests on a fleet, and ends their runs with a report.

    As many are in progress as `demand` on average, in waves, and as the fleet takes.
    `slowdown` returns by how much a run is slower among a number of runs at a time,
    and `machine` by how much a server's machine is, which its reports tell if
    `reports_machine` is set. `placed` counts the runs begun on each server.
    """

    fleet: Fleet
    new_request: Callable[[], PlaceRequest]
    work_s: Callable[[random.Random], float]
    slowdown: Callable[[int, float], float]
    reported: ReportedLoad
    demand: float = math.inf
    machine: Callable[[str, float], float] = lambda name, at: 1.0
    reports_machine: bool = False
    placed: Counter[str] = field(default_factory=Counter)
    at: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    runs: list[SimulatedRun] = field(default_factory=list)

    def play(self, seconds: float) -> list[float]:
        """Go on for some time, and return the limits of the first server meanwhile."""
        limits = []
        until = self.at + seconds
        while self.at < until:
            self._begin_all()
            self.at += STEP_S
            for run in list(self.runs):
                slowdown = self.slowdown(len(run.load.runs), self.at)
                slowdown *= self.machine(run.load.name, self.at)
                run.left_s -= STEP_S / slowdown
                if run.left_s <= 0.0:
                    self._end(run)
            self.fleet.expire_runs(self.at)
            first = next(iter(self.fleet.dump(self.at).values()))
            limits.append(first.get("learned_limit", first["slots"]))
        return limits

    def _begin_all(self) -> None:
        wanted = self.demand * (1 + WAVE_SHARE * math.sin(math.tau * self.at / WAVE_S))
        request = self.new_request()
        while len(self.runs) < wanted:
            load = self.fleet.choice.choose(request, self.at)
            if load is None:
                return
            self.placed[load.name] += 1
            self.fleet.begin(request, load, self.at, self.at)
            work_s = self.work_s(self.rng)
            self.runs.append(SimulatedRun(request, load, self.at, work_s))
            request = self.new_request()

    def _report(self, name: str) -> ReportedLoad:
        if not self.reports_machine:
            return self.reported
        percent = int(100 * self.machine(name, self.at))
        return msgspec.structs.replace(self.reported, percent=percent)

    def _end(self, run: SimulatedRun) -> None:
        self.runs.remove(run)
        run_id, size = run.request.run_id, run.request.ask.size
        self.fleet.record_load(run_id, self._report(run.load.name), self.at)
        run_s = self.at - run.began_at
        gap_s = run_s / size.output_tokens if size.output_tokens else None
        report = RunReport(RunOutcome.COMPLETED, token_gap_s=gap_s, duration_s=run_s)
        self.fleet.end(run_id, report, self.at)
