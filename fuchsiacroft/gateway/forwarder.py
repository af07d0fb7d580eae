"""Forwards a request to backend servers, with retries, until one answers."""

import asyncio
import random
from functools import partial

import xxhash
from aiohttp import web
from expression import Error, Ok, Result

from fuchsiacroft.config.route_source import RouteSource
from fuchsiacroft.config.route_table import Route
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.entry import memory_metrics, request_validation
from fuchsiacroft.entry.memory_budget import MemoryBudget
from fuchsiacroft.entry.memory_metrics import MemoryMetrics
from fuchsiacroft.entry.planned_stop import PlannedStop
from fuchsiacroft.entry.problems import Problem
from fuchsiacroft.entry.request_body import BodyBuffer, BodyReads
from fuchsiacroft.entry.run_durations import RunDurations
from fuchsiacroft.entry.slow_reader import wait_until_read, write_whole
from fuchsiacroft.gateway import request_problems
from fuchsiacroft.gateway.attempt import Attempt
from fuchsiacroft.gateway.attempt_result import AttemptResult
from fuchsiacroft.gateway.buffered_bytes import DEFAULT_MAX_BYTES, BufferedBytes
from fuchsiacroft.gateway.continued_streams import ContinuedStreams
from fuchsiacroft.gateway.request_context import RequestContext
from fuchsiacroft.gateway.response_estimates import ResponseEstimates
from fuchsiacroft.gateway.routed_request import ProtocolAdapter, RoutedRequest
from fuchsiacroft.gateway.upstream import Upstream
from fuchsiacroft.gateway.wait_policy import WaitPolicy, start_wait_s
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.placing.messages import SlotAssignment
from fuchsiacroft.placing.placer import Placer, WaitLimits
from fuchsiacroft.routing.permits import (
    PermitRequest,
    Refusal,
    RunOutcome,
    RunReport,
)
from fuchsiacroft.streams.service import StreamOrigins
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.metrics import Metrics

MAX_SENDS = 4
"""Maximum sends of a request, including those that did not execute it."""
REPLACEMENT_WAIT_S = 0.05
"""Short: the silent server may go on at any time."""
MIN_REMAINING_S = 0.01
"""With less time remaining, no backend server could answer."""


class ResponseAbortedError(Exception):
    """A started response cannot be completed, so the connection must be aborted."""


class Forwarder(Service):
    """Routes, places and sends each request, and retries when that is safe."""

    name = "forwarder"

    def __init__(
        self,
        protocol: ProtocolAdapter,
        buffered: BufferedBytes,
        budget: MemoryBudget,
        budget_metrics: MemoryMetrics,
    ) -> None:
        self._protocol = protocol
        self._buffered = buffered
        self.budget = budget
        self._memory_metrics = budget_metrics
        self._body_reads = BodyReads(request_problems.DRAINING_RETRY_S)
        self._bodies = BodyBuffer(self._body_reads, budget)
        self._random = random.Random()
        self._estimates = ResponseEstimates()
        self._wait_policy = WaitPolicy(self._estimates)
        self._durations = RunDurations()
        self._stop: PlannedStop | None = None

    async def start(self, kernel: Kernel) -> None:
        """Look up the services that requests need."""
        self._route_source = kernel.get("route_table", RouteSource)
        self._placer = kernel.get("placer", Placer)
        self._upstream = kernel.get("upstream", Upstream)
        origins = kernel.get("stream_origins", StreamOrigins)
        self._streams = ContinuedStreams(origins, self._placer, self._route_source)

    def dump(self) -> dict:
        """Return the memory used by buffered request bodies and responses."""
        return {
            "held_body_bytes": self._bodies.buffered_bytes,
            "held_response_bytes": self._buffered.held,
        }

    def begin_stop(self, answers_at: float) -> None:
        """Answer all requests until `answers_at`, on the event loop's clock.

        Those whose bodies can't be complete then, or that may run longer, are refused.
        """
        self._stop = PlannedStop(answers_at, self._durations)
        self._body_reads.stop_at(answers_at)

    def refuse_uncertain(self) -> None:
        """Refuse new requests from now on that may outlast the stop."""
        self._stop.is_noticed = True

    async def serve(self, context: RequestContext) -> web.StreamResponse:
        """Return the response to a request."""
        context.body_claim = self._bodies.open_claim()
        try:
            async with asyncio.timeout(None) as context.timeout:
                return await self._serve(context)
        except TimeoutError:
            return self._timed_out(context)
        finally:
            context.body = b""
            context.body_claim.release()
            # It refers to the task, which may hold an exception that refers to it.
            context.timeout = None

    async def finish(
        self, context: RequestContext, response: web.StreamResponse
    ) -> None:
        """Write a whole response, and wait until the caller has read most of it."""
        if not context.response_claims:
            context.response_claims.append(self._buffered.open_claim())
        claim = context.response_claims[-1]
        if not response.prepared:
            await write_whole(context.http, response, claim)
        await wait_until_read(context.http, claim)

    def release(self, context: RequestContext) -> None:
        """Hold nothing for a request any more."""
        context.release_claims()
        self._memory_metrics.update()

    async def _serve(self, context: RequestContext) -> web.StreamResponse:
        problem = request_validation.framing_problem(
            context.http
        ) or self._header_size_problem(context)
        if problem is not None:
            response = self._error_response(context, problem)
            response.force_close()
            return response
        await self._wait_for_route_table(context)
        match self._route(context):
            case Result(tag="error", error=problem):
                return self._error_response(context, problem)
        if not self._is_accepted(context):
            return self._error_response(context, request_problems.stopping())
        if not context.is_stopped:
            context.timeout.reschedule(context.deadline)
        match await self._read_body(context):
            case Result(tag="error", error=problem):
                return self._error_response(context, problem)
        return await self._run_attempts(context)

    def _is_accepted(self, context: RequestContext) -> bool:
        if self._stop is None:
            return True
        route = context.request.route
        return self._stop.accepts(
            route.name, context.deadline, may_repeat=route.kind.is_retryable
        )

    def _can_run(self, context: RequestContext) -> bool:
        """Return whether a run that begins now can end before this entry stops."""
        if self._stop is None or context.started_response is not None:
            return True
        route = context.request.route
        return self._stop.can_run(
            route.name, context.deadline, may_repeat=route.kind.is_retryable
        )

    async def _read_body(self, context: RequestContext) -> Result[None, Problem]:
        max_bytes = self._route_source.table.limits.max_body_bytes
        context.is_receiving = True
        result = await self._bodies.read(context.http, max_bytes, context.body_claim)
        context.is_receiving = False
        if result.is_error():
            return Error(result.error)
        context.body = result.ok
        context.fingerprint = _fingerprint(context.request, result.ok)
        return Ok(None)

    def _header_size_problem(self, context: RequestContext) -> Problem | None:
        table = self._route_source.table
        if table is None:
            return None
        return request_validation.header_size_problem(
            context.http, table.limits.max_header_bytes
        )

    async def _wait_for_route_table(self, context: RequestContext) -> None:
        """Wait while this entry, which has just started, has no route table."""
        if self._route_source.table is None:
            deadline_s = self._protocol.caller_deadline_s(context.http)
            await self._route_source.wait_for_table(start_wait_s(deadline_s))

    def _route(self, context: RequestContext) -> Result[None, Problem]:
        table = self._route_source.table
        if table is None:
            return Error(request_problems.not_ready())
        match self._protocol.parse_request(context.http, table, self._choose_service):
            case Result(tag="ok", ok=request):
                context.request = request
                context.deadline = context.started_at + request.timeout_s
                return Ok(None)
            case Result(error=problem):
                return Error(problem)

    def _choose_service(self, route: Route) -> str:
        return route.choose_service(self._random)

    async def _run_attempts(self, context: RequestContext) -> web.StreamResponse:
        problem = await self._streams.find_origin(context)
        if problem is not None:
            return self._error_response(context, problem)
        failure: web.StreamResponse | None = None
        placement: SlotAssignment | None = None
        while True:
            if placement is None:
                match await self._place(context):
                    case Result(tag="ok", ok=placement):
                        pass
                    case Result(error=refusal):
                        return self._final_response(context, failure, refusal)
            if not self._can_run(context):
                self._placer.release(placement, RunReport(RunOutcome.UNUSED))
                return self._stopping_response(context, failure)
            attempt = Attempt(
                context,
                placement,
                self._protocol,
                self._upstream,
                self._placer,
                buffered=self._buffered,
                find_replacement=partial(self._find_replacement, context),
                on_stream_begun=partial(self._streams.record_begun, context),
            )
            began_at = now()
            result = await attempt.run()
            placement = attempt.replacement
            self._record_response_time(context, attempt)
            if result is AttemptResult.ANSWERED:
                self._record_duration(context, now() - began_at)
                return attempt.response
            if result is AttemptResult.FAILED:
                failure = attempt.response
            if placement is None and not self._may_retry(context, result):
                return self._final_response(context, failure, None)
            event(
                "info",
                "request_sent_again",
                request_id=context.request_id,
                after=result.value,
                runs=context.runs,
                tried=",".join(context.tried),
                left_s=round(context.remaining_s, 3),
            )

    def _record_response_time(self, context: RequestContext, attempt: Attempt) -> None:
        if attempt.response_s is not None:
            request = context.request
            self._estimates.record(
                request.service, request.size.prompt_tokens, attempt.response_s
            )

    def _record_duration(self, context: RequestContext, seconds: float) -> None:
        """Record how long a run took, unless it only went on with a stream."""
        if not context.request.takes_up_stream and context.runs == 1:
            self._durations.record(context.request.route.name, seconds)

    def _may_retry(self, context: RequestContext, result: AttemptResult) -> bool:
        if context.remaining_s < MIN_REMAINING_S or len(context.tried) >= MAX_SENDS:
            return False
        self._streams.check_origin(context)
        if context.has_started_body or context.is_origin_unsure:
            return False
        if result is AttemptResult.NOT_RUN:
            return context.runs == 0 or context.may_retry
        return context.may_retry

    async def _place(self, context: RequestContext) -> Result[SlotAssignment, Refusal]:
        request = context.request
        remaining_s = context.remaining_s
        permit_request = _permit_request(request, context, remaining_s)
        is_first = not context.tried
        started_at = now()
        outcome = await self._placer.acquire(
            permit_request,
            charge=request.charge if is_first or context.runs else 0.0,
            repeats=context.sends > 0,
            wait_limits=self._wait_limits(context, remaining_s),
        )
        context.waited_s += now() - started_at
        return outcome

    def _wait_limits(self, context: RequestContext, remaining_s: float) -> WaitLimits:
        limits = self._wait_policy.limits(
            context.request, remaining_s, continues=context.origin is not None
        )
        if self._stop is None or context.started_response is not None:
            return limits
        if context.deadline <= self._stop.answers_at:
            return limits
        route = context.request.route
        longest_s = self._stop.starts_within_s(route.name, route.kind.is_retryable)
        return limits.at_most(max(longest_s, 0.0))

    async def _find_replacement(self, context: RequestContext) -> SlotAssignment | None:
        """Return a slot on another server for a request whose server is silent."""
        self._streams.check_origin(context)
        if len(context.tried) >= MAX_SENDS or context.is_origin_unsure:
            return None
        request = context.request
        outcome = await self._placer.acquire(
            _permit_request(request, context, context.remaining_s),
            charge=request.charge,
            repeats=True,
            wait_limits=WaitLimits(
                REPLACEMENT_WAIT_S, REPLACEMENT_WAIT_S, request.event_tokens
            ),
        )
        return outcome.ok if outcome.is_ok() else None

    def _final_response(
        self,
        context: RequestContext,
        failure: web.StreamResponse | None,
        refusal: Refusal | None,
    ) -> web.StreamResponse:
        """Return the response when no further attempt will be made."""
        if context.started_response is not None:
            raise ResponseAbortedError("no backend server can resume the stream")
        if failure is not None:
            return failure
        if context.runs:
            return self._error_response(context, request_problems.broken_off())
        problem = request_problems.refused(refusal, context.remaining_s)
        return self._error_response(context, problem)

    def _stopping_response(
        self, context: RequestContext, failure: web.StreamResponse | None
    ) -> web.StreamResponse:
        """Return the response to a request that could no longer run to its end."""
        if failure is not None or context.runs:
            return self._final_response(context, failure, None)
        return self._error_response(context, request_problems.stopping())

    def _timed_out(self, context: RequestContext) -> web.StreamResponse:
        if context.started_response is not None:
            raise ResponseAbortedError(
                "the request's time ended after its response began"
            )
        return self._error_response(context, request_problems.timed_out(context))

    def _error_response(
        self, context: RequestContext, problem: Problem
    ) -> web.Response:
        context.problem = problem
        return self._protocol.error_response(problem, context.request_id)


def _permit_request(
    request: RoutedRequest, context: RequestContext, remaining_s: float
) -> PermitRequest:
    return PermitRequest(
        request_id=request.request_id,
        service=request.service,
        rank=request.rank,
        timeout_s=remaining_s,
        workspace=request.workspace,
        size=request.size,
        idempotent=request.route.kind.is_retryable,
        fingerprint=context.fingerprint,
        shared_parts=request.shared_parts,
        first_token_target_s=request.route.latency_target_s,
        token_gap_target_s=request.route.gap_target_s,
        avoid=context.avoid,
        version=context.version,
        route=request.route.name,
    )


def _fingerprint(request: RoutedRequest, body: bytes) -> str:
    """Return a hash that a request and its retries have in common."""
    head = f"{request.workspace} {request.method} {request.host} {request.target}\n"
    digest = xxhash.xxh3_64(head.encode())
    digest.update(body)
    return digest.hexdigest()


def create(
    settings: Settings,
    protocol: ProtocolAdapter,
    metrics: Metrics,
    max_buffered_bytes: int = DEFAULT_MAX_BYTES,
) -> Forwarder:
    """Return the forwarder service."""
    budget, budget_metrics = memory_metrics.create(settings, metrics)
    buffered = BufferedBytes(max_buffered_bytes, budget)
    return Forwarder(protocol, buffered, budget, budget_metrics)
