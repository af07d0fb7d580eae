"""One run of a request under one permit, from its claim to the last byte."""

import asyncio
from dataclasses import dataclass
from functools import partial

import aiohttp
from aiohttp import web
from expression import Result

from fuchsiacroft.control.ledger import (
    MAX_STORED_RESPONSE_BYTES,
    KeyState,
    KeyStatus,
    StoredResponse,
)
from fuchsiacroft.entry import backend_client, http_headers, ledger_responses, problems
from fuchsiacroft.entry.at_most_once import SendGuard
from fuchsiacroft.entry.backend_client import BackendClient, ResumeError
from fuchsiacroft.entry.body_relay import BodyRelay, ResponseWriter
from fuchsiacroft.entry.exchange import Exchange
from fuchsiacroft.entry.ledger_client import LedgerClient
from fuchsiacroft.entry.problems import ExecutionState, Problem
from fuchsiacroft.entry.request_body import StreamedBody
from fuchsiacroft.entry.response_progress import ResponseProgress
from fuchsiacroft.entry.run_timeout import RunTimeout
from fuchsiacroft.entry.second_answer import SecondAnswerError, SecondAnswerFinder
from fuchsiacroft.entry.slow_reader import SlowCallerError
from fuchsiacroft.membership.server_notices import NoticedAnswer, ServerInstance
from fuchsiacroft.routing.leases import LEASE_S
from fuchsiacroft.routing.permits import Permit, RunOutcome, RunReport
from fuchsiacroft.routing.scheduler import Scheduler
from fuchsiacroft.utils import connections
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tracebacks import drop_traceback

LEASE_MARGIN_S = 30.0
MAX_RESUMES = 3
RESUME_PAUSE_S = 0.05
LINGER_S = 5.0
REFUSED_STATUSES = frozenset({429, 503})
LOST = Problem(
    502,
    "backend_server_lost",
    "connection to the backend server lost before its response",
    ExecutionState.MAYBE,
)
FOREIGN_ANSWER = Problem(
    502,
    "unidentified_answer",
    "the backend server's answer does not name the request",
    ExecutionState.MAYBE,
)


class IncompleteResponseError(Exception):
    """The backend server's response is incomplete and cannot be resumed."""


@dataclass(frozen=True, slots=True)
class RunServices:
    """The services that runs need."""

    scheduler: Scheduler
    client: BackendClient
    ledger: LedgerClient


class Run:
    """Runs a request, releasing its permit and settling its claim exactly once."""

    def __init__(
        self, services: RunServices, exchange: Exchange, permit: Permit, deadline: float
    ) -> None:
        self._services = services
        self._exchange = exchange
        self._request = exchange.request
        self._permit = permit
        self._deadline = deadline
        self._granted_at = now()
        valid_until = min(deadline, self._granted_at + LEASE_S)
        name = backend_client.request_name(exchange.request_id)
        may_send = partial(_may_send, services.scheduler, permit)
        self._send_guard = SendGuard(may_send, valid_until, name)
        self._progress = ResponseProgress(now())
        if self._request.spec.kind == "model":
            self._progress.on_first_byte = partial(
                services.scheduler.record_first_token, permit
            )
        self._streamed_body: StreamedBody | None = None
        self._upstream: aiohttp.ClientResponse | None = None
        self._response: web.StreamResponse | None = None
        self._writer: ResponseWriter | None = None
        self._outcome = RunOutcome.UNUSED
        self._is_whole = False
        self._has_claim = False
        self._resumes = 0

    async def serve(self) -> web.StreamResponse | None:
        """Return the response, or None if no byte was sent and a retry is safe."""
        try:
            async with RunTimeout(self._deadline, self._permit.preempted):
                return await self._serve()
        except TimeoutError:
            return await self._timed_out()
        except SlowCallerError:
            self._cancel(RunOutcome.CANCELLED)
            if self._exchange.http.transport is not None:
                connections.reset(self._exchange.http.transport)
            return self._response
        except (ConnectionError, asyncio.CancelledError):
            self._exchange.caller_disconnected = True
            self._cancel(RunOutcome.CANCELLED)
            raise
        finally:
            self._finish()

    async def _serve(self) -> web.StreamResponse | None:
        rejection = await self._claim()
        if rejection is not None:
            return rejection
        body = self._body()
        match await self._services.client.open(
            self._permit, self._request, body, self._send_guard
        ):
            case Result(tag="ok", ok=upstream):
                self._upstream = upstream
                self._record_answer(upstream)
            case Result(error=RunOutcome.NOT_DISPATCHED):
                if not self._send_guard.withheld:
                    self._outcome = RunOutcome.NOT_DISPATCHED
                return None
            case Result(error=outcome):
                self._outcome = outcome
                return await self._no_own_answer()
        return await self._relay_response()

    def _record_answer(self, response: aiohttp.ClientResponse) -> None:
        permit = self._permit
        answer = NoticedAnswer(
            ServerInstance(permit.backend_server, permit.boot_id),
            backend_client.server_notice(response),
            permit.request.request_id,
            sent_at=self._granted_at,
            longest_pause_s=self._request.permit_request.timeout_s,
            is_limited=permit.is_limited,
        )
        self._services.scheduler.record_answer(permit, answer)

    async def _claim(self) -> web.Response | None:
        key = self._request.ledger_key
        if key is None:
            return None
        self._progress.max_body_bytes = MAX_STORED_RESPONSE_BYTES
        lease_s = max(0.0, self._deadline - now()) + LEASE_MARGIN_S
        match await self._services.ledger.claim(key, self._permit.permit_id, lease_s):
            case Result(tag="ok", ok=KeyStatus(state=KeyState.GRANTED)):
                self._has_claim = True
                return None
            case Result(tag="ok", ok=status):
                return ledger_responses.response(status, self._exchange)
        return self._exchange.error_response(ledger_responses.no_quorum_problem())

    def _body(self):
        if self._request.body is not None:
            return self._request.body or None
        self._streamed_body = StreamedBody(
            self._exchange.http,
            self._exchange.body_reads,
            self._request.spec.max_body_bytes,
        )
        return self._streamed_body.chunks()

    async def _no_own_answer(self) -> web.StreamResponse:
        if self._streamed_body is not None and self._streamed_body.problem is not None:
            self._outcome = RunOutcome.CANCELLED
            return self._exchange.error_response(self._streamed_body.problem)
        if await self._resume():
            return await self._relay_response()
        is_foreign = self._outcome is RunOutcome.FAILED
        return self._exchange.error_response(FOREIGN_ANSWER if is_foreign else LOST)

    async def _relay_response(self) -> web.StreamResponse:
        self._outcome = RunOutcome.CONNECTION_LOST
        if not http_headers.is_framed(self._upstream):
            detail = "the backend server's response has no length or chunked encoding"
            problem = Problem(502, "unframed_answer", detail, ExecutionState.YES)
            return self._exchange.error_response(problem)
        self._response = http_headers.caller_response(
            self._upstream, self._exchange.request_id, self._exchange.closes_connection
        )
        self._writer = ResponseWriter(
            self._exchange.http, self._response, self._exchange.budget
        )
        await self._tolerate_disconnect(self._writer.start())
        try:
            await self._copy()
        except IncompleteResponseError:
            detail = "the backend server's response was truncated"
            self._abort_response(Problem(502, "broken_off", detail, ExecutionState.YES))
            return self._response
        self._outcome = _run_outcome(self._upstream.status)
        self._is_whole = True
        await self._tolerate_disconnect(self._writer.finish())
        return self._response

    async def _tolerate_disconnect(self, write) -> None:
        """Await a write; a run with a claim continues if the caller disconnected."""
        try:
            await write
        except ConnectionError:
            if not self._has_claim:
                raise
            self._exchange.caller_disconnected = True

    async def _copy(self) -> None:
        while True:
            finder = SecondAnswerFinder(self._send_guard.name)
            relay = BodyRelay(self._upstream, self._writer, self._progress, finder)
            try:
                await relay.run()
            except SecondAnswerError as exc:
                drop_traceback(exc)
                # The caller may have the start of the other answer.
                raise IncompleteResponseError from exc
            except aiohttp.ClientError as exc:
                drop_traceback(exc)
                if not await self._resume():
                    raise IncompleteResponseError from exc
                continue
            if self._is_stream and not self._progress.is_complete_stream:
                raise IncompleteResponseError
            return

    @property
    def _is_stream(self) -> bool:
        return self._request.stream and (
            self._upstream is None or self._upstream.status == 200
        )

    async def _resume(self) -> bool:
        """Resume the stream of the same run on the same boot, if it still exists.

        A stream that began with a length can't be: the rest might have another.
        """
        if not self._is_stream:
            return False
        if self._writer is not None and self._writer.has_length:
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
                case Result(error=ResumeError.RUN_NOT_FOUND):
                    return False
        return False

    async def _timed_out(self) -> web.StreamResponse | None:
        if self._is_whole:
            self._writer.close(LINGER_S)
            return self._response
        preempted = self._permit.preempted
        if preempted.done():
            self._cancel(RunOutcome.PREEMPTED)
            detail = "the run was ended to make room for more urgent work"
            problem = Problem(
                503, "preempted", detail, ExecutionState.YES, preempted.result()
            )
        else:
            self._cancel(RunOutcome.CANCELLED)
            detail = "the request timed out"
            problem = Problem(504, "timed_out", detail, ExecutionState.MAYBE)
        problem = self._with_execution_state(problem)
        if self._response is None:
            return self._exchange.error_response(problem)
        self._abort_response(problem)
        return self._response

    def _with_execution_state(self, problem: Problem) -> Problem:
        ran = problem.ran
        if not self._send_guard.sent:
            ran = ExecutionState.NO
        elif self._upstream is not None:
            ran = ExecutionState.YES
        return Problem(
            problem.status, problem.code, problem.detail, ran, problem.retry_after_s
        )

    def _cancel(self, outcome: RunOutcome) -> None:
        """Cancel the run, unless its whole response has come."""
        if self._is_whole:
            return
        self._outcome = outcome if self._send_guard.sent else RunOutcome.UNUSED
        if self._send_guard.sent and self._request.spec.kind == "model":
            self._services.client.cancel(self._permit)

    def _abort_response(self, problem: Problem) -> None:
        """End a started response so that the caller can see that it is incomplete."""
        self._exchange.problem = problem
        request_id = self._exchange.request_id
        event(
            "warning", "answer_broken_off", request_id=request_id, detail=problem.detail
        )
        if self._writer.is_disconnected:
            return
        is_stream = self._response.content_type == "text/event-stream"
        if is_stream and not self._writer.has_length:
            if not self._progress.ends_between_events:
                self._writer.write(b"\n\n")
            self._writer.write(problems.sse_event(problem, request_id))
        self._writer.close(LINGER_S)

    def _finish(self) -> None:
        if self._upstream is not None:
            self._upstream.close()
        self._exchange.outcome = self._outcome
        self._exchange.progress = self._progress
        self._services.scheduler.release(self._permit, self._report())
        if not self._has_claim:
            return
        key, claim = self._request.ledger_key, self._permit.permit_id
        if self._send_guard.sent:
            self._services.ledger.settle(key, claim, self._stored_response())
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

    def _stored_response(self) -> StoredResponse | None:
        complete_outcomes = (
            RunOutcome.COMPLETED,
            RunOutcome.FAILED,
            RunOutcome.REFUSED,
        )
        if self._upstream is None or self._outcome not in complete_outcomes:
            return None
        fits = len(self._progress.body) <= self._progress.max_body_bytes
        is_stored = fits and "Content-Encoding" not in self._upstream.headers
        return StoredResponse(
            status=self._upstream.status,
            content_type=self._upstream.headers.get("Content-Type", ""),
            body=bytes(self._progress.body) if is_stored else None,
        )


def _may_send(scheduler: Scheduler, permit: Permit) -> bool:
    """Return whether a permit's server may get a request; it refers to no run."""
    return not scheduler.is_leaving(permit)


def _run_outcome(status: int) -> RunOutcome:
    if status in REFUSED_STATUSES:
        return RunOutcome.REFUSED
    return RunOutcome.FAILED if status >= 500 else RunOutcome.COMPLETED
