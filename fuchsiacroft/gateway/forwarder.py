"""Carries a request to backend servers until it has its answer."""

import asyncio
import random

import xxhash
from aiohttp import web
from expression import Error, Ok, Result

from fuchsiacroft.config.route_source import RouteSource
from fuchsiacroft.config.route_table import Route
from fuchsiacroft.entry import request_validation
from fuchsiacroft.entry.problems import ExecutionState, Problem
from fuchsiacroft.entry.request_body import BodyBuffer
from fuchsiacroft.gateway.attempt import Attempt, Ending
from fuchsiacroft.gateway.routed_request import ProtocolAdapter, RoutedRequest
from fuchsiacroft.gateway.session import Session
from fuchsiacroft.gateway.upstream import Upstream
from fuchsiacroft.gateway.waiting import Waiting
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.placing.messages import Placed
from fuchsiacroft.placing.placer import Placer
from fuchsiacroft.routing.permits import PermitRequest, Refusal, RefusalReason
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event

MAX_SENDS = 4
"""Backend servers that one request is sent to, those that did not run it too."""
NOT_READY_RETRY_S = 0.5
DRAINING_RETRY_S = 0.05
"""Another entry takes the request at once."""
RETRY_SHARE = 0.3
"""Of a caller's time, the longest pause; it needs the rest for its next try."""
MIN_LEFT_S = 0.01
"""With less time left a backend server could not answer."""


class BrokenOffError(Exception):
    """An answer has begun that cannot be completed; the connection must end."""


class Forwarder(Service):
    """The steps of a request: read, place, try, and once more if that is safe."""

    name = "forwarder"

    def __init__(self, dialect: ProtocolAdapter) -> None:
        self._dialect = dialect
        self._bodies = BodyBuffer()
        self._random = random.Random()
        self._waiting = Waiting()

    async def start(self, kernel: Kernel) -> None:
        """Look up what a request needs."""
        self._tables = kernel.get("route_table", RouteSource)
        self._placer = kernel.get("placer", Placer)
        self._upstream = kernel.get("upstream", Upstream)

    def dump(self) -> dict:
        """Return the memory that bodies take."""
        return {"held_body_bytes": self._bodies.buffered_bytes}

    async def serve(
        self, session: Session, ends_at: float | None = None
    ) -> web.StreamResponse:
        """Return the answer to a request.

        The process stops at `ends_at`, on the loop's clock; a request that may
        last longer is refused.
        """
        problem = request_validation.framing_problem(session.http) or self._size_fault(
            session
        )
        if problem is not None:
            response = self._refuse(session, problem)
            response.force_close()
            return response
        match self._admit(session):
            case Result(tag="error", error=problem):
                return self._refuse(session, problem)
        if ends_at is not None and session.deadline > ends_at:
            detail = "this entry is stopping; the request did not run"
            problem = Problem(
                503, "draining", detail, ExecutionState.NO, DRAINING_RETRY_S
            )
            return self._refuse(session, problem)
        limits = self._tables.table.limits
        match await self._bodies.read(session.http, limits.max_body_bytes):
            case Result(tag="ok", ok=body):
                session.body = body
                session.fingerprint = _fingerprint(session.call, body)
            case Result(error=problem):
                return self._refuse(session, problem)
        try:
            async with asyncio.timeout_at(session.deadline):
                return await self._until_answered(session)
        except TimeoutError:
            return self._late(session)
        finally:
            self._bodies.release(session.body)

    def _size_fault(self, session: Session) -> Problem | None:
        table = self._tables.table
        if table is None:
            return None
        return request_validation.header_size_problem(
            session.http, table.limits.max_header_bytes
        )

    def _admit(self, session: Session) -> Result[None, Problem]:
        table = self._tables.table
        if table is None:
            detail = "no route table yet; the request did not run"
            return Error(
                Problem(503, "not_ready", detail, ExecutionState.NO, NOT_READY_RETRY_S)
            )
        match self._dialect.parse_request(session.http, table, self._choose_service):
            case Result(tag="ok", ok=call):
                session.call = call
                session.deadline = session.started_at + call.timeout_s
                return Ok(None)
            case Result(error=problem):
                return Error(problem)

    def _choose_service(self, route: Route) -> str:
        return route.choose_service(self._random)

    async def _until_answered(self, session: Session) -> web.StreamResponse:
        failure: web.StreamResponse | None = None
        while True:
            match await self._place(session):
                case Result(tag="ok", ok=placed):
                    pass
                case Result(error=refusal):
                    return self._end_without(session, failure, refusal)
            attempt = Attempt(
                session, placed, self._dialect, self._upstream, self._placer
            )
            ending = await attempt.run()
            if ending is Ending.ANSWERED:
                return attempt.answer
            if ending is Ending.FAILED:
                failure = attempt.answer
            if not self._may_go_on(session, ending):
                return self._end_without(session, failure, None)
            event(
                "info",
                "request_sent_again",
                request_id=session.request_id,
                after=ending.value,
                runs=session.runs,
                tried=",".join(session.tried),
                left_s=round(session.left_s, 3),
            )

    def _may_go_on(self, session: Session, ending: Ending) -> bool:
        if session.left_s < MIN_LEFT_S or len(session.tried) >= MAX_SENDS:
            return False
        if ending is Ending.NOT_RUN:
            return session.runs == 0 or session.may_run_again
        return session.may_run_again

    async def _place(self, session: Session) -> Result[Placed, Refusal]:
        call = session.call
        left_s = session.left_s
        ask = _ask(call, session, left_s)
        is_first = not session.tried
        asked_at = now()
        outcome = await self._placer.acquire(
            ask,
            charge=call.charge if is_first or session.runs else 0.0,
            repeats=session.sends > 0,
            wait_limits=self._waiting.patience(call, left_s),
        )
        session.waited_s += now() - asked_at
        return outcome

    def _end_without(
        self,
        session: Session,
        failure: web.StreamResponse | None,
        refusal: Refusal | None,
    ) -> web.StreamResponse:
        """Return the last answer that can be given, after the tries are over."""
        if session.begun is not None:
            raise BrokenOffError("no backend server continues the stream")
        if failure is not None:
            return failure
        if session.runs:
            detail = "the backend server broke off; the request may have run"
            return self._refuse(
                session, Problem(502, "broken_off", detail, ExecutionState.MAYBE)
            )
        return self._refuse(session, _problem(refusal, session.left_s))

    def _late(self, session: Session) -> web.StreamResponse:
        if session.begun is not None:
            raise BrokenOffError("the time of the request is over")
        if session.runs or session.sends:
            detail = "no answer within the time of the request; it may have run"
            return self._refuse(
                session, Problem(504, "timed_out", detail, ExecutionState.MAYBE)
            )
        detail = "no place within the time of the request; it did not run"
        problem = Problem(
            503, "timed_out", detail, ExecutionState.NO, NOT_READY_RETRY_S
        )
        return self._refuse(session, problem)

    def _refuse(self, session: Session, problem: Problem) -> web.Response:
        session.problem = problem
        return self._dialect.error_response(problem, session.request_id)


def _ask(call: RoutedRequest, session: Session, left_s: float) -> PermitRequest:
    return PermitRequest(
        request_id=call.request_id,
        service=call.service,
        rank=call.rank,
        timeout_s=left_s,
        workspace=call.workspace,
        size=call.size,
        idempotent=call.route.kind.is_retryable,
        fingerprint=session.fingerprint,
        first_token_target_s=call.route.latency_target_s,
        token_gap_target_s=call.route.gap_target_s,
        avoid=tuple(session.tried),
    )


def _fingerprint(call: RoutedRequest, body: bytes) -> str:
    """Return what a request that is sent again has in common with its first."""
    head = f"{call.workspace} {call.method} {call.host} {call.target}\n"
    return xxhash.xxh3_64_hexdigest(head.encode() + body)


def _problem(refusal: Refusal | None, left_s: float) -> Problem:
    if refusal is None:
        detail = "backend servers refused the request; it did not run"
        return Problem(503, "overloaded", detail, ExecutionState.NO, NOT_READY_RETRY_S)
    status = 429 if refusal.reason is RefusalReason.OVER_QUOTA else 503
    detail = f"{refusal.reason.value.replace('_', ' ')}; the request did not run"
    code = refusal.reason.value
    retry_after_s = min(refusal.retry_after_s, RETRY_SHARE * max(left_s, 0.0))
    return Problem(status, code, detail, ExecutionState.NO, retry_after_s)


def create(dialect: ProtocolAdapter) -> Forwarder:
    """Return the forwarder of an entry."""
    return Forwarder(dialect)
