"""The callers' HTTP interface of an entry."""

import asyncio
import ssl

from aiohttp import web
from expression import Result

from fuchsiacroft.config.current_document import CurrentDocument
from fuchsiacroft.config.route_table import CallerLimits
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.entry import problems, request_validation
from fuchsiacroft.entry.admission import Admission, Admitted
from fuchsiacroft.entry.answer_metrics import AnswerMetrics
from fuchsiacroft.entry.caller_server import CallerServer
from fuchsiacroft.entry.dispatch import Dispatcher
from fuchsiacroft.entry.exchange import Exchange, new_request_id
from fuchsiacroft.entry.problems import ExecutionState, Problem
from fuchsiacroft.entry.request_body import BodyBuffer
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.metrics import Metrics

MODEL_PATHS = frozenset({"/v1/completions", "/v1/chat/completions"})
PLAIN_PREFIX = "/services/"
NOTICE_S = 1.0
DRAIN_POLL_S = 0.05
DRAIN_RETRY_AFTER_S = 1.0
LIMITS = CallerLimits(
    max_header_bytes=8_190, header_timeout_s=75.0, idle_timeout_s=75.0
)
"""aiohttp's bound on a header, and a caller's longest silence at a proxy."""


class CallerApi(Service):
    """Serves `/v1/completions`, `/v1/chat/completions` and `/services/`."""

    name = "callers"

    def __init__(
        self, settings: Settings, metrics: Metrics, tls: ssl.SSLContext | None
    ) -> None:
        self._settings = settings
        self._tls = tls
        self._metrics = AnswerMetrics(metrics)
        self._bodies = BodyBuffer()
        self._in_progress: set[Exchange] = set()
        self._draining = False
        self._refusing = False
        self._server: CallerServer | None = None

    async def start(self, kernel: Kernel) -> None:
        """Listen for callers."""
        self._document = kernel.get("document", CurrentDocument)
        self._admission = Admission(self._document, self._bodies)
        self._dispatcher = kernel.get("dispatcher", Dispatcher)
        self._dispatcher.ended_alone.append(self._metrics.note_run_ended_alone)
        self._server = CallerServer(self._handle, self._refuse, lambda: LIMITS)
        await self._server.listen(self._settings.addresses.callers, self._tls)

    async def drain(self) -> None:
        """Be not ready first, then refuse new requests, then end those running."""
        self._draining = True
        await asyncio.sleep(NOTICE_S)
        self._refusing = True
        self._server.close_idle()
        deadline = now() + self._settings.drain_timeout_s
        while self._is_busy and now() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        if self._is_busy:
            event("error", "drain_timed_out", in_progress=len(self._in_progress))

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
                _described(exchange) for exchange in list(self._in_progress)[:1_000]
            ],
        }

    def not_ready_reason(self) -> str | None:
        """Return why callers should go elsewhere, or None."""
        return "draining" if self._draining else None

    @property
    def _is_busy(self) -> bool:
        return bool(self._in_progress) or self._dispatcher.claimed_runs > 0

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        exchange = Exchange(http, new_request_id(), now())
        http.protocol.has_received_request = True
        self._in_progress.add(exchange)
        status = 0
        try:
            response = await self._answer(exchange)
            status = response.status
            if self._draining and not response.prepared:
                response.force_close()
            return response
        except (ConnectionError, asyncio.CancelledError):
            exchange.left = True
            raise
        except Exception as exc:
            status = 500
            event("error", "request_failed", request_id=exchange.request_id, error=exc)
            return self._failed(exchange)
        finally:
            self._in_progress.discard(exchange)
            if exchange.accepted is not None:
                self._bodies.release(exchange.accepted.body)
            self._metrics.note(exchange, status, self._document)

    def _failed(self, exchange: Exchange) -> web.Response:
        if exchange.http.writer.output_size > 0:
            raise ConnectionError("the answer has begun")
        return exchange.refuse(problems.INTERNAL_ERROR)

    async def _answer(self, exchange: Exchange) -> web.StreamResponse:
        exchange.drains = self._draining
        if self._refusing:
            detail = "this entry is stopping"
            problem = Problem(
                503, "draining", detail, ExecutionState.NO, DRAIN_RETRY_AFTER_S
            )
            return exchange.refuse(problem)
        problem = request_validation.fault(exchange.http)
        if problem is not None:
            response = exchange.refuse(problem)
            response.force_close()
            return response
        match await self._admit(exchange):
            case Result(tag="ok", ok=accepted):
                exchange.accepted = accepted
                return await self._dispatcher.serve(exchange)
            case Result(error=problem):
                return exchange.refuse(problem)

    async def _admit(self, exchange: Exchange) -> Admitted:
        target = exchange.http.raw_path
        path = target.partition("?")[0]
        if path in MODEL_PATHS:
            if exchange.http.method != "POST":
                return _refused(405, "method_refused", "completions take POST")
            return await self._admission.model(exchange)
        if path.startswith(PLAIN_PREFIX):
            name, slash, rest = target[len(PLAIN_PREFIX) :].partition("/")
            if not slash:
                name, mark, query = name.partition("?")
                rest = mark + query
            return await self._admission.plain(exchange, name, "/" + rest)
        return _refused(404, "unknown_path", "see the callers' page for what is served")

    def _refuse(
        self, http: web.BaseRequest, status: int, message: str
    ) -> web.StreamResponse:
        exchange = Exchange(http, new_request_id(), now())
        response = exchange.refuse(problems.unparsed(status, message))
        self._metrics.note(exchange, status, self._document)
        return response


def create(
    settings: Settings, metrics: Metrics, tls: ssl.SSLContext | None = None
) -> CallerApi:
    """Return the callers' interface of an entry."""
    return CallerApi(settings, metrics, tls)


def _refused(status: int, code: str, detail: str) -> Admitted:
    return Result.Error(Problem(status, code, detail))


def _described(exchange: Exchange) -> dict:
    accepted = exchange.accepted
    described = {
        "request_id": exchange.request_id,
        "seconds": round(now() - exchange.started_at, 3),
    }
    if accepted is not None:
        described |= {
            "service": accepted.spec.name,
            "tier": accepted.tier,
            "workspace": accepted.ask.workspace,
        }
    return described
