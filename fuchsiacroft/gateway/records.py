"""Counts and logs every request of the gateway when it has ended.

Labels are services, ranks, statuses and problem codes, all few.
"""

from fuchsiacroft.entry.problems import Problem
from fuchsiacroft.gateway.session import Session
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.metrics import Metrics

CALLER_LEFT = "left"
CUT = "cut"
NONE = "-"


class RequestRecords:
    """The metrics of an entry's requests, and one line for each."""

    def __init__(self, metrics: Metrics) -> None:
        self._answers = metrics.counter(
            "fuchsiacroft_gateway_answers_total", "Answers by service, rank and status"
        )
        self._problems = metrics.counter(
            "fuchsiacroft_gateway_problems_total", "Own refusals and errors by code"
        )
        self._sends = metrics.counter(
            "fuchsiacroft_gateway_sends_total", "Requests sent to backend servers"
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

    def note_version(self, version: int, age_s: float) -> None:
        """Tell which route table decides, and how old that knowledge is."""
        self._version.set({}, version)
        self._version_age.set({}, age_s)

    def note(self, session: Session, status: int, version: int, age_s: float) -> None:
        """Count and log one request; status 0 is an answer that broke off."""
        shown = CALLER_LEFT if session.caller_left else str(status or CUT)
        call = session.call
        labels = {
            "service": call.service if call else NONE,
            "rank": str(call.route.rank) if call else NONE,
        }
        self._answers.inc(labels | {"status": shown})
        if session.problem is not None:
            self._problems.inc({"code": session.problem.code})
        if call is not None:
            self._note_times(session, labels)
        self._log(session, shown, version, age_s)

    def _note_times(self, session: Session, labels: dict[str, str]) -> None:
        self._seconds.observe(labels, now() - session.started_at)
        self._waits.observe(labels, session.waited_s)
        if session.sends:
            self._sends.add(labels, session.sends)
        if session.first_event_at is not None:
            first_s = session.first_event_at - session.started_at
            self._first_event.observe(labels, first_s)

    def _log(self, session: Session, shown: str, version: int, age_s: float) -> None:
        call = session.call
        problem = session.problem
        first_at = session.first_event_at
        first_s = NONE if first_at is None else round(first_at - session.started_at, 4)
        event(
            "info",
            "request_ended",
            request_id=session.request_id,
            status=shown,
            route=call.route.name if call else NONE,
            service=call.service if call else NONE,
            workspace=call.workspace if call else NONE,
            rank=call.rank if call else NONE,
            units=call.charge if call else NONE,
            version=call.table_version if call else version,
            version_age_s=round(age_s, 3),
            tried=",".join(session.tried) or NONE,
            runs=session.runs,
            waited_s=round(session.waited_s, 4),
            first_event_s=first_s,
            events=session.events.count,
            seconds=round(now() - session.started_at, 4),
            problem=problem.code if problem else NONE,
            retry_after_s=_retry_after(problem),
        )


def _retry_after(problem: Problem | None) -> float | str:
    if problem is None or problem.retry_after_s is None:
        return NONE
    return round(problem.retry_after_s, 3)
