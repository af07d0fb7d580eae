"""The gateway's HTTP frontend: caller connections and draining."""

import asyncio

from aiohttp import web

from fuchsiacroft.config.route_source import RouteSource
from fuchsiacroft.config.route_table import CallerLimits
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.entry import problems
from fuchsiacroft.entry.caller_server import CLOSE_GRACE_S, CallerServer
from fuchsiacroft.gateway.forwarder import Forwarder, ResponseAbortedError
from fuchsiacroft.gateway.request_context import RequestContext
from fuchsiacroft.gateway.request_metrics import RequestMetrics
from fuchsiacroft.gateway.routed_request import ProtocolAdapter
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.utils import connections
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.metrics import Metrics

READINESS_PROPAGATION_S = 2.5
"""The load balancer polls once a second and stops sending after two failed polls."""
DRAIN_POLL_S = 0.05
ANSWER_MARGIN_S = 0.2
"""Before the stop, requests that no server has answered are answered."""


class Frontend(Service):
    """Accepts caller connections and hands each request to the forwarder."""

    name = "front"

    def __init__(
        self, settings: Settings, protocol: ProtocolAdapter, metrics: RequestMetrics
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._protocol = protocol
        self._in_progress: set[RequestContext] = set()
        self._draining = False
        self._server: CallerServer | None = None

    async def start(self, kernel: Kernel) -> None:
        """Start to listen for callers."""
        self._forwarder = kernel.get("forwarder", Forwarder)
        self._roster = kernel.get("roster", Roster)
        self._route_source = kernel.get("route_table", RouteSource)
        self._server = CallerServer(
            self._handle,
            self._reject_unparsed,
            self._limits,
            self._settings.inbound.for_callers(),
            has_total_head_limit=True,
        )
        await self._server.listen(self._settings.addresses.callers, None)

    async def drain(self) -> None:
        """Report not ready, then wait for the requests in progress.

        New requests are served until the load balancer has noticed, unless they will
        probably run longer than the stop allows, and from then on if their deadline is
        before it. Bodies are read on meanwhile; one that can't be complete in time is
        refused at once. Requests that are still in progress shortly before
        `drain_timeout_s` get an answer, or an abort if it has begun.
        """
        self._draining = True
        self._roster.start_draining()
        deadline = now() + self._settings.drain_timeout_s
        answers_at = deadline - ANSWER_MARGIN_S
        self._server.drains_until = deadline
        self._forwarder.begin_stop(answers_at)
        await asyncio.sleep(READINESS_PROPAGATION_S)
        self._forwarder.refuse_uncertain()
        self._refuse_arriving(answers_at)
        await self._wait_for_requests(answers_at - CLOSE_GRACE_S)
        await self._server.stop_listening()
        await self._wait_for_requests(answers_at)
        if self._in_progress:
            event("error", "drain_timed_out", in_progress=len(self._in_progress))
            self._end_requests()
        await self._wait_for_requests(deadline)
        self._abort_requests()

    async def _wait_for_requests(self, deadline: float) -> None:
        """Wait until no request is in progress, closing idle connections meanwhile."""
        while now() < deadline:
            self._server.close_idle()
            if not self._in_progress and not self._server.is_busy:
                return
            await asyncio.sleep(DRAIN_POLL_S)

    def _refuse_arriving(self, answers_at: float) -> None:
        """End the requests whose bodies still arrive and that may outlast the stop."""
        for context in self._in_progress:
            if context.is_receiving and context.deadline > answers_at:
                context.end()

    def _end_requests(self) -> None:
        """End all requests in progress, with an answer if none has begun."""
        for context in self._in_progress:
            context.end()

    def _abort_requests(self) -> None:
        """Abort the connections of all requests in progress, ending their runs."""
        for context in list(self._in_progress):
            context.aborted = True
            self._abort(context.http)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            await self._server.close()

    def dump(self) -> dict:
        """Return the requests in progress."""
        return {
            "draining": self._draining,
            "in_progress": [
                {
                    "request_id": context.request_id,
                    "seconds": round(now() - context.started_at, 3),
                    "tried": context.tried,
                }
                for context in list(self._in_progress)[:1_000]
            ],
        }

    def not_ready_reason(self) -> str | None:
        """Return why this entry is not ready, or None if it is."""
        return "draining" if self._draining else None

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        context = RequestContext(http, self._protocol.request_id(http), now())
        http.protocol.has_received_request = True
        self._in_progress.add(context)
        status = 0
        try:
            response = await self._forwarder.serve(context)
            status = response.status
            if self._draining and not response.prepared:
                http.protocol.close_after(http, response)
            await self._forwarder.finish(context, response)
            return response
        except ResponseAbortedError:
            self._abort(http)
        except (ConnectionError, asyncio.CancelledError):
            context.caller_disconnected = not context.aborted
            raise
        except Exception as exc:
            status = 500
            event(
                "error",
                "request_failed",
                request_id=context.request_id,
                error=repr(exc),
            )
            return self._internal_error(context)
        finally:
            self._in_progress.discard(context)
            self._forwarder.release(context)
            self._record(context, status)
        # Outside of the handler, so that it doesn't hold what the abort has left.
        raise ConnectionError("the response was aborted")

    def _limits(self) -> CallerLimits:
        table = self._route_source.table
        return table.limits if table is not None else CallerLimits()

    def _internal_error(self, context: RequestContext) -> web.Response:
        if context.started_response is not None:
            self._abort(context.http)
            raise ConnectionError("the response has already begun")
        context.problem = problems.INTERNAL_ERROR
        return self._protocol.error_response(context.problem, context.request_id)

    def _abort(self, http: web.BaseRequest) -> None:
        """Reset a connection, so that a partial response does not look complete."""
        if http.transport is not None:
            connections.reset(http.transport)

    def _reject_unparsed(
        self, http: web.BaseRequest, status: int, message: str
    ) -> web.StreamResponse:
        context = RequestContext(http, "", now())
        context.problem = problems.parse_problem(status, message)
        self._record(context, status)
        return self._protocol.error_response(context.problem, context.request_id)

    def _record(self, context: RequestContext, status: int) -> None:
        version, age_s = self._route_source.version, self._route_source.age_s
        self._metrics.record_version(version, age_s)
        self._metrics.record(context, status, version, age_s)


def create(settings: Settings, protocol: ProtocolAdapter, metrics: Metrics) -> Frontend:
    """Return the frontend service."""
    return Frontend(settings, protocol, RequestMetrics(metrics))
