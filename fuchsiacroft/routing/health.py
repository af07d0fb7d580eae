"""Stragglers: slow, frozen or failing backend servers, by own measurements.

A backend server is compared with the others of its generation. One that is
set aside keeps a small share of its room, so that it is probed by real
requests, and comes back when these run as fast as its peers' do.
"""

from abc import ABC, abstractmethod

from fuchsiacroft.routing.estimates import Average, Reference, is_model
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport
from fuchsiacroft.utils.clock import now

SLOW_ABOVE = 2.0
RECOVERED_BELOW = 1.5
FAILING_ABOVE = 0.5
MIN_SAMPLES = 4
CONNECT_FAILURES = 2
CONNECT_PAUSE_S = 2.0
OVERDUE_FACTOR = 3.0
OVERDUE_MARGIN_S = 2.0
OVERDUE_RUNS = 2
PROBE_PERIOD_S = 3.0
PROBE_RUNS = 1

FAILED_OUTCOMES = frozenset({RunOutcome.FAILED, RunOutcome.CONNECTION_LOST})


class Health(ABC):
    """The health of one backend server as the owner has measured it."""

    is_slow = False
    slowness = 1.0

    @abstractmethod
    def cap(self, allowed: int) -> int:
        """Return the limit left of `allowed`."""

    @abstractmethod
    def note_start(self) -> None:
        """Note that a run starts."""

    @abstractmethod
    def note(
        self, ask: PermitRequest, usual: Reference, expected_s: float, report: RunReport
    ):
        """Learn from a run that ended; `usual` is what its peers take."""

    @abstractmethod
    def note_overdue(self, runs: int) -> None:
        """Note how many runs are far past their expected end."""


class IgnoredHealth(Health):
    """The baseline: every backend server counts as healthy."""

    def cap(self, allowed: int) -> int:
        """Return the limit unchanged."""
        return allowed

    def note(
        self, ask: PermitRequest, usual: Reference, expected_s: float, report: RunReport
    ):
        """Do nothing."""

    def note_start(self) -> None:
        """Do nothing."""

    def note_overdue(self, runs: int) -> None:
        """Do nothing."""


class MeasuredHealth(Health):
    """Sets a backend server aside when it is slow, frozen or failing."""

    def __init__(self, may_set_aside) -> None:
        self._may_set_aside = may_set_aside
        self._ratio = Average(1.0)
        self._failures = Average(0.0)
        self._connect_failures = 0
        self._paused_until = 0.0
        self._probe_at = 0.0

    @property
    def slowness(self) -> float:
        """Return how many times slower than its peers it is."""
        return max(1.0, self._ratio.value)

    def cap(self, allowed: int) -> int:
        """Return nothing while paused, and one probe at a time if set aside."""
        if now() < self._paused_until:
            return 0
        if not self.is_slow:
            return allowed
        return PROBE_RUNS if now() >= self._probe_at else 0

    def note_start(self) -> None:
        """Space the probes of a backend server that is set aside."""
        if self.is_slow:
            self._probe_at = now() + PROBE_PERIOD_S

    def note(
        self, ask: PermitRequest, usual: Reference, expected_s: float, report: RunReport
    ):
        """Compare a run with what its peers take."""
        if report.outcome is RunOutcome.NOT_DISPATCHED:
            self._note_connect_failure()
            return
        if report.outcome in FAILED_OUTCOMES:
            self._failures.add(1.0)
        elif report.outcome is RunOutcome.COMPLETED:
            self._connect_failures = 0
            self._failures.add(0.0)
            self._ratio.add(_ratio(ask, usual, expected_s, report))
        self._judge()

    def note_overdue(self, runs: int) -> None:
        """Set a frozen backend server aside."""
        if runs >= OVERDUE_RUNS and not self.is_slow and self._may_set_aside():
            self._set_aside()

    def _judge(self) -> None:
        if self.is_slow:
            well = self._failures.value < FAILING_ABOVE
            if well and self._ratio.value < RECOVERED_BELOW:
                self.is_slow = False
            return
        slow = self._ratio.samples >= MIN_SAMPLES and self._ratio.value > SLOW_ABOVE
        failing = (
            self._failures.samples >= MIN_SAMPLES
            and self._failures.value > FAILING_ABOVE
        )
        if (slow or failing) and self._may_set_aside():
            self._set_aside()

    def _set_aside(self) -> None:
        self.is_slow = True
        self._probe_at = now() + PROBE_PERIOD_S
        self._ratio = Average(max(self._ratio.value, SLOW_ABOVE), 1)
        self._failures = Average(self._failures.value, 1)

    def _note_connect_failure(self) -> None:
        self._connect_failures += 1
        if self._connect_failures >= CONNECT_FAILURES:
            self._paused_until = now() + CONNECT_PAUSE_S


def is_overdue(spent_s: float, expected_s: float) -> bool:
    """Tell whether a run is far past its expected end."""
    return spent_s > OVERDUE_FACTOR * expected_s + OVERDUE_MARGIN_S


def _ratio(
    ask: PermitRequest, usual: Reference, expected_s: float, report: RunReport
) -> float:
    if is_model(ask):
        if report.token_gap_s is not None:
            return report.token_gap_s / usual.token_gap_s
        return report.duration_s / max(expected_s, 0.001)
    return report.duration_s / usual.plain_run_s
