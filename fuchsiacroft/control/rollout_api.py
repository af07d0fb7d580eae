"""The part of the operators' API that orders and shows rollouts."""

from aiohttp import web
from expression import Result

from fuchsiacroft.config.validation import decode_wire
from fuchsiacroft.control.api_auth import (
    error_response,
    json_response,
    log_audit_event,
)
from fuchsiacroft.control.api_messages import (
    RolloutOrder,
    RolloutsResponse,
    RolloutStatus,
)
from fuchsiacroft.control.configuration import ConfigurationState
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.operations import Operations
from fuchsiacroft.rollouts import controller
from fuchsiacroft.rollouts.controller import OrderError, RolloutController
from fuchsiacroft.rollouts.limits import RolloutLimits
from fuchsiacroft.rollouts.run_lengths import USUAL_RUN_SHARE
from fuchsiacroft.rollouts.state import Rollout, RolloutState
from fuchsiacroft.utils.metrics import Metrics

TIMEOUT_S = 3.0
MAX_ORDER_BYTES = 64 * 1024
NO_QUORUM = "no quorum of control VMs answers"
NO_COORDINATORS = "no entry places requests by rollouts here; nothing changed"
_ERRORS = {
    OrderError.UNKNOWN_SERVICE: (404, "the document has no such service"),
    OrderError.OTHER_VERSION: (409, "a rollout to another version is running"),
    OrderError.UNSURE: (503, f"{NO_QUORUM}; resend the order"),
}


class RolloutApi(Service):
    """The route `/v1/rollouts` on the operators' address of a control VM."""

    name = "rollout_api"

    async def start(self, kernel: Kernel) -> None:
        """Get the controller from the kernel."""
        self._rollouts = kernel.get("rollouts", RolloutController)

    def add_routes(self, operations: Operations) -> None:
        """Add the routes; must be called before the listener starts."""
        operations.app.router.add_post("/v1/rollouts", self._post)
        operations.app.router.add_get("/v1/rollouts", self._get)

    async def _post(self, req: web.Request) -> web.Response:
        if (req.content_length or 0) > MAX_ORDER_BYTES:
            return error_response(413, f"the order exceeds {MAX_ORDER_BYTES} bytes")
        match decode_wire(await req.read(), RolloutOrder):
            case Result(tag="ok", ok=order):
                pass
            case Result(error=issue):
                return error_response(400, str(issue))
        if not self._rollouts.hears_coordinators:
            return error_response(409, NO_COORDINATORS)
        match await self._rollouts.order(
            order.service, order.to, order.duration_s, TIMEOUT_S
        ):
            case Result(tag="error", error=failure):
                return error_response(*_ERRORS[failure])
        log_audit_event(
            "info", "rollout_accepted", req, service=order.service, version=order.to
        )
        match await self._rollouts.read(order.service, TIMEOUT_S):
            case Result(tag="ok", ok=rollout):
                return json_response(200, _status(rollout))
        return error_response(503, f"{NO_QUORUM}; resend the order")

    async def _get(self, req: web.Request) -> web.Response:
        match await self._rollouts.read_all(TIMEOUT_S):
            case Result(tag="ok", ok=rollouts):
                statuses = [_status(rollout) for rollout in rollouts]
                return json_response(200, RolloutsResponse(statuses))
        return error_response(503, NO_QUORUM)


def create() -> RolloutApi:
    """Return the rollout routes of a control member."""
    return RolloutApi()


def create_controller(
    state: RolloutState, configuration: ConfigurationState, metrics: Metrics
) -> RolloutController:
    """Return the controller of rollouts of the document's services."""

    def longest_run_s(name: str) -> float:
        timeouts = [tier.timeout_s for tier in configuration.document.tiers]
        return USUAL_RUN_SHARE * max(timeouts, default=0.0)

    return controller.create(
        state,
        RolloutLimits(),
        metrics,
        lambda name: configuration.document.service(name) is not None,
        longest_run_s,
    )


def _status(rollout: Rollout) -> RolloutStatus:
    return RolloutStatus(
        service=rollout.service,
        to=rollout.to,
        state=rollout.outcome.value,
        stage=rollout.stage.value,
        share=rollout.share,
        duration_s=rollout.duration_s,
        elapsed_s=rollout.elapsed_s,
        reason=rollout.reason,
    )
