"""The HTTP API of an entry for callers."""

import asyncio
import ssl

from aiohttp import web
from expression import Result

from fuchsiacroft.config.current_document import CurrentDocument
from fuchsiacroft.config.route_table import CallerLimits
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.entry import body_relay, memory_metrics, problems, request_validation
from fuchsiacroft.entry.admission import Admission, AdmissionResult
from fuchsiacroft.entry.caller_server import CallerServer
from fuchsiacroft.entry.dispatch import Dispatcher
from fuchsiacroft.entry.exchange import Exchange, new_request_id
from fuchsiacroft.entry.memory_budget import Use
from fuchsiacroft.entry.planned_stop import PlannedStop
from fuchsiacroft.entry.problems import ExecutionState, Problem, draining_problem
from fuchsiacroft.entry.request import CallerRequest
from fuchsiacroft.entry.request_body import BodyBuffer, BodyReads
from fuchsiacroft.entry.response_metrics import ResponseMetrics
from fuchsiacroft.entry.slow_reader import wait_until_read
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.metrics import Metrics

MODEL_PATHS = frozenset({"/v1/completions", "/v1/chat/completions"})
PLAIN_PREFIX = "/services/"
READINESS_PROPAGATION_S = 1.0
DRAIN_POLL_S = 0.05
ANSWER_MARGIN_S = 0.2
"""Before the stop, requests that no server has answered are answered."""
DRAIN_RETRY_AFTER_S = 1.0
LIMITS = CallerLimits(
    max_header_bytes=8_190, header_timeout_s=75.0, idle_timeout_s=75.0
)
"""aiohttp's header limit, and the longest idle time of a caller at a proxy."""


class CallerApi(Service):
    """Serves `/v1/completions`, `/v1/chat/completions` and `/services/`."""

    name = "callers"

    def __init__(
        self, settings: Settings, metrics: Metrics, tls: ssl.SSLContext | None
    ) -> None:
        self._settings = settings
        self._tls = tls
        self._metrics = ResponseMetrics(metrics)
        self._body_reads = BodyReads(DRAIN_RETRY_AFTER_S)
        self._budget, self._memory_metrics = memory_metrics.create(settings, metrics)
        self._bodies = BodyBuffer(self._body_reads, self._budget)
        self._in_progress: set[Exchange] = set()
        self._draining = False
        self._rejecting = False
        self._stop: PlannedStop | None = None
        self._server: CallerServer | None = None

    async def start(self, kernel: Kernel) -> None:
        """Start to listen for callers."""
        self._document = kernel.get("document", CurrentDocument)
        self._admission = Admission(self._document, self._bodies)
        self._dispatcher = kernel.get("dispatcher", Dispatcher)
        self._dispatcher.on_detached_run_end.append(self._metrics.record_detached_run)
        self._server = CallerServer(
            self._handle,
            self._reject_unparsed,
            lambda: LIMITS,
            self._settings.inbound.for_callers(),
        )
        await self._server.listen(self._settings.addresses.callers, self._tls)

    async def drain(self) -> None:
        """Report not ready, then reject new requests, then wait for running ones.

        Bodies are read on meanwhile; who can't send one in time is refused at once.
        Requests that still run shortly before the end get an answer.
        """
        self._draining = True
        rejects_at = now() + READINESS_PROPAGATION_S
        deadline = rejects_at + self._settings.drain_timeout_s
        answers_at = deadline - ANSWER_MARGIN_S
        self._server.drains_until = deadline
        self._body_reads.stop_at(answers_at)
        self._stop = PlannedStop(answers_at, self._dispatcher.durations)
        await asyncio.sleep(READINESS_PROPAGATION_S)
        self._rejecting = True
        await self._wait_for_requests(answers_at)
        if self._has_work:
            event("error", "drain_timed_out", in_progress=len(self._in_progress))
            for exchange in self._in_progress:
                exchange.end()
        await self._wait_for_requests(deadline)

    async def _wait_for_requests(self, deadline: float) -> None:
        """Wait until no request is in progress, closing idle connections meanwhile."""
        while now() < deadline:
            self._server.close_idle()
            if not self._has_work and not self._server.is_busy:
                return
            await asyncio.sleep(DRAIN_POLL_S)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            await self._server.close()

    def dump(self) -> dict:
        """Return the requests in progress."""
        return {
            "in_progress": len(self._in_progress),
            "draining": self._draining,
            "held_body_bytes": self._bodies.buffered_bytes,
            "requests": [
                _describe(exchange) for exchange in list(self._in_progress)[:1_000]
            ],
        }

    def not_ready_reason(self) -> str | None:
        """Return why this entry is not ready, or None if it is."""
        return "draining" if self._draining else None

    @property
    def _has_work(self) -> bool:
        return bool(self._in_progress) or self._dispatcher.claimed_runs > 0

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        exchange = Exchange(
            http,
            new_request_id(),
            now(),
            body_reads=self._body_reads,
            body_claim=self._bodies.open_claim(),
            budget=self._budget,
        )
        http.protocol.has_received_request = True
        self._in_progress.add(exchange)
        status = 0
        try:
            await self._wait_for_earlier(exchange)
            response = await self._respond_until_stop(exchange)
            status = response.status
            if self._draining and not response.prepared:
                http.protocol.close_after(http, response)
            return response
        except (ConnectionError, asyncio.CancelledError):
            exchange.caller_disconnected = True
            raise
        except Exception as exc:
            status = 500
            event("error", "request_failed", request_id=exchange.request_id, error=exc)
            return self._internal_error(exchange)
        finally:
            self._in_progress.discard(exchange)
            exchange.body_claim.release()
            self._memory_metrics.update()
            self._metrics.record(exchange, status, self._document)

    async def _wait_for_earlier(self, exchange: Exchange) -> None:
        """Wait until the caller has read most of the connection's earlier responses."""
        if not exchange.http.protocol.writing_paused:
            return
        claim = self._budget.open(Use.RESPONSE)
        try:
            await wait_until_read(
                exchange.http, claim, timeout_s=body_relay.WRITE_TIMEOUT_S
            )
        finally:
            claim.release()

    def _internal_error(self, exchange: Exchange) -> web.Response:
        if exchange.http.writer.output_size > 0:
            raise ConnectionError("the response has already begun")
        return exchange.error_response(problems.INTERNAL_ERROR)

    async def _respond_until_stop(self, exchange: Exchange) -> web.StreamResponse:
        """Return the response; one that has not begun when the entry stops says so."""
        try:
            async with asyncio.timeout(None) as exchange.timeout:
                return await self._respond(exchange)
        except TimeoutError:
            if not exchange.timeout.expired():
                raise
            exchange.caller_disconnected = False
            if exchange.http.writer.output_size > 0:
                raise ConnectionError("the response has already begun") from None
            has_run = exchange.request is not None
            ran = ExecutionState.MAYBE if has_run else ExecutionState.NO
            detail = "this entry stopped before the response"
            problem = draining_problem(detail, DRAIN_RETRY_AFTER_S, ran)
            return exchange.error_response(problem)
        finally:
            # It refers to the task, which may hold an exception that refers to it.
            exchange.timeout = None

    async def _respond(self, exchange: Exchange) -> web.StreamResponse:
        exchange.is_draining = self._draining
        if self._rejecting:
            return self._stopping_response(exchange)
        problem = request_validation.request_problem(exchange.http)
        if problem is not None:
            response = exchange.error_response(problem)
            response.force_close()
            return response
        match await self._admit(exchange):
            case Result(tag="ok", ok=request):
                exchange.request = request
            case Result(error=problem):
                return exchange.error_response(problem)
        if not self._is_accepted(request):
            return self._stopping_response(exchange)
        return await self._dispatcher.serve(exchange)

    def _is_accepted(self, request: CallerRequest) -> bool:
        """Return whether a request is likely to end before this entry stops."""
        if self._stop is None:
            return True
        permit_request = request.permit_request
        return self._stop.accepts(
            request.spec.name,
            now() + permit_request.timeout_s,
            may_repeat=permit_request.idempotent,
        )

    def _stopping_response(self, exchange: Exchange) -> web.Response:
        detail = "this entry is stopping; the request did not run"
        return exchange.error_response(draining_problem(detail, DRAIN_RETRY_AFTER_S))

    async def _admit(self, exchange: Exchange) -> AdmissionResult:
        target = exchange.http.raw_path
        path = target.partition("?")[0]
        if path in MODEL_PATHS:
            if exchange.http.method != "POST":
                return _rejected(405, "method_refused", "completions require POST")
            return await self._admission.admit_model(exchange)
        if path.startswith(PLAIN_PREFIX):
            name, slash, rest = target[len(PLAIN_PREFIX) :].partition("/")
            if not slash:
                name, separator, query = name.partition("?")
                rest = separator + query
            return await self._admission.admit_plain(exchange, name, "/" + rest)
        return _rejected(
            404, "unknown_path", "no such path; see the documentation for callers"
        )

    def _reject_unparsed(
        self, http: web.BaseRequest, status: int, message: str
    ) -> web.StreamResponse:
        exchange = Exchange(http, new_request_id(), now())
        response = exchange.error_response(problems.parse_problem(status, message))
        self._metrics.record(exchange, status, self._document)
        return response


def create(
    settings: Settings, metrics: Metrics, tls: ssl.SSLContext | None = None
) -> CallerApi:
    """Return the caller API service."""
    return CallerApi(settings, metrics, tls)


def _rejected(status: int, code: str, detail: str) -> AdmissionResult:
    return Result.Error(Problem(status, code, detail))


def _describe(exchange: Exchange) -> dict:
    request = exchange.request
    description = {
        "request_id": exchange.request_id,
        "seconds": round(now() - exchange.started_at, 3),
    }
    if request is not None:
        description |= {
            "service": request.spec.name,
            "tier": request.tier,
            "workspace": request.permit_request.workspace,
        }
    return description
