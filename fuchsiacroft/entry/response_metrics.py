"""Metrics and the log line of each response to a caller.

Label values are services, tiers, statuses and problem codes, which are few, and
the names of the largest workspaces; the other workspaces share one label.
"""

from fuchsiacroft.config.current_document import CurrentDocument
from fuchsiacroft.entry.exchange import Exchange
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.metrics import Metrics

NO_SERVICE = "none"
CALLER_DISCONNECTED = "left"
TOKEN_GAP_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.044, 0.06, 0.1)
TOKEN_GAP_BUCKETS_S += (0.2, 0.5, 1.0, float("inf"))


class ResponseMetrics:
    """Records metrics and writes one log line for each response."""

    def __init__(self, metrics: Metrics) -> None:
        self._responses = metrics.counter(
            "fuchsiacroft_answers_total", "Answers by service, tier and status"
        )
        self._problems = metrics.counter(
            "fuchsiacroft_problems_total", "Problem documents by code and ran"
        )
        self._runs = metrics.counter(
            "fuchsiacroft_runs_total", "Runs by service, tier and outcome"
        )
        self._by_workspace = metrics.counter(
            "fuchsiacroft_workspace_answers_total",
            "Answers by workspace, the largest by name",
        )
        self._tokens = metrics.counter(
            "fuchsiacroft_tokens_total", "Tokens relayed by service and tier"
        )
        self._seconds = metrics.histogram(
            "fuchsiacroft_answer_duration_seconds", "Time to the end of the answer"
        )
        self._first_token = metrics.histogram(
            "fuchsiacroft_first_token_seconds", "Time from arrival to the first byte"
        )
        self._token_gap = metrics.histogram(
            "fuchsiacroft_token_gap_seconds",
            "Mean time between tokens of a stream",
            TOKEN_GAP_BUCKETS_S,
        )

    def record(
        self, exchange: Exchange, status: int, document: CurrentDocument
    ) -> None:
        """Record one finished response."""
        seconds = now() - exchange.started_at
        status_label = (
            CALLER_DISCONNECTED if exchange.caller_disconnected else str(status)
        )
        labels = self._labels(exchange)
        self._responses.inc(labels | {"status": status_label})
        problem = exchange.problem
        if problem is not None:
            self._problems.inc({"code": problem.code, "ran": problem.ran.value})
        if exchange.request is not None:
            self._record_run(exchange, labels, seconds, document)
        self._log(exchange, status_label, seconds)

    def record_detached_run(self, exchange: Exchange) -> None:
        """Record a run that ended after its caller disconnected."""
        outcome = exchange.outcome.value
        self._runs.inc(self._labels(exchange) | {"outcome": outcome})
        event(
            "info", "run_ended_alone", request_id=exchange.request_id, outcome=outcome
        )

    def _labels(self, exchange: Exchange) -> dict[str, str]:
        request = exchange.request
        if request is None:
            return {"service": NO_SERVICE, "tier": NO_SERVICE}
        return {"service": request.spec.name, "tier": request.tier}

    def _record_run(
        self,
        exchange: Exchange,
        labels: dict[str, str],
        seconds: float,
        document: CurrentDocument,
    ) -> None:
        workspace = document.workspace_label(exchange.request.permit_request.workspace)
        self._by_workspace.inc({"workspace": workspace})
        self._seconds.observe(labels, seconds)
        if exchange.outcome is not None:
            self._runs.inc(labels | {"outcome": exchange.outcome.value})
        progress = exchange.progress
        if progress is None or progress.first_byte_at is None:
            return
        waited_s = progress.first_byte_at - exchange.started_at
        self._first_token.observe(labels, waited_s)
        if progress.tokens:
            self._tokens.add(labels, progress.tokens)
        if progress.token_gap_s is not None:
            self._token_gap.observe(labels, progress.token_gap_s)

    def _log(self, exchange: Exchange, status: str, seconds: float) -> None:
        fields: dict[str, object] = {
            "request_id": exchange.request_id,
            "status": status,
            "seconds": round(seconds, 4),
        }
        request = exchange.request
        if request is not None:
            fields |= {
                "service": request.spec.name,
                "workspace": request.permit_request.workspace,
                "tier": request.tier,
            }
        if exchange.outcome is not None:
            fields["outcome"] = exchange.outcome.value
        if exchange.progress is not None:
            fields["tokens"] = exchange.progress.tokens
        if exchange.problem is not None:
            fields["problem"] = exchange.problem.code
            fields["ran"] = exchange.problem.ran.value
        event("info", "answered", **fields)
