"""Callers of a modelled deployment, and the entry's part of each request.

What the dispatcher does over HTTP is done here on modelled servers: acquire,
dispatch once, watch for a cut and for the deadline, release.
"""

import asyncio

from expression import Result

from fuchsiacroft.model.engine import ModelEngine
from fuchsiacroft.model.outcomes import Ending, Outcomes, Record
from fuchsiacroft.model.server import ConnectFailedError, ConnectionLostError, ServerRun
from fuchsiacroft.model.trace import Arrival
from fuchsiacroft.model.world import ModelEntry, World
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

MAX_CONNECT_TRIES = 3
LEAVING_GRACE_S = 2.0
GRACE_S = 10.0


class Callers:
    """Plays a trace open-loop and records every ending."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.outcomes = Outcomes()
        self._open: set[asyncio.Task] = set()

    async def play(self, arrivals: list[Arrival]) -> Outcomes:
        """Send every arrival at its time; return after the last ending."""
        began_at = now()
        for arrival in arrivals:
            delay_s = began_at + arrival.at_s - now()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            self._send(arrival)
        longest_s = max(arrival.timeout_s for arrival in arrivals)
        if self._open:
            await asyncio.wait(self._open, timeout=longest_s + GRACE_S)
        self._check_endings()
        self.outcomes.messages = self._world.network.counts["messages"]
        return self.outcomes

    def _send(self, arrival: Arrival) -> None:
        entry = self._world.pick()
        record = Record(arrival, began_at=now())
        self.outcomes.records.append(record)
        task = asyncio.get_running_loop().create_task(self._serve(entry, record))
        self._open.add(task)
        task.add_done_callback(self._open.discard)
        entry.callers[task] = None
        task.add_done_callback(entry.callers.pop)

    async def _serve(self, entry: ModelEntry, record: Record) -> None:
        began_at = now()
        try:
            record.ending = await self._run(entry, record, began_at)
        except asyncio.CancelledError:
            record.ending = Ending.ENTRY_LOST
        record.ended_at_s = now() - began_at

    async def _run(self, entry: ModelEntry, record: Record, began_at: float) -> Ending:
        deadline = began_at + record.arrival.timeout_s
        for _ in range(MAX_CONNECT_TRIES):
            ask = _ask(record.arrival, max(0.0, deadline - now()))
            match await entry.scheduler.acquire(ask):
                case Result(tag="ok", ok=permit):
                    ending = await self._dispatch(entry, permit, record, deadline)
                    if ending is not None:
                        return ending
                case Result(error=refusal):
                    self._check_refusal(entry, record, refusal)
                    return Ending.REFUSED
        return Ending.REFUSED

    async def _dispatch(
        self, entry: ModelEntry, permit: Permit, record: Record, deadline: float
    ) -> Ending | None:
        slot = self._world.by_name[permit.backend_server]
        outcome = RunOutcome.NOT_DISPATCHED
        run = None
        started_at = now()
        try:
            run = slot.server.start(
                record.arrival,
                lambda: entry.scheduler.record_first_token(permit),
                entry.member.failure_domain,
            )
            self._note_start(slot.server, record)
            outcome = RunOutcome.CANCELLED
            outcome = await _watch(run, permit, deadline)
        except ConnectFailedError:
            return None
        except ConnectionLostError:
            outcome = RunOutcome.CONNECTION_LOST
        finally:
            if run is not None:
                slot.server.cancel(run)
                _note_run(record, run)
            report = _report(outcome, record, run, started_at)
            entry.scheduler.release(permit, report)
        return self._ending(outcome, record)

    def _ending(self, outcome: RunOutcome, record: Record) -> Ending:
        if outcome is RunOutcome.COMPLETED:
            return Ending.ANSWERED
        if outcome is RunOutcome.PREEMPTED:
            if not record.arrival.idempotent:
                self.outcomes.broken["non_idempotent_cut"] += 1
            return Ending.CUT
        if outcome is RunOutcome.CONNECTION_LOST:
            return Ending.LOST
        return Ending.LATE

    def _note_start(self, server, record: Record) -> None:
        record.starts += 1
        if record.starts > 1:
            self.outcomes.broken["dispatched_twice"] += 1
        leaving_since = server.leaving_since
        if leaving_since is not None and now() - leaving_since > LEAVING_GRACE_S:
            self.outcomes.broken["started_while_leaving"] += 1

    def _check_refusal(
        self, entry: ModelEntry, record: Record, refusal: Refusal
    ) -> None:
        if record.starts:
            self.outcomes.broken["refused_but_ran"] += 1
        if refusal.reason in (RefusalReason.QUARANTINED, RefusalReason.DRAINING):
            return
        if self._lower_runs(entry, record.arrival):
            self.outcomes.inversions += 1

    def _lower_runs(self, entry: ModelEntry, arrival: Arrival) -> bool:
        return any(
            run.arrival.rank > arrival.rank and run.arrival.idempotent
            for slot in self._world.slots
            if slot.service == arrival.service
            and slot.domain == entry.member.failure_domain
            for run in slot.server.runs
        )

    def _check_endings(self) -> None:
        for record in self.outcomes.records:
            if record.ending is Ending.UNANSWERED:
                self.outcomes.broken["unanswered"] += 1


async def _watch(run: ServerRun, permit: Permit, deadline: float) -> RunOutcome:
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


def _note_run(record: Record, run: ServerRun) -> None:
    record.prefilled += run.prefilled
    if run.first_token_at is None or not record.arrival.is_model:
        return
    record.first_token_s = run.first_token_at - record.began_at
    record.prefill_s = run.first_token_at - run.started_at
    decoded_s = run.ended_at - run.first_token_at
    record.token_gap_s = decoded_s / record.arrival.output_tokens


def _report(
    outcome: RunOutcome, record: Record, run: ServerRun | None, started_at: float
) -> RunReport:
    done = outcome is RunOutcome.COMPLETED
    return RunReport(
        outcome=outcome,
        first_token_s=record.prefill_s if run is not None else None,
        token_gap_s=record.token_gap_s if done else None,
        duration_s=now() - started_at,
        output_tokens=record.arrival.output_tokens if done else 0,
    )


def _ask(arrival: Arrival, timeout_s: float) -> PermitRequest:
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


def prefilled_tokens(world: World) -> float:
    """Return the prompt tokens that all engines have prefilled."""
    return sum(
        slot.server.prefilled_tokens
        for slot in world.slots
        if isinstance(slot.server, ModelEngine)
    )
