"""Metrics and the log line of each finished request of the gateway.

The label values (services, ranks, statuses and problem codes) are few.
"""

from fuchsiacroft.entry.problems import Problem
from fuchsiacroft.gateway.request_context import RequestContext
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.metrics import Metrics

CALLER_DISCONNECTED = "left"
ABORTED = "cut"
NONE = "-"
WENT_ON = "went_on"
NO_EVENT = "no_event"


class RequestMetrics:
    """Records metrics and writes one log line for each request."""

    def __init__(self, metrics: Metrics) -> None:
        self._responses = metrics.counter(
            "fuchsiacroft_gateway_answers_total", "Answers by service, rank and status"
        )
        self._problems = metrics.counter(
            "fuchsiacroft_gateway_problems_total", "Own refusals and errors by code"
        )
        self._sends = metrics.counter(
            "fuchsiacroft_gateway_sends_total", "Requests sent to backend servers"
        )
        self._notices = metrics.counter(
            "fuchsiacroft_gateway_server_notices_total",
            "Answers in which a server said that it leaves, pauses or is limited",
        )
        self._taken_up = metrics.counter(
            "fuchsiacroft_gateway_streams_taken_up_total",
            "Requests that take up a stream, by what became of them",
        )
        self._seconds = metrics.histogram(
            "fuchsiacroft_gateway_answer_duration_seconds", "Time to the answer's end"
        )
        self._first_event = metrics.histogram(
            "fuchsiacroft_gateway_first_event_seconds",
            "Time from arrival to a stream's first event",
        )
        self._waits = metrics.histogram(
            "fuchsiacroft_gateway_wait_seconds", "Time that a request waited for places"
        )
        self._version = metrics.gauge(
            "fuchsiacroft_route_table_version", "Version of the route table in force"
        )
        self._version_age = metrics.gauge(
            "fuchsiacroft_route_table_age_seconds",
            "Time since a quorum was behind the version",
        )

    def record_version(self, version: int, age_s: float) -> None:
        """Set the version and the age of the route table in use."""
        self._version.set({}, version)
        self._version_age.set({}, age_s)

    def record(
        self, context: RequestContext, status: int, version: int, age_s: float
    ) -> None:
        """Record one finished request; status 0 means an aborted response."""
        status_label = (
            CALLER_DISCONNECTED
            if context.caller_disconnected
            else str(status or ABORTED)
        )
        request = context.request
        labels = {
            "service": request.service if request else NONE,
            "rank": str(request.route.rank) if request else NONE,
        }
        self._responses.inc(labels | {"status": status_label})
        if context.problem is not None:
            self._problems.inc({"code": context.problem.code})
        for notice in context.notices:
            self._notices.inc({"service": labels["service"], "notice": notice.value})
        if request is not None:
            self._record_durations(context, labels)
            self._record_taken_up(context, labels["service"])
        self._log(context, status_label, version, age_s)

    def _record_durations(
        self, context: RequestContext, labels: dict[str, str]
    ) -> None:
        self._seconds.observe(labels, now() - context.started_at)
        self._waits.observe(labels, context.waited_s)
        if context.sends:
            self._sends.add(labels, context.sends)
        if context.first_event_at is not None:
            first_event_s = context.first_event_at - context.started_at
            self._first_event.observe(labels, first_event_s)

    def _record_taken_up(self, context: RequestContext, service: str) -> None:
        if not context.request.takes_up_stream:
            return
        outcome = WENT_ON if context.event_splitter.count else NO_EVENT
        if context.problem is not None:
            outcome = context.problem.code
        self._taken_up.inc({"service": service, "outcome": outcome})

    def _log(
        self, context: RequestContext, status_label: str, version: int, age_s: float
    ) -> None:
        request = context.request
        problem = context.problem
        first_event_at = context.first_event_at
        first_event_s = (
            NONE
            if first_event_at is None
            else round(first_event_at - context.started_at, 4)
        )
        event(
            "info",
            "request_ended",
            request_id=context.request_id,
            status=status_label,
            route=request.route.name if request else NONE,
            service=request.service if request else NONE,
            workspace=request.workspace if request else NONE,
            rank=request.rank if request else NONE,
            units=request.charge if request else NONE,
            version=request.table_version if request else version,
            version_age_s=round(age_s, 3),
            tried=",".join(context.tried) or NONE,
            runs=context.runs,
            waited_s=round(context.waited_s, 4),
            first_event_s=first_event_s,
            events=context.event_splitter.count,
            seconds=round(now() - context.started_at, 4),
            problem=problem.code if problem else NONE,
            retry_after_s=_retry_after(problem),
        )


def _retry_after(problem: Problem | None) -> float | str:
    if problem is None or problem.retry_after_s is None:
        return NONE
    return round(problem.retry_after_s, 3)
