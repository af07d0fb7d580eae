"""Keeps a stream at the service and the software version that began it.

What servers of two versions write doesn't fit together. So a stream that is taken up
by its caller, or sent on after its server broke off, goes on where it began or not at
all.
"""

from dataclasses import replace

from expression import Result

from fuchsiacroft.config.route_source import RouteSource
from fuchsiacroft.entry.problems import ExecutionState, Problem
from fuchsiacroft.gateway.request_context import RequestContext
from fuchsiacroft.gateway.routed_request import RoutedRequest
from fuchsiacroft.placing.messages import SlotAssignment
from fuchsiacroft.placing.placer import Placer
from fuchsiacroft.streams.origin import StreamOrigin
from fuchsiacroft.streams.service import StreamOrigins
from fuchsiacroft.utils.logs import event

RETURN_S = 30.0
"""A caller may notice late that its stream broke off, and be refused a few times."""


class ContinuedStreams:
    """Finds what began a stream, and records it."""

    def __init__(
        self, origins: StreamOrigins, placer: Placer, route_source: RouteSource
    ) -> None:
        self._origins = origins
        self._placer = placer
        self._route_source = route_source

    async def find_origin(self, context: RequestContext) -> Problem | None:
        """Set the origin of a stream that is taken up, or return why it can't go on."""
        request = context.request
        if not request.takes_up_stream:
            return None
        _log_taken_up(request)
        outcome = await self._origins.find(
            request.workspace,
            request.resumes or "",
            request.route.services,
            request.longest_stream_s,
        )
        match outcome:
            case Result(tag="ok", ok=origin) if (
                origin.service in request.route.services
            ):
                context.origin = origin
                context.request = self._at_service(request, origin.service)
                return None
            case Result(tag="ok", ok=origin):
                detail = (
                    f"the stream began at {origin.service}, to which its route no "
                    "longer goes; the request did not run"
                )
                return Problem(503, "service_gone", detail, ExecutionState.NO)
            case Result(error=error):
                detail = f"what began the stream is {error.value}; it did not run"
                return Problem(503, "stream_unknown", detail, ExecutionState.NO)

    def record_begun(
        self, context: RequestContext, placement: SlotAssignment, sent_at: float
    ) -> None:
        """Record what began a stream, before its caller gets the first event.

        If its origin isn't certain, it is recorded with a later event once it is. The
        owners of the stream are notified again when it is taken up, as those that were
        first may have stopped.
        """
        request = context.request
        if context.origin is None:
            version = self._placer.certain_version(
                placement,
                request.service,
                sent_at,
                must_be_listed=context.is_origin_unsure,
            )
            if version is None:
                if not context.is_origin_unsure:
                    _log_unsure(context, placement)
                    if request.route.kind.is_retryable:
                        self._placer.ask_start(placement)
                context.is_origin_unsure = True
                return
            context.is_origin_unsure = False
            context.origin = StreamOrigin(request.service, version)
        if request.route.kind.is_retryable:
            self._origins.record(
                request.workspace,
                _first_id(request),
                context.origin,
                request.longest_stream_s + RETURN_S,
                self._placer.availability.instance(placement),
            )

    def check_origin(self, context: RequestContext) -> None:
        """Doubt an origin, if its server may have been another start than was known."""
        request = context.request
        if context.origin is None:
            return
        if self._origins.is_ambiguous(request.workspace, _first_id(request)):
            context.origin = None
            context.is_origin_unsure = True

    def _at_service(self, request: RoutedRequest, name: str) -> RoutedRequest:
        service = self._route_source.table.services.get(name)
        if name == request.service or service is None:
            return request
        return replace(request, service=name, event_tokens=service.event_tokens)


def _first_id(request: RoutedRequest) -> str:
    """Return the id of the request that began the stream."""
    return request.resumes or request.request_id


def _log_unsure(context: RequestContext, placement: SlotAssignment) -> None:
    event(
        "info",
        "stream_origin_unsure",
        request_id=context.request_id,
        run_id=placement.run_id,
        backend_server=placement.backend_server,
        start=placement.start,
        software=placement.version or "-",
    )


def _log_taken_up(request: RoutedRequest) -> None:
    event(
        "info",
        "stream_taken_up",
        request_id=request.request_id,
        resumes=request.resumes or "-",
        last_event_id=request.last_event_id or "-",
        service=request.service,
    )
