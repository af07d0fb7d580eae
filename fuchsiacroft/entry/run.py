"""One request under one permit, from its claim to the last byte."""

import asyncio
from dataclasses import dataclass

import aiohttp
from aiohttp import web
from expression import Result

from fuchsiacroft.control.ledger import (
    MAX_STORED_RESPONSE_BYTES,
    KeyState,
    KeyStatus,
    StoredResponse,
)
from fuchsiacroft.entry import http_headers, known_keys, problems
from fuchsiacroft.entry.at_most_once import SendGuard
from fuchsiacroft.entry.backend_client import BackendClient, ResumeError
from fuchsiacroft.entry.exchange import Exchange
from fuchsiacroft.entry.ledger_client import LedgerClient
from fuchsiacroft.entry.limit import Limit
from fuchsiacroft.entry.problems import ExecutionState, Problem
from fuchsiacroft.entry.progress import Progress
from fuchsiacroft.entry.relay import BodyRelay, CallerSink, SlowCallerError
from fuchsiacroft.entry.request_body import Upload
from fuchsiacroft.routing.permits import Permit, RunOutcome, RunReport
from fuchsiacroft.routing.scheduler import Scheduler
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event

LEASE_MARGIN_S = 30.0
MAX_RESUMES = 3
RESUME_PAUSE_S = 0.05
LINGER_S = 5.0
TURNED_AWAY = frozenset({429, 503})


class BrokenAnswerError(Exception):
    """The answer of the backend server is not whole and stays so."""


@dataclass(frozen=True, slots=True)
class RunServices:
    """What a run needs of its entry."""

    scheduler: Scheduler
    client: BackendClient
    ledger: LedgerClient


class Run:
    """Releases its permit and settles its claim exactly once."""

    def __init__(
        self, services: RunServices, exchange: Exchange, permit: Permit, deadline: float
    ) -> None:
        self._services = services
        self._exchange = exchange
        self._req = exchange.accepted
        self._permit = permit
        self._deadline = deadline
        self._sending = SendGuard()
        self._progress = Progress(now(), on_first_byte=self._note_first_byte)
        self._upload: Upload | None = None
        self._upstream: aiohttp.ClientResponse | None = None
        self._response: web.StreamResponse | None = None
        self._sink: CallerSink | None = None
        self._outcome = RunOutcome.UNUSED
        self._claimed = False
        self._resumes = 0

    async def serve(self) -> web.StreamResponse | None:
        """Return the answer, or None if no byte was sent and a retry may follow."""
        try:
            async with Limit(self._deadline, self._permit.preempted):
                return await self._serve()
        except TimeoutError:
            return await self._interrupted()
        except SlowCallerError:
            self._give_up(RunOutcome.CANCELLED)
            self._exchange.http.transport.abort()
            return self._response
        except (ConnectionError, asyncio.CancelledError):
            self._exchange.left = True
            self._give_up(RunOutcome.CANCELLED)
            raise
        finally:
            self._end()

    async def _serve(self) -> web.StreamResponse | None:
        refused = await self._claim()
        if refused is not None:
            return refused
        body = self._body()
        match await self._services.client.open(
            self._permit, self._req, body, self._sending
        ):
            case Result(tag="ok", ok=upstream):
                self._upstream = upstream
            case Result(error=RunOutcome.NOT_DISPATCHED):
                self._outcome = RunOutcome.NOT_DISPATCHED
                return None
            case Result():
                self._outcome = RunOutcome.CONNECTION_LOST
                return await self._lost_before_head()
        return await self._answer()

    async def _claim(self) -> web.Response | None:
        key = self._req.ledger_key
        if key is None:
            return None
        self._progress.keep_bytes = MAX_STORED_RESPONSE_BYTES
        lease_s = max(0.0, self._deadline - now()) + LEASE_MARGIN_S
        match await self._services.ledger.claim(key, self._permit.permit_id, lease_s):
            case Result(tag="ok", ok=KeyStatus(state=KeyState.GRANTED)):
                self._claimed = True
                return None
            case Result(tag="ok", ok=status):
                return known_keys.answer(status, self._exchange)
        return self._exchange.refuse(known_keys.no_quorum())

    def _note_first_byte(self) -> None:
        if self._req.spec.kind == "model":
            self._services.scheduler.record_first_token(self._permit)

    def _body(self):
        if self._req.body is not None:
            return self._req.body or None
        self._upload = Upload(self._exchange.http, self._req.spec.max_body_bytes)
        return self._upload.chunks()

    async def _lost_before_head(self) -> web.StreamResponse:
        if self._upload is not None and self._upload.problem is not None:
            self._outcome = RunOutcome.CANCELLED
            return self._exchange.refuse(self._upload.problem)
        if await self._resume():
            return await self._answer()
        detail = "the backend server was lost before it answered"
        problem = Problem(502, "backend_server_lost", detail, ExecutionState.MAYBE)
        return self._exchange.refuse(problem)

    async def _answer(self) -> web.StreamResponse:
        self._outcome = RunOutcome.CONNECTION_LOST
        if self._upstream.status < 200 or not http_headers.is_framed(self._upstream):
            detail = "the backend server's answer does not tell where it ends"
            problem = Problem(502, "unframed_answer", detail, ExecutionState.YES)
            return self._exchange.refuse(problem)
        self._response = http_headers.answer(
            self._upstream, self._exchange.request_id, self._exchange.drains
        )
        self._sink = CallerSink(self._exchange.http, self._response)
        await self._to_caller(self._sink.begin())
        try:
            await self._copy()
        except BrokenAnswerError:
            detail = "the backend server broke off its answer"
            self._break_off(Problem(502, "broken_off", detail, ExecutionState.YES))
            return self._response
        self._outcome = _outcome_of(self._upstream.status)
        await self._to_caller(self._response.write_eof())
        return self._response

    async def _to_caller(self, writing) -> None:
        """Write to the caller; a claimed run goes on when the caller has left."""
        try:
            await writing
        except ConnectionError:
            if not self._claimed:
                raise
            self._exchange.left = True

    async def _copy(self) -> None:
        while True:
            relay = BodyRelay(self._upstream, self._sink, self._progress)
            try:
                await relay.run()
            except aiohttp.ClientError as exc:
                if not await self._resume():
                    raise BrokenAnswerError from exc
                continue
            if self._is_stream and not self._progress.is_closed_stream:
                raise BrokenAnswerError
            return

    @property
    def _is_stream(self) -> bool:
        return self._req.stream and (
            self._upstream is None or self._upstream.status == 200
        )

    async def _resume(self) -> bool:
        """Read on the same run of the same backend server boot, if it is there."""
        if not self._is_stream:
            return False
        if self._upstream is not None:
            self._upstream.close()
        offset = self._progress.sent_bytes
        while self._resumes < MAX_RESUMES:
            self._resumes += 1
            await asyncio.sleep(RESUME_PAUSE_S * self._resumes)
            match await self._services.client.resume(self._permit, offset):
                case Result(tag="ok", ok=upstream):
                    self._upstream = upstream
                    return True
                case Result(error=ResumeError.RUN_GONE):
                    return False
        return False

    async def _interrupted(self) -> web.StreamResponse | None:
        cut = self._permit.preempted
        if cut.done():
            self._give_up(RunOutcome.PREEMPTED)
            detail = "the run was ended to make room for more urgent work"
            problem = Problem(
                503, "preempted", detail, ExecutionState.YES, cut.result()
            )
        else:
            self._give_up(RunOutcome.CANCELLED)
            detail = "the request's timeout has passed"
            problem = Problem(504, "timed_out", detail, ExecutionState.MAYBE)
        problem = self._with_ran(problem)
        if self._response is None:
            return self._exchange.refuse(problem)
        self._break_off(problem)
        return self._response

    def _with_ran(self, problem: Problem) -> Problem:
        ran = problem.ran
        if not self._sending.sent:
            ran = ExecutionState.NO
        elif self._upstream is not None:
            ran = ExecutionState.YES
        return Problem(
            problem.status, problem.code, problem.detail, ran, problem.retry_after_s
        )

    def _give_up(self, outcome: RunOutcome) -> None:
        self._outcome = outcome if self._sending.sent else RunOutcome.UNUSED
        if self._sending.sent and self._req.spec.kind == "model":
            self._services.client.cancel(self._permit)

    def _break_off(self, problem: Problem) -> None:
        """End an answer that has begun so that the caller sees it is not whole."""
        self._exchange.problem = problem
        request_id = self._exchange.request_id
        event(
            "warning", "answer_broken_off", request_id=request_id, detail=problem.detail
        )
        if self._sink.is_gone:
            return
        if self._response.content_type == "text/event-stream":
            if not self._progress.ends_between_events:
                self._sink.write(b"\n\n")
            self._sink.write(problems.event(problem, request_id))
        self._sink.close(LINGER_S)

    def _end(self) -> None:
        if self._upstream is not None:
            self._upstream.close()
        self._exchange.outcome = self._outcome
        self._exchange.progress = self._progress
        self._services.scheduler.release(self._permit, self._report())
        if not self._claimed:
            return
        key, claim = self._req.ledger_key, self._permit.permit_id
        if self._sending.sent:
            self._services.ledger.settle(key, claim, self._stored())
        else:
            self._services.ledger.release(key, claim)

    def _report(self) -> RunReport:
        return RunReport(
            outcome=self._outcome,
            first_token_s=self._progress.first_token_s,
            token_gap_s=self._progress.token_gap_s,
            duration_s=now() - self._progress.started_at,
            output_tokens=self._progress.tokens,
        )

    def _stored(self) -> StoredResponse | None:
        whole = (RunOutcome.COMPLETED, RunOutcome.FAILED, RunOutcome.REFUSED)
        if self._outcome not in whole:
            return None
        kept = len(self._progress.kept) <= self._progress.keep_bytes
        return StoredResponse(
            status=self._upstream.status,
            content_type=self._upstream.headers.get("Content-Type", ""),
            body=bytes(self._progress.kept) if kept else None,
        )


def _outcome_of(status: int) -> RunOutcome:
    if status in TURNED_AWAY:
        return RunOutcome.REFUSED
    return RunOutcome.FAILED if status >= 500 else RunOutcome.COMPLETED
