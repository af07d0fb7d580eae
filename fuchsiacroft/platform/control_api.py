"""HTTP API of a control member for replicas and the operator."""

from collections.abc import Awaitable, Callable

from aiohttp import web
from expression import Result

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.control.publisher import Publisher, PublishError, ReadError
from fuchsiacroft.entry import memory_metrics
from fuchsiacroft.entry.memory_budget import MemoryBudget
from fuchsiacroft.entry.memory_metrics import MemoryMetrics
from fuchsiacroft.entry.problems import Problem
from fuchsiacroft.entry.request_body import BodyBuffer, BodyReads
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.registry import ServerRegistry
from fuchsiacroft.platform import documents, heartbeats, rollout_calls
from fuchsiacroft.rollouts.controller import OrderError, RolloutController
from fuchsiacroft.rollouts.controller import ReadError as RolloutReadError
from fuchsiacroft.transport.codec import MAX_ENTRY_BYTES
from fuchsiacroft.utils.http import Listener
from fuchsiacroft.utils.inbound_limits import InboundLimits
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.metrics import Metrics

MAX_BODY_BYTES = 16 * 1024 * 1024
RESPONSE_TIMEOUT_S = 0.8
"""Callers try another node after 1 s without a response."""
TIMEOUT_S_PER_BYTE = 5e-6
"""Added to the timeout per byte, as callers wait longer for large bodies."""

BodyHandler = Callable[[web.Request, bytes], Awaitable[web.Response]]
Handler = Callable[[web.Request], Awaitable[web.Response]]


class ControlApi(Service):
    """Serves `/v1/config`, `/v1/replicas/ID` and `/v1/rollouts`."""

    name = "control_api"

    def __init__(
        self,
        address: str,
        limits: InboundLimits,
        budget: MemoryBudget,
        budget_metrics: MemoryMetrics,
    ) -> None:
        self._bodies = BodyBuffer(BodyReads(), budget)
        self._budget_metrics = budget_metrics
        app = web.Application()
        app.router.add_get("/v1/config", self._get_config)
        app.router.add_put("/v1/config", self._reads_body(self._put_config))
        app.router.add_put("/v1/replicas/{id}", self._reads_body(self._put_replica))
        app.router.add_delete(
            "/v1/replicas/{id}", self._reads_body(self._delete_replica)
        )
        app.router.add_post("/v1/rollouts", self._reads_body(self._post_rollout))
        app.router.add_get("/v1/rollouts/{service}", self._get_rollout)
        self._listener = Listener(app, address, name="control_api", limits=limits)

    async def start(self, kernel: Kernel) -> None:
        """Start listening."""
        self._publisher = kernel.get("publisher", Publisher)
        self._registry = kernel.get("registry", ServerRegistry)
        self._rollouts = kernel.get("rollouts", RolloutController)
        await self._listener.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._listener.stop()

    async def _get_config(self, req: web.Request) -> web.Response:
        match await self._publisher.read(RESPONSE_TIMEOUT_S):
            case Result(tag="ok", ok=published):
                return web.Response(
                    body=published.body, content_type="application/json"
                )
            case Result(error=ReadError.NOTHING_PUBLISHED):
                return _error_response(503, "no configuration yet")
        return _error_response(503, "no quorum; the newest version is unknown")

    def _reads_body(self, handle: BodyHandler) -> Handler:
        """Return a handler that gets the body, which is held until the response."""

        async def read_and_handle(req: web.Request) -> web.Response:
            claim = self._bodies.open_claim()
            try:
                match await self._bodies.read(req, MAX_BODY_BYTES, claim):
                    case Result(tag="ok", ok=body):
                        return await handle(req, body)
                    case Result(error=problem):
                        return _problem_response(problem)
            finally:
                claim.release()
                self._budget_metrics.update()

        return read_and_handle

    async def _put_config(self, req: web.Request, body: bytes) -> web.Response:
        match documents.parse(body):
            case Result(tag="ok", ok=table):
                pass
            case Result(error=issues):
                summary = "; ".join(str(issue) for issue in issues[:20])
                event("info", "configuration_refused", reason=summary)
                return _error_response(400, summary)
        timeout_s = RESPONSE_TIMEOUT_S + TIMEOUT_S_PER_BYTE * len(body)
        match await self._publisher.publish(table.version, body, timeout_s):
            case Result(tag="ok", ok=outcome):
                event(
                    "info",
                    "configuration_acknowledged",
                    version=table.version,
                    held=outcome.version,
                    taken=outcome.taken,
                )
                return web.json_response({"version": outcome.version})
            case Result(error=PublishError.TOO_LARGE):
                reason = f"takes over {MAX_ENTRY_BYTES} bytes, even compressed"
                event("info", "configuration_refused", reason=reason)
                return _error_response(413, reason)
            case Result(error=exc):
                event(
                    "warning",
                    "configuration_unanswered",
                    version=table.version,
                    reason=exc.value,
                )
        return _error_response(503, "no quorum; retry the request")

    async def _put_replica(self, req: web.Request, body: bytes) -> web.Response:
        replica_id = req.match_info["id"]
        match heartbeats.parse(replica_id, body):
            case Result(tag="ok", ok=record) if self._registry.lacks_start(record):
                reason = "born is missing, which other replicas tell"
                event("info", "heartbeat_refused", replica=replica_id, reason=reason)
            case Result(tag="ok", ok=record):
                return _report_response(replica_id, await self._registry.report(record))
            case Result(error=reason):
                event("info", "heartbeat_refused", replica=replica_id, reason=reason)
        return _error_response(400, reason)

    async def _delete_replica(self, req: web.Request, body: bytes) -> web.Response:
        replica_id = req.match_info["id"]
        match heartbeats.parse_leave(body):
            case Result(tag="ok", ok=born_ms):
                return _report_response(
                    replica_id, await self._registry.leave(replica_id, born_ms)
                )
            case Result(error=reason):
                event("info", "leave_refused", replica=replica_id, reason=reason)
        return _error_response(400, reason)

    async def _post_rollout(self, req: web.Request, body: bytes) -> web.Response:
        match rollout_calls.parse(body):
            case Result(tag="ok", ok=order):
                pass
            case Result(error=reason):
                event("info", "rollout_order_refused", reason=reason)
                return _error_response(400, reason)
        match await self._rollouts.order(
            order.service, order.to, order.duration_s, RESPONSE_TIMEOUT_S
        ):
            case Result(tag="ok", ok=outcome):
                return web.json_response({"to": outcome.to})
            case Result(error=failure):
                event(
                    "info",
                    "rollout_order_refused",
                    service=order.service,
                    version=order.to,
                    reason=failure.value,
                )
        status, reason = _ORDER_ERRORS[failure]
        return _error_response(status, reason)

    async def _get_rollout(self, req: web.Request) -> web.Response:
        service = req.match_info["service"]
        match await self._rollouts.read(service, RESPONSE_TIMEOUT_S):
            case Result(tag="ok", ok=rollout):
                return web.json_response(rollout_calls.state_of(rollout))
            case Result(error=RolloutReadError.NO_ROLLOUT):
                return _error_response(404, "the service has no rollout")
        return _error_response(503, "no quorum; the newest state is unknown")


_ORDER_ERRORS = {
    OrderError.UNKNOWN_SERVICE: (400, "no configuration has the service"),
    OrderError.OTHER_VERSION: (409, "a rollout to another version is running"),
    OrderError.UNSURE: (503, "no quorum; retry the request"),
}


def create(settings: Settings, address: str, metrics: Metrics) -> ControlApi:
    """Return the HTTP API of a control member."""
    budget, budget_metrics = memory_metrics.create(settings, metrics)
    return ControlApi(address, settings.inbound.for_listeners(), budget, budget_metrics)


def _report_response(replica_id: str, outcome: Result[None, str]) -> web.Response:
    match outcome:
        case Result(tag="ok"):
            return web.json_response({})
        case Result(error=reason):
            event("warning", "report_not_obeyed", replica=replica_id, reason=reason)
    return _error_response(503, reason)


def _problem_response(problem: Problem) -> web.Response:
    response = _error_response(problem.status, problem.detail)
    if problem.retry_after_s is not None:
        response.headers["Retry-After"] = f"{problem.retry_after_s:.3f}"
    return response


def _error_response(status: int, reason: str) -> web.Response:
    return web.json_response({"reason": reason}, status=status)
