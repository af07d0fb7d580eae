"""Plays a trace against a simulated deployment.

It does on simulated servers what the dispatcher does over HTTP: acquire a permit,
dispatch once, wait for the end, a preemption or the deadline, and release the permit.
"""

import asyncio

from expression import Result

from fuchsiacroft.model.engine import SimulatedEngine
from fuchsiacroft.model.outcomes import Ending, Outcomes, RequestRecord
from fuchsiacroft.model.server import ConnectFailedError, ConnectionLostError, ServerRun
from fuchsiacroft.model.simulation import SimulatedEntry, Simulation
from fuchsiacroft.model.trace import Arrival
from fuchsiacroft.routing.permits import (
    Permit,
    PermitRequest,
    Refusal,
    RefusalReason,
    RunOutcome,
    RunReport,
    WorkSize,
)
from fuchsiacroft.utils.clock import now

MAX_CONNECT_ATTEMPTS = 3
LEAVING_GRACE_S = 2.0
END_GRACE_S = 10.0


class TracePlayer:
    """Plays a trace open-loop and records how each request ends."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self.outcomes = Outcomes()
        self._tasks: set[asyncio.Task] = set()

    async def play(self, arrivals: list[Arrival]) -> Outcomes:
        """Send every arrival at its time; return after the last one has ended."""
        started_at = now()
        for arrival in arrivals:
            delay_s = started_at + arrival.at_s - now()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            self._send(arrival)
        longest_s = max(arrival.timeout_s for arrival in arrivals)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=longest_s + END_GRACE_S)
        self._check_endings()
        self.outcomes.messages = self._simulation.network.counts["messages"]
        return self.outcomes

    def _send(self, arrival: Arrival) -> None:
        entry = self._simulation.choose_entry()
        record = RequestRecord(arrival, started_at=now())
        self.outcomes.records.append(record)
        task = asyncio.get_running_loop().create_task(self._play_arrival(entry, record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        entry.request_tasks[task] = None
        task.add_done_callback(entry.request_tasks.pop)

    async def _play_arrival(self, entry: SimulatedEntry, record: RequestRecord) -> None:
        started_at = now()
        try:
            record.ending = await self._acquire_and_run(entry, record, started_at)
        except asyncio.CancelledError:
            record.ending = Ending.ENTRY_LOST
        record.duration_s = now() - started_at

    async def _acquire_and_run(
        self, entry: SimulatedEntry, record: RequestRecord, started_at: float
    ) -> Ending:
        deadline = started_at + record.arrival.timeout_s
        for _ in range(MAX_CONNECT_ATTEMPTS):
            request = _permit_request(record.arrival, max(0.0, deadline - now()))
            match await entry.scheduler.acquire(request):
                case Result(tag="ok", ok=permit):
                    ending = await self._dispatch(entry, permit, record, deadline)
                    if ending is not None:
                        return ending
                case Result(error=refusal):
                    self._check_refusal(entry, record, refusal)
                    return Ending.REFUSED
        return Ending.REFUSED

    async def _dispatch(
        self,
        entry: SimulatedEntry,
        permit: Permit,
        record: RequestRecord,
        deadline: float,
    ) -> Ending | None:
        deployed = self._simulation.server_by_name[permit.backend_server]
        outcome = RunOutcome.NOT_DISPATCHED
        run = None
        started_at = now()
        try:
            run = deployed.server.start(
                record.arrival,
                lambda: entry.scheduler.record_first_token(permit),
                entry.member.failure_domain,
            )
            self._record_start(deployed.server, record)
            outcome = RunOutcome.CANCELLED
            outcome = await _wait_for_end(run, permit, deadline)
        except ConnectFailedError:
            return None
        except ConnectionLostError:
            outcome = RunOutcome.CONNECTION_LOST
        finally:
            if run is not None:
                deployed.server.cancel(run)
                _record_run(record, run)
            report = _run_report(outcome, record, run, started_at)
            entry.scheduler.release(permit, report)
        return self._ending(outcome, record)

    def _ending(self, outcome: RunOutcome, record: RequestRecord) -> Ending:
        if outcome is RunOutcome.COMPLETED:
            return Ending.ANSWERED
        if outcome is RunOutcome.PREEMPTED:
            if not record.arrival.idempotent:
                self.outcomes.violations["non_idempotent_cut"] += 1
            return Ending.PREEMPTED
        if outcome is RunOutcome.CONNECTION_LOST:
            return Ending.CONNECTION_LOST
        return Ending.LATE

    def _record_start(self, server, record: RequestRecord) -> None:
        record.starts += 1
        if record.starts > 1:
            self.outcomes.violations["dispatched_twice"] += 1
        leaving_since = server.leaving_since
        if leaving_since is not None and now() - leaving_since > LEAVING_GRACE_S:
            self.outcomes.violations["started_while_leaving"] += 1

    def _check_refusal(
        self, entry: SimulatedEntry, record: RequestRecord, refusal: Refusal
    ) -> None:
        if record.starts:
            self.outcomes.violations["refused_but_ran"] += 1
        if refusal.reason in (RefusalReason.QUARANTINED, RefusalReason.DRAINING):
            return
        if self._is_lower_tier_running(entry, record.arrival):
            self.outcomes.inversions += 1

    def _is_lower_tier_running(self, entry: SimulatedEntry, arrival: Arrival) -> bool:
        return any(
            run.arrival.rank > arrival.rank and run.arrival.idempotent
            for deployed in self._simulation.servers
            if deployed.service == arrival.service
            and deployed.domain == entry.member.failure_domain
            for run in deployed.server.runs
        )

    def _check_endings(self) -> None:
        for record in self.outcomes.records:
            if record.ending is Ending.UNANSWERED:
                self.outcomes.violations["unanswered"] += 1


async def _wait_for_end(run: ServerRun, permit: Permit, deadline: float) -> RunOutcome:
    timeout_s = max(0.0, deadline - now())
    await asyncio.wait(
        {run.done, permit.preempted},
        timeout=timeout_s,
        return_when=asyncio.FIRST_COMPLETED,
    )
    if run.done.done():
        run.done.result()
        return RunOutcome.COMPLETED
    return RunOutcome.PREEMPTED if permit.preempted.done() else RunOutcome.CANCELLED


def _record_run(record: RequestRecord, run: ServerRun) -> None:
    record.prefilled_tokens += run.prefilled_tokens
    if run.first_token_at is None or not record.arrival.is_model:
        return
    record.first_token_s = run.first_token_at - record.started_at
    record.prefill_s = run.first_token_at - run.started_at
    decoded_s = run.ended_at - run.first_token_at
    record.token_gap_s = decoded_s / record.arrival.output_tokens


def _run_report(
    outcome: RunOutcome, record: RequestRecord, run: ServerRun | None, started_at: float
) -> RunReport:
    done = outcome is RunOutcome.COMPLETED
    return RunReport(
        outcome=outcome,
        first_token_s=record.prefill_s if run is not None else None,
        token_gap_s=record.token_gap_s if done else None,
        duration_s=now() - started_at,
        output_tokens=record.arrival.output_tokens if done else 0,
    )


def _permit_request(arrival: Arrival, timeout_s: float) -> PermitRequest:
    return PermitRequest(
        request_id=arrival.request_id,
        service=arrival.service,
        rank=arrival.rank,
        timeout_s=timeout_s,
        workspace=arrival.workspace,
        share=arrival.share,
        size=WorkSize(arrival.prompt_tokens, arrival.output_tokens),
        idempotent=arrival.idempotent,
        fingerprint=arrival.request_id,
        prefixes=arrival.prefixes,
    )


def prefilled_tokens(simulation: Simulation) -> float:
    """Return the number of prompt tokens prefilled by all engines."""
    return sum(
        deployed.server.prefilled_tokens
        for deployed in simulation.servers
        if isinstance(deployed.server, SimulatedEngine)
    )
