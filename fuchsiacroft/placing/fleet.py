"""The servers and runs of a failure domain: what begins, ends, and is learned from it.

Like the allocator, it takes the time as an argument, does no I/O and starts no tasks.
"""

import math
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass

from fuchsiacroft.membership import request_pacing
from fuchsiacroft.membership.registry_wire import ServerRecord
from fuchsiacroft.membership.reported_load import ReportedLoad
from fuchsiacroft.membership.server_starts import ServerStarts
from fuchsiacroft.placing.crash_detector import CrashDetector
from fuchsiacroft.placing.engine_speed import EngineSpeeds
from fuchsiacroft.placing.fleet_runs import FleetRuns
from fuchsiacroft.placing.messages import HeldRun, PlaceRequest
from fuchsiacroft.placing.server_choice import ServerChoice
from fuchsiacroft.placing.server_load import Run, ServerLoad
from fuchsiacroft.placing.server_pool import ServerPool
from fuchsiacroft.placing.slot_capacity import SlotCapacity
from fuchsiacroft.placing.token_memory import TokenMemory
from fuchsiacroft.rollouts.entry_rollouts import EntryRollouts
from fuchsiacroft.rollouts.service_rollout import TrackedRun
from fuchsiacroft.routing.learned_limit import LimitChange
from fuchsiacroft.routing.permits import (
    NOT_SENT,
    SERVER_LOST,
    PermitRequest,
    RunOutcome,
    RunReport,
)

RUN_GRACE_S = 1.0
"""A run whose end was not reported expires this long after its timeout."""


@dataclass(frozen=True, slots=True)
class Assignment:
    """The assignment of a run to one start of a backend server.

    The server may have started again unless `is_start_certain`. `rollout` is the stage
    of the service's rollout, empty if there is none.
    """

    run_id: str
    backend_server: str
    address: str
    waited_s: float
    start: str = ""
    is_limited: bool = False
    version: str = ""
    is_start_certain: bool = True
    rollout: str = ""


class Fleet:
    """The servers that accept work, and the runs on each.

    Its parts answer questions: `pool` which servers there are, `capacity` how many of
    their slots are free, `choice` which server a request gets, `runs` what is in
    progress. With `always_learns`, limits are learned for servers that don't report
    their speed, too. `on_limit_change` is called with each change of a learned limit.
    """

    def __init__(self) -> None:
        self._speeds: dict[str, EngineSpeeds] = {}
        self.crash_detector = CrashDetector()
        self.pacing = request_pacing.create()
        self.starts = ServerStarts()
        self.rollouts = EntryRollouts()
        self.rollouts.running = self._tracked_runs
        self.token_memory = TokenMemory()
        self.pool = ServerPool(self.rollouts)
        self.runs = FleetRuns()
        self.capacity = SlotCapacity(
            self.pool,
            self.runs,
            rollouts=self.rollouts,
            pacing=self.pacing,
            starts=self.starts,
            token_memory=self.token_memory,
        )
        self.choice = ServerChoice(
            self.pool,
            self.runs,
            self.capacity,
            rollouts=self.rollouts,
            pacing=self.pacing,
            token_memory=self.token_memory,
            crash_detector=self.crash_detector,
        )
        self.always_learns = False
        self.on_limit_change: Callable[[ServerLoad, LimitChange], None] = (
            lambda load, change: None
        )

    def dump(self, at: float = 0.0) -> dict:
        """Return each server with its runs, speed and failure rate."""
        return {
            load.name: {
                "runs": len(load.runs),
                "slots": load.slots,
                "gap_ms": round((load.token_gap_s or 0) * 1000, 3),
                "failures": round(load.failure_rate, 3),
                "limit_per_s": self.capacity.limit_per_s(load),
                **load.learning.dump(at),
            }
            for load in self.pool.all()
        }

    def replace_servers(
        self,
        records: Iterable[ServerRecord],
        at: float,
        adopted: Container[str] = (),
        leaving: Container[str] = (),
    ) -> None:
        """Replace the set of backend servers that accept work.

        Those of the `adopted` domains may be cut off from here, so each gets one
        request at first, until one has had a response. A server that is missing now
        has ended, unless it is named in `leaving`.
        """
        found = {record.name: record for record in records}
        for name in self.pool.names() - found.keys():
            if name not in leaving:
                self._record_ended(self.pool.get(name), at)
            self._remove_server(name, at)
        for name, record in found.items():
            known = self.pool.get(name)
            if known is not None and known.record.instance_id == record.instance_id:
                known.record = record
                continue
            load = ServerLoad(record, self._speeds_of(record))
            if known is not None:
                self._record_ended(known, at)
                self._remove_server(name, at)
                self._carry_limit_over(known, load, at)
            load.is_unproven = record.announcement.failure_domain in adopted
            load.learning.is_active = self.always_learns
            self.pool.add(load)
            self.pacing.restart_server(load.instance, at)
        self.pool.index()

    def begin(
        self, request: PlaceRequest, load: ServerLoad, at: float, arrived_at: float
    ) -> Assignment:
        """Start a run for a request that arrived at `arrived_at`."""
        permit_request = request.ask
        is_prefilling = permit_request.size.prompt_tokens > 0
        run = Run(
            request.run_id,
            permit_request,
            at,
            _ends_by(permit_request, at),
            is_prefilling,
            suspected_content=self.choice.suspected_content(permit_request, at),
        )
        self.runs.add(load, run)
        self.token_memory.record_start(permit_request, request.run_id)
        self.pacing.take(load.instance, at)
        permission = self.rollouts.permission(permit_request.service, at)
        self._track(load, run, at, is_counted=True)
        return Assignment(
            request.run_id,
            load.name,
            load.record.announcement.address,
            at - arrived_at,
            load.instance.start,
            self.pacing.is_limited(load.instance),
            load.version_of(permit_request.service),
            self.capacity.is_start_certain(load, at),
            "" if permission is None else permission.reason,
        )

    def adopt(self, held_run: HeldRun, at: float) -> None:
        """Count a run that another coordinator placed, unless its end is known."""
        load = self.pool.get(held_run.backend_server)
        if load is None or self.runs.is_known(held_run.run_id):
            return
        run = Run(
            held_run.run_id,
            held_run.ask,
            at,
            _ends_by(held_run.ask, at),
            is_prefilling=False,
            is_adopted=True,
        )
        self.runs.add(load, run)
        self._track(load, run, at, is_counted=False)

    def held_runs(self) -> tuple[HeldRun, ...]:
        """Return the runs that are counted here."""
        return self.runs.held(self.pool.all())

    def mark_prefilled(self, run_id: str, at: float) -> None:
        """Record that the prompt of a run has been prefilled and its answer begins."""
        load = self.runs.server_of(run_id)
        if load is not None:
            load.is_unproven = False
            load.mark_prefilled(run_id)
            self.runs.isolated.discard(run_id)
            self.crash_detector.record_first_event(load.runs[run_id], at)

    def record_load(self, run_id: str, reported: ReportedLoad, at: float) -> None:
        """Record what the server of a run reported in its answer at a time."""
        load = self.runs.server_of(run_id)
        if load is not None:
            load.learning.record_report(reported, at)
            if reported.percent is not None:
                self.token_memory.record_report(load.services)

    def end(self, run_id: str, report: RunReport, at: float) -> bool:
        """Remove a run and update the statistics from its outcome.

        Returns whether it was in progress here, so that its slot is free now.
        """
        self.rollouts.end(run_id, report, at)
        self.token_memory.release(run_id)
        ended = self.runs.end(run_id, at)
        if ended is None:
            return False
        load, run = ended
        if report.outcome in NOT_SENT and not run.is_adopted:
            self.pacing.refund(load.instance, at)
        load.record_result(run, report, at)
        self._report_change(load, load.learn(run, report, at))
        if report.outcome in SERVER_LOST:
            self.starts.record_loss(load.instance, at, at)
        doubted_since = self._doubted_since(load, at)
        self.crash_detector.record_end(load, run, report, at, doubted_since)
        if report.outcome is RunOutcome.COMPLETED:
            held_s = at - run.started_at
            self.runs.record_completed(run.permit_request, held_s, report.duration_s)
        return True

    def expire_runs(self, at: float) -> None:
        """Remove runs past their timeout whose end was not reported."""
        self.crash_detector.clear_survivors(at)
        self.rollouts.expire(at)
        for load in self.pool.all():
            self._report_change(load, load.learning.review(load.slots, at))
            self.runs.expire(load, at)

    def _track(
        self, load: ServerLoad, run: Run, at: float, *, is_counted: bool
    ) -> None:
        """Track a run of a service that has a rollout."""
        if self.rollouts.tracks(run.permit_request.service, at):
            self.rollouts.begin(_tracked(load, run, is_counted))

    def _tracked_runs(self, service: str) -> list[TrackedRun]:
        """Return the runs of a service that are in progress."""
        return [
            _tracked(load, run, is_counted=False)
            for load in self.pool.offering(service)
            for run in load.runs.values()
            if run.permit_request.service == service
        ]

    def _speeds_of(self, record: ServerRecord) -> EngineSpeeds:
        """Return the speeds of the service that a server offers first."""
        offers = record.announcement.offers
        service = offers[0].service if offers else ""
        return self._speeds.setdefault(service, EngineSpeeds())

    def _report_change(self, load: ServerLoad, change: LimitChange | None) -> None:
        if change is not None:
            self.on_limit_change(load, change)

    def _remove_server(self, name: str, at: float) -> None:
        """Remove a server and its runs."""
        removed = self.pool.remove(name)
        self.crash_detector.forget(removed)
        self.token_memory.forget(removed)
        self.runs.drop_all(removed, at)

    def _record_ended(self, load: ServerLoad, at: float) -> None:
        """Record that a server has ended without a notice."""
        doubted_since = self._doubted_since(load, at)
        self.crash_detector.record_removed(load, at, doubted_since)

    def _doubted_since(self, load: ServerLoad, at: float) -> float:
        doubt = self.starts.doubt(load.instance, at)
        return math.inf if doubt is None else doubt.since

    def _carry_limit_over(self, known: ServerLoad, load: ServerLoad, at: float) -> None:
        """Keep a limit that the server may have named after it started again."""
        doubt = self.starts.doubt(known.instance, at)
        if doubt is not None:
            limits = self.pacing.limits
            limits.carry_over(known.instance, load.instance, doubt.since)


def _ends_by(permit_request: PermitRequest, at: float) -> float:
    return at + permit_request.timeout_s + RUN_GRACE_S


def _tracked(load: ServerLoad, run: Run, is_counted: bool) -> TrackedRun:
    """Return a run as its service's rollout counts it."""
    permit_request = run.permit_request
    return TrackedRun(
        run.run_id,
        permit_request.service,
        permit_request.route,
        load.name,
        load.version_of(permit_request.service),
        run.ends_by,
        load.prefill_tokens if permit_request.size.prompt_tokens else 0,
        is_counted,
    )
