"""The path of one request: ledger, permit, one dispatch, answer."""

import asyncio
from dataclasses import dataclass

import aiohttp
import msgspec
from aiohttp import web
from expression import Error, Ok, Result

from fuchsiacroft.control.ledger import (
    MAX_ANSWER_BYTES,
    KeyState,
    KeyStatus,
    StoredAnswer,
)
from fuchsiacroft.entry import problems, streams
from fuchsiacroft.entry.backend_client import BackendClient
from fuchsiacroft.entry.ledger_client import LedgerClient
from fuchsiacroft.entry.problems import REQUEST_ID_HEADER, Problem, Ran
from fuchsiacroft.entry.request import CallerRequest
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.routing.ask import (
    Permit,
    Refusal,
    RefusalReason,
    RunOutcome,
    RunReport,
)
from fuchsiacroft.routing.scheduler import Scheduler
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event

MAX_CONNECT_TRIES = 3
LEASE_MARGIN_S = 30.0
RETRY_AFTER_S = 2.0

REFUSAL_STATUS = {
    RefusalReason.NO_BACKEND_SERVER: 503,
    RefusalReason.OVERLOADED: 429,
    RefusalReason.TIMED_OUT: 504,
    RefusalReason.QUARANTINED: 422,
    RefusalReason.DRAINING: 503,
}


@dataclass(frozen=True, slots=True)
class Opened:
    """A run whose answer has begun."""

    permit: Permit
    upstream: aiohttp.ClientResponse
    started_at: float


class Dispatcher(Service):
    """Takes an admitted request to its answer."""

    name = "dispatcher"

    async def start(self, kernel: Kernel) -> None:
        """Look up the services on the path."""
        self._scheduler = kernel.get("scheduler", Scheduler)
        self._client = kernel.get("backend_client", BackendClient)
        self._ledger = kernel.get("ledger_client", LedgerClient)

    async def serve(self, http: web.Request, req: CallerRequest) -> web.StreamResponse:
        """Return the answer to a request; every request gets one."""
        if req.ledger_key is None:
            return await self._run(http, req)
        match await self._ledger.look_up(req.ledger_key):
            case Result(tag="ok", ok=status) if status.state is not KeyState.FREE:
                return _known(status, req.request_id)
            case Result(tag="error"):
                return problems.response(_no_ledger(), req.request_id)
        return await self._run(http, req)

    async def _run(self, http: web.Request, req: CallerRequest) -> web.StreamResponse:
        deadline = now() + req.ask.timeout_s
        match await self._open(http, req, deadline):
            case Result(tag="ok", ok=opened):
                return await self._answer(http, req, opened, deadline)
            case Result(error=response):
                return response

    async def _open(
        self, http: web.Request, req: CallerRequest, deadline: float
    ) -> Result[Opened, web.StreamResponse]:
        for _ in range(MAX_CONNECT_TRIES):
            match await self._scheduler.acquire(_remaining(req, deadline)):
                case Result(tag="ok", ok=permit):
                    pass
                case Result(error=refusal):
                    return Error(problems.response(_refused(refusal), req.request_id))
            opened = await self._dispatch(http, req, permit, deadline)
            if opened is not None:
                return opened
        problem = Problem(
            503, "no_backend_server", "none could be reached", Ran.NO, RETRY_AFTER_S
        )
        return Error(problems.response(problem, req.request_id))

    async def _dispatch(
        self, http: web.Request, req: CallerRequest, permit: Permit, deadline: float
    ) -> Result[Opened, web.StreamResponse] | None:
        outcome = RunOutcome.NOT_DISPATCHED
        started_at = now()
        try:
            claimed = await self._claim(req, permit, deadline)
            if claimed is not None:
                return Error(claimed)
            outcome = RunOutcome.CONNECTION_LOST
            body = req.body if req.body is not None else http.content
            match await self._client.open(permit, req, body):
                case Result(tag="ok", ok=upstream):
                    outcome = None
                    return Ok(Opened(permit, upstream, started_at))
                case Result(error=outcome):
                    return self._not_opened(req, permit, outcome)
        finally:
            if outcome is not None:
                self._scheduler.release(permit, RunReport(outcome))

    def _not_opened(self, req: CallerRequest, permit: Permit, outcome: RunOutcome):
        if outcome is RunOutcome.NOT_DISPATCHED:
            if req.ledger_key is not None:
                self._ledger.release(req.ledger_key, permit.permit_id)
            return None
        self._settle(req, permit, None)
        problem = Problem(502, "backend_server_lost", "no answer came", Ran.MAYBE)
        return Error(problems.response(problem, req.request_id))

    async def _claim(
        self, req: CallerRequest, permit: Permit, deadline: float
    ) -> web.Response | None:
        if req.ledger_key is None:
            return None
        lease_s = max(0.0, deadline - now()) + LEASE_MARGIN_S
        match await self._ledger.claim(req.ledger_key, permit.permit_id, lease_s):
            case Result(tag="ok", ok=KeyStatus(state=KeyState.GRANTED)):
                return None
            case Result(tag="ok", ok=status):
                return _known(status, req.request_id)
        return problems.response(_no_ledger(), req.request_id)

    async def _answer(
        self, http: web.Request, req: CallerRequest, opened: Opened, deadline: float
    ) -> web.StreamResponse:
        progress = streams.Progress(opened.started_at)
        if req.ledger_key is not None:
            progress.keep_bytes = MAX_ANSWER_BYTES
        response = streams.head(opened.upstream, req.request_id)
        outcome = RunOutcome.CANCELLED
        try:
            await response.prepare(http)
            async with asyncio.timeout_at(deadline):
                await streams.relay(opened.upstream, response, progress)
            if streams.is_whole(req.stream, opened.upstream.status, progress):
                outcome = RunOutcome.COMPLETED
                await response.write_eof()
            else:
                outcome = RunOutcome.CONNECTION_LOST
                await self._break_off(http, response, "the backend server broke off")
        except (aiohttp.ClientPayloadError, aiohttp.ClientConnectionError):
            outcome = RunOutcome.CONNECTION_LOST
            await self._break_off(http, response, "the backend server was lost")
        except TimeoutError:
            await self._client.cancel(opened.permit)
            await self._break_off(http, response, "the timeout ended the run")
        except (ConnectionError, asyncio.CancelledError):
            self._cancel_soon(opened.permit)
            raise
        finally:
            opened.upstream.close()
            self._scheduler.release(opened.permit, _report(outcome, progress))
            answer = _stored(opened, progress, outcome)
            self._settle(req, opened.permit, answer)
        return response

    def _cancel_soon(self, permit: Permit) -> None:
        asyncio.get_running_loop().create_task(self._client.cancel(permit))

    async def _break_off(
        self, http: web.Request, response: web.StreamResponse, detail: str
    ) -> None:
        problem = Problem(502, "broken_off", detail, Ran.YES)
        event("warning", "answer_broken_off", detail=detail)
        if response.content_type == "text/event-stream":
            body = problems.body(problem)
            await response.write(b"event: error\ndata: " + body + b"\n\n")
        if http.transport is not None:
            http.transport.abort()

    def _settle(
        self, req: CallerRequest, permit: Permit, answer: StoredAnswer | None
    ) -> None:
        if req.ledger_key is not None:
            self._ledger.settle(req.ledger_key, permit.permit_id, answer)


def create() -> Dispatcher:
    """Return the dispatcher of an entry."""
    return Dispatcher()


def _remaining(req: CallerRequest, deadline: float):
    return msgspec.structs.replace(req.ask, timeout_s=max(0.0, deadline - now()))


def _refused(refusal: Refusal) -> Problem:
    return Problem(
        REFUSAL_STATUS[refusal.reason],
        refusal.reason.value,
        "the request did not run",
        Ran.NO,
        refusal.retry_after_s,
    )


def _no_ledger() -> Problem:
    detail = "no quorum of control VMs answers, so the request was not run"
    return Problem(503, "no_quorum", detail, Ran.NO, RETRY_AFTER_S)


def _known(status: KeyStatus, request_id: str) -> web.Response:
    match status.state:
        case KeyState.ANSWERED:
            return _stored_response(status.answer, request_id)
        case KeyState.IN_PROGRESS:
            detail = "the request with this key is in progress"
            problem = Problem(409, "in_progress", detail, Ran.YES, RETRY_AFTER_S)
        case KeyState.OTHER_REQUEST:
            detail = "this key was used for another request; this one did not run"
            problem = Problem(422, "key_reused", detail, Ran.NO)
        case KeyState.FULL:
            detail = "the ledger is full; the request did not run"
            problem = Problem(503, "ledger_full", detail, Ran.NO, RETRY_AFTER_S)
        case KeyState.EXPIRED:
            detail = "the key's retention has ended; its request may have run"
            problem = Problem(409, "key_expired", detail, Ran.MAYBE)
        case _:
            detail = "the request with this key may have run; its outcome is unknown"
            problem = Problem(409, "outcome_unknown", detail, Ran.MAYBE)
    return problems.response(problem, request_id)


def _stored_response(answer: StoredAnswer, request_id: str) -> web.Response:
    if answer.body is None:
        detail = f"the request ran with status {answer.status}; its body is not kept"
        problem = Problem(409, "answer_not_kept", detail, Ran.YES)
        return problems.response(problem, request_id)
    headers = {"Content-Type": answer.content_type} if answer.content_type else {}
    headers |= {REQUEST_ID_HEADER: request_id, "Fuchsiacroft-Stored": "yes"}
    return web.Response(status=answer.status, body=answer.body, headers=headers)


def _stored(
    opened: Opened, progress: streams.Progress, outcome: RunOutcome
) -> StoredAnswer | None:
    if outcome is not RunOutcome.COMPLETED:
        return None
    kept = len(progress.kept) <= progress.keep_bytes
    return StoredAnswer(
        status=opened.upstream.status,
        content_type=opened.upstream.headers.get("Content-Type", ""),
        body=bytes(progress.kept) if kept else None,
    )


def _report(outcome: RunOutcome, progress: streams.Progress) -> RunReport:
    return RunReport(
        outcome=outcome,
        first_token_s=progress.first_token_s,
        token_gap_s=progress.token_gap_s,
        duration_s=now() - progress.started_at,
        output_tokens=progress.tokens,
    )
