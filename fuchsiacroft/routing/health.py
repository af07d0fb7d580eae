"""Outlier ejection of slow, frozen or failing backend servers.

A backend server is compared with the others of its generation, by this entry's own
measurements. An ejected server still gets at most one request per probe period, and
is readmitted when its measured slowdown and failure rate are low again.
"""

from abc import ABC, abstractmethod

from fuchsiacroft.routing.estimates import MovingAverage, ReferenceSpeed, is_model
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport
from fuchsiacroft.utils.clock import now

SLOW_RATIO = 2.0
"""A server that takes this many times as long as its peers is ejected."""
RECOVERED_RATIO = 1.5
"""Below `SLOW_RATIO`, so that a server at the limit is not ejected and readmitted in
turn."""
FAILING_SHARE = 0.5
MIN_SAMPLES = 4
"""One slow or failed run says little about the server."""
MAX_CONNECT_FAILURES = 2
"""A single failed connect may be a lost packet."""
CONNECT_PAUSE_S = 2.0
"""A server that restarts takes about that long."""
OVERDUE_FACTOR = 3.0
OVERDUE_MARGIN_S = 2.0
"""A run is overdue after this much more than `OVERDUE_FACTOR` times what it should
take, so that short runs are not overdue at once."""
OVERDUE_RUNS = 2
"""One overdue run may have been expected to be too short."""
PROBE_PERIOD_S = 3.0
PROBE_RUNS = 1
"""A probe costs a caller time if the server is still slow, so one runs at a time."""

FAILED_OUTCOMES = frozenset({RunOutcome.FAILED, RunOutcome.CONNECTION_LOST})


class ServerHealth(ABC):
    """The health of one backend server as measured by its owner."""

    is_ejected = False
    slowness = 1.0

    @abstractmethod
    def effective_limit(self, allowed: int) -> int:
        """Return the concurrency limit after ejection; `allowed` is that before."""

    @abstractmethod
    def record_start(self) -> None:
        """Record the start of a run."""

    @abstractmethod
    def record_run(
        self,
        request: PermitRequest,
        reference: ReferenceSpeed,
        expected_s: float,
        report: RunReport,
    ):
        """Record a run that ended; `reference` is the usual speed of its peers."""

    @abstractmethod
    def record_overdue(self, runs: int) -> None:
        """Record how many runs are far past their expected end."""


class IgnoredHealth(ServerHealth):
    """The baseline: every backend server is considered healthy."""

    def effective_limit(self, allowed: int) -> int:
        """Return the limit unchanged."""
        return allowed

    def record_run(
        self,
        request: PermitRequest,
        reference: ReferenceSpeed,
        expected_s: float,
        report: RunReport,
    ):
        """Do nothing."""

    def record_start(self) -> None:
        """Do nothing."""

    def record_overdue(self, runs: int) -> None:
        """Do nothing."""


class MeasuredHealth(ServerHealth):
    """Ejects a backend server when it is slow, frozen or failing."""

    def __init__(self, may_eject) -> None:
        self._may_eject = may_eject
        self._ratio = MovingAverage(1.0)
        self._failures = MovingAverage(0.0)
        self._connect_failures = 0
        self._paused_until = 0.0
        self._probe_at = 0.0

    @property
    def slowness(self) -> float:
        """Return the ratio of its run time to that of its peers, at least 1."""
        return max(1.0, self._ratio.value)

    def effective_limit(self, allowed: int) -> int:
        """Return 0 while paused; while ejected, 1 if a probe is due, else 0."""
        if now() < self._paused_until:
            return 0
        if not self.is_ejected:
            return allowed
        return PROBE_RUNS if now() >= self._probe_at else 0

    def record_start(self) -> None:
        """Schedule the next probe of an ejected backend server."""
        if self.is_ejected:
            self._probe_at = now() + PROBE_PERIOD_S

    def record_run(
        self,
        request: PermitRequest,
        reference: ReferenceSpeed,
        expected_s: float,
        report: RunReport,
    ):
        """Compare a run with the usual speed of its peers."""
        if report.outcome is RunOutcome.NOT_DISPATCHED:
            self._record_connect_failure()
            return
        if report.outcome in FAILED_OUTCOMES:
            self._failures.add(1.0)
        elif report.outcome is RunOutcome.COMPLETED:
            self._connect_failures = 0
            self._failures.add(0.0)
            self._ratio.add(_slowdown_ratio(request, reference, expected_s, report))
        self._evaluate()

    def record_overdue(self, runs: int) -> None:
        """Eject a server with several overdue runs, as it is probably frozen."""
        if runs >= OVERDUE_RUNS and not self.is_ejected and self._may_eject():
            self._eject()

    def _evaluate(self) -> None:
        if self.is_ejected:
            has_few_failures = self._failures.value < FAILING_SHARE
            if has_few_failures and self._ratio.value < RECOVERED_RATIO:
                self.is_ejected = False
            return
        is_slow = self._ratio.samples >= MIN_SAMPLES and self._ratio.value > SLOW_RATIO
        is_failing = (
            self._failures.samples >= MIN_SAMPLES
            and self._failures.value > FAILING_SHARE
        )
        if (is_slow or is_failing) and self._may_eject():
            self._eject()

    def _eject(self) -> None:
        self.is_ejected = True
        self._probe_at = now() + PROBE_PERIOD_S
        self._ratio = MovingAverage(max(self._ratio.value, SLOW_RATIO), 1)
        self._failures = MovingAverage(self._failures.value, 1)

    def _record_connect_failure(self) -> None:
        self._connect_failures += 1
        if self._connect_failures >= MAX_CONNECT_FAILURES:
            self._paused_until = now() + CONNECT_PAUSE_S


def is_overdue(elapsed_s: float, expected_s: float) -> bool:
    """Return whether a run is far past its expected end."""
    return elapsed_s > OVERDUE_FACTOR * expected_s + OVERDUE_MARGIN_S


def _slowdown_ratio(
    request: PermitRequest,
    reference: ReferenceSpeed,
    expected_s: float,
    report: RunReport,
) -> float:
    if is_model(request):
        if report.token_gap_s is not None:
            return report.token_gap_s / reference.token_gap_s
        return report.duration_s / max(expected_s, 0.001)
    return report.duration_s / reference.plain_run_s
