"""A single attempt to run a request on a backend server."""

from collections.abc import Awaitable, Callable
from functools import partial

import aiohttp
from aiohttp import web
from expression import Result

from fuchsiacroft.entry import http_headers
from fuchsiacroft.entry.at_most_once import SendGuard
from fuchsiacroft.gateway.answer_flaw import AnswerFlaw
from fuchsiacroft.gateway.attempt_result import AttemptResult
from fuchsiacroft.gateway.buffered_bytes import BufferedBytes
from fuchsiacroft.gateway.request_context import RequestContext
from fuchsiacroft.gateway.response_relay import RelayListener, ResponseRelay
from fuchsiacroft.gateway.routed_request import ProtocolAdapter
from fuchsiacroft.gateway.silence_watch import SilenceWatch
from fuchsiacroft.gateway.upstream import SendFailure, Upstream
from fuchsiacroft.membership.server_notices import NoticedAnswer, NoticeReason
from fuchsiacroft.placing.messages import SlotAssignment
from fuchsiacroft.placing.placer import Placer
from fuchsiacroft.placing.server_availability import ServerAvailability
from fuchsiacroft.routing.permits import RunOutcome, RunReport
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event

IDLE_TIMEOUT_TARGETS = 2.0
"""Idle timeout, in multiples of the latency target, before another server is tried."""
IDLE_TIMEOUT_GAPS = 6.0
"""Minimum idle timeout of a stream, in multiples of its gap target."""
MIN_STREAM_IDLE_TIMEOUT_S = 1.5
"""Minimum idle timeout of a stream: its prompt may queue behind other prompts."""
RETRY_TIME_SHARE = 0.5
"""Share of the remaining time that is reserved for an attempt on another server."""
SEND_WITHIN_S = 0.5
"""A slot that is used later is out of date, like the headers; another is requested."""


FindReplacement = Callable[[], Awaitable[SlotAssignment | None]]


class Attempt(RelayListener):
    """Sends a request to the backend server that the placer assigned.

    `response` is set when the result is `ANSWERED`, or `FAILED` if the backend
    server answered with a server error. `response_s` is the time from the start to
    the first event of a stream, or to a complete plain response. `replacement` is
    the slot on another server that was assigned when this one was `SILENT`; a silent
    server keeps the request while there is none, as it may only be slow.
    `on_stream_begun` is called with the placement and the time of sending just before
    the caller gets the first event of this attempt.
    """

    def __init__(
        self,
        context: RequestContext,
        placement: SlotAssignment,
        protocol: ProtocolAdapter,
        upstream: Upstream,
        placer: Placer,
        *,
        buffered: BufferedBytes,
        find_replacement: FindReplacement,
        on_stream_begun: Callable[[SlotAssignment, float], None],
    ) -> None:
        self._context = context
        self._request = context.request
        self._placement = placement
        self._protocol = protocol
        self._upstream = upstream
        self._placer = placer
        self._find_replacement = find_replacement
        self._on_stream_begun = on_stream_begun
        self._has_run = False
        self._is_timed_out = False
        self._upstream_response: aiohttp.ClientResponse | None = None
        self._flaw: AnswerFlaw | None = None
        self._availability = placer.availability
        self._server = placer.availability.instance(placement)
        self._started_at = now()
        self._send_guard = SendGuard(
            partial(_may_send, self._availability, self._server.name),
            self._valid_until(),
            protocol.request_name(self._request),
        )
        self._relay = ResponseRelay(context, protocol, buffered)
        self.replacement: SlotAssignment | None = None

    @property
    def response(self) -> web.StreamResponse | None:
        """The response that the caller gets."""
        return self._relay.response

    @property
    def response_s(self) -> float | None:
        """The time until the response began."""
        began_at = self._relay.began_at
        return None if began_at is None else began_at - self._started_at

    async def run(self) -> AttemptResult:
        """Run the attempt and return its result; the placement is always released."""
        outcome = RunOutcome.CANCELLED
        try:
            result = await self._run()
            outcome = self._run_outcome(result)
            return result
        finally:
            if self._send_guard.sent:
                self._context.sends += 1
            self._release(outcome)
            if outcome is not RunOutcome.CONNECTION_LOST:
                self._return_replacement()

    def _return_replacement(self) -> None:
        """Return the slot on another server if this one went on after all."""
        if self.replacement is not None:
            self._placer.release(self.replacement, RunReport(RunOutcome.UNUSED))
            self.replacement = None

    async def _run(self) -> AttemptResult:
        context = self._context
        headers = self._protocol.backend_request_headers(
            self._request,
            self._placement.backend_server,
            max(context.remaining_s, 0.0),
            context.last_event_id,
        )
        context.tried.append(self._placement.backend_server)
        try:
            async with self.watch():
                opened = await self._upstream.open(
                    self._placement.address,
                    self._request,
                    headers,
                    context.body,
                    self._send_guard,
                )
        except TimeoutError:
            self._count_run()
            return self._silent()
        match opened:
            case Result(tag="ok", ok=response):
                self._upstream_response = response
                try:
                    self._record_answer(response)
                    return await self._read(response)
                finally:
                    response.close()
            case Result(
                error=SendFailure(outcome=RunOutcome.NOT_DISPATCHED) as failure
            ):
                self._is_timed_out = failure.is_timed_out
                if self._send_guard.withheld and self._send_guard.has_expired:
                    context.tried.pop()
                    context.was_late = True
                return AttemptResult.NOT_RUN
            case Result(error=SendFailure(outcome=RunOutcome.FAILED)):
                self._flaw = AnswerFlaw.FOREIGN
        self._count_run()
        return AttemptResult.BROKEN

    def _valid_until(self) -> float:
        """Return until when the request may be sent with this slot.

        A request that was late once is sent late rather than requesting slots for ever.
        """
        if self._context.was_late:
            return self._context.deadline
        return min(self._context.deadline, self._started_at + SEND_WITHIN_S)

    def _count_run(self) -> None:
        self._has_run = True
        self._context.runs += 1

    def watch(self) -> SilenceWatch:
        """Return a watch for silence that ends once another server takes over."""
        return SilenceWatch(self._idle_timeout_s, self._is_replaced)

    def _silent(self) -> AttemptResult:
        if self.replacement is None:
            raise TimeoutError
        return AttemptResult.SILENT

    async def _is_replaced(self) -> bool:
        """Return whether another server takes over from this one, which is silent."""
        if not self._send_guard.sent or not self._may_run_elsewhere:
            return False
        self.replacement = await self._find_replacement()
        return self.replacement is not None

    @property
    def _may_run_elsewhere(self) -> bool:
        route = self._request.route
        runs = self._context.runs + (not self._has_run)
        return route.kind.is_retryable and runs < route.attempts

    def _record_answer(self, response: aiohttp.ClientResponse) -> None:
        notice = self._protocol.server_notice(response)
        if notice.is_leaving:
            self._context.notices.append(NoticeReason.LEAVING)
        if notice.retry_after is not None:
            self._context.notices.append(NoticeReason.PAUSED)
            self._context.paused.add(self._server.name)
        if notice.limit is not None:
            self._context.notices.append(NoticeReason.LIMITED)
        answer = NoticedAnswer(
            self._server,
            notice,
            self._request.request_id,
            sent_at=self._started_at,
            longest_pause_s=self._request.route.timeout_s,
            is_limited=self._placement.is_limited,
        )
        self._placer.record_answer(self._placement, answer)

    async def _read(self, response: aiohttp.ClientResponse) -> AttemptResult:
        if self._protocol.was_not_executed(response):
            return AttemptResult.NOT_RUN
        self._count_run()
        self._flaw = self._protocol.flaw(response)
        if self._flaw is not None:
            return AttemptResult.BROKEN
        try:
            return await self._relay.relay(response, self)
        except TimeoutError:
            return self._silent()

    def on_first_event(self) -> None:
        """Report the first event, and the stream that begins with it."""
        self._placer.report_first_event(self._placement)
        self._on_stream_begun(self._placement, self._started_at)

    def on_progress(self) -> None:
        """Record that the server works on the request."""
        self._placer.record_progress(self._placement, self._started_at)
        if self._context.is_origin_unsure:
            self._on_stream_begun(self._placement, self._started_at)

    def _idle_timeout_s(self) -> float:
        """Return after how long without progress another server is looked for."""
        remaining_s = max(self._context.remaining_s, 0.0)
        if not self._may_run_elsewhere:
            return remaining_s
        route = self._request.route
        timeout_s = IDLE_TIMEOUT_TARGETS * route.latency_target_s
        if route.kind.is_stream:
            gaps_s = IDLE_TIMEOUT_GAPS * route.gap_target_s
            timeout_s = max(timeout_s, gaps_s, MIN_STREAM_IDLE_TIMEOUT_S)
        return min(timeout_s, remaining_s * (1 - RETRY_TIME_SHARE))

    def _run_outcome(self, result: AttemptResult) -> RunOutcome:
        match result:
            case AttemptResult.ANSWERED:
                return RunOutcome.COMPLETED
            case AttemptResult.FAILED:
                return RunOutcome.FAILED
            case AttemptResult.NOT_RUN if self._send_guard.withheld:
                return RunOutcome.UNUSED
            case AttemptResult.NOT_RUN if self._send_guard.sent:
                return RunOutcome.REFUSED
            case AttemptResult.NOT_RUN:
                return RunOutcome.NOT_DISPATCHED
            case AttemptResult.BROKEN if self._answer_flaw is not None:
                return RunOutcome.FAILED
        return RunOutcome.CONNECTION_LOST

    def _release(self, outcome: RunOutcome) -> None:
        at = now()
        times = self._relay.event_times
        report = RunReport(
            outcome=outcome,
            first_token_s=None if times.first_at is None else self.response_s,
            token_gap_s=times.token_gap_s(
                self._relay.events, self._request.event_tokens
            ),
            duration_s=at - self._started_at,
            is_timed_out=self._is_timed_out,
        )
        alive_at = times.last_at or self._started_at
        self._placer.release(self._placement, report, alive_at)
        event(
            "info",
            "run_ended",
            request_id=self._context.request_id,
            backend_server=self._placement.backend_server,
            software=self._placement.version or "-",
            rollout=self._placement.rollout or "-",
            coordinator=self._placement.coordinator,
            queued_s=round(self._placement.queued_s, 4),
            outcome=outcome.value,
            seconds=round(at - self._started_at, 4),
            events=self._relay.events,
            longest_pause_s=round(times.longest_gap_s, 3),
            parts=",".join(self._request.shared_parts) or "-",
            **self._answer_fields(),
        )

    @property
    def _answer_flaw(self) -> AnswerFlaw | None:
        return self._flaw or self._relay.flaw

    def _answer_fields(self) -> dict[str, object]:
        """Return the answer's status and flaw, and how its end was marked."""
        flaw = self._answer_flaw
        fields = {"flaw": flaw.value if flaw is not None else "-"}
        response = self._upstream_response
        if response is None:
            return fields | {"status": "-"}
        return fields | {
            "status": response.status,
            "signed": self._protocol.is_signed(response),
            "framing": http_headers.framing(response).value,
        }


def _may_send(availability: ServerAvailability, backend_server: str) -> bool:
    """Return whether a server may get a request; it refers to no attempt."""
    return availability.reason(backend_server) is not NoticeReason.LEAVING
