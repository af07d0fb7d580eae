"""Limits learned from the first-token times and token gaps that we measure.

A limit grows by one while it is in use and its runs keep their targets with
some reserve, and shrinks by a tenth when they don't. What one backend server
has learned is where the next of its generation begins, after a ramp in which
a newly joined one warms up.
"""

from fuchsiacroft.routing.estimates import Average, Estimates, is_model
from fuchsiacroft.routing.limit import Limit
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport
from fuchsiacroft.utils.clock import now

RAMP_S = 8.0
RAMP_FIRST = 2
FIRST_SHARE = 0.75
MIN_RUNS = 4
SHRINK_FACTOR = 0.9
SHRINK_ABOVE = 1.1
GROW_BELOW = 0.95
GROWTH = 0.6
IN_USE_SHARE = 0.6
MAX_SLOTS_FACTOR = 2
PLAIN_SLOWDOWN = 2.0
LARGEST_RATIO = 4.0
OVERSHOOT_SHARE = 0.2


class LearnedLimits:
    """What is known of each service and generation."""

    def __init__(self, estimates: Estimates) -> None:
        self.estimates = estimates
        self._learned: dict[tuple[str, str], Average] = {}

    def first(self, service: str, generation: str, slots: int) -> float:
        """Return where a backend server of that kind begins."""
        learned = self._learned.get((service, generation))
        return FIRST_SHARE * slots if learned is None else learned.value

    def note(self, service: str, generation: str, limit: float) -> None:
        """Take in a limit that has just been adjusted."""
        learned = self._learned.setdefault((service, generation), Average(limit))
        learned.add(limit)


class LearnedLimit(Limit):
    """A limit that follows the measured targets."""

    weighs_runs = True
    paces_prefill = True

    def __init__(
        self,
        limits: LearnedLimits,
        service: str,
        generation: str,
        slots: int,
        ramp_from: float | None,
    ) -> None:
        self._limits = limits
        self._kind = (service, generation)
        self._most = max(1, slots) * MAX_SLOTS_FACTOR
        self._limit = max(1.0, limits.first(service, generation, max(1, slots)))
        self._ramp_from = ramp_from
        self._ratio = Average(0.0)
        self._adjusted_at = now()

    def allowed(self) -> int:
        """Return the limit, or the part of it that the ramp has reached."""
        limit = int(self._limit)
        return limit if self._ramp_from is None else min(limit, self._ramp())

    def overshoot(self) -> int:
        """Return a part of the limit; short runs of the top tier use it."""
        return max(1, int(self._limit * OVERSHOOT_SHARE))

    def note(self, ask: PermitRequest, load: float, report: RunReport) -> None:
        """Compare a run with its targets, and adjust after a few runs.

        Runs that began under an earlier limit say nothing of the present one.
        """
        ratio = self._ratio_to_target(ask, report)
        if ratio is None or now() - report.duration_s < self._adjusted_at:
            return
        self._ratio.add(min(ratio, LARGEST_RATIO))
        if self._ratio.samples < MIN_RUNS:
            return
        if self._ratio.value > SHRINK_ABOVE:
            self._adjust(max(1.0, self._limit * SHRINK_FACTOR))
        elif self._ratio.value < GROW_BELOW and self._is_in_use(load):
            step = max(1.0, self._limit * GROWTH * (1.0 - self._ratio.value))
            self._adjust(min(self._most, self._limit + step))

    def _adjust(self, limit: float) -> None:
        self._limit = limit
        self._adjusted_at = now()
        self._ratio = Average(0.0)
        self._limits.note(*self._kind, limit)

    def _is_in_use(self, load: float) -> bool:
        return load + 1.0 >= IN_USE_SHARE * self.allowed()

    def _ramp(self) -> int:
        age = now() - self._ramp_from
        if age >= RAMP_S:
            self._ramp_from = None
            return int(self._limit)
        return RAMP_FIRST + int((self._limit - RAMP_FIRST) * age / RAMP_S)

    def _ratio_to_target(self, ask: PermitRequest, report: RunReport) -> float | None:
        if report.outcome not in (RunOutcome.COMPLETED, RunOutcome.PREEMPTED):
            return None
        speed = self._limits.estimates.speed(*self._kind)
        if not is_model(ask):
            usual = PLAIN_SLOWDOWN * speed.plain_floor_s
            return report.duration_s / usual
        ratios = []
        if report.token_gap_s is not None:
            ratios.append(report.token_gap_s / ask.token_gap_target_s)
        if report.first_token_s is not None:
            target = max(ask.first_token_target_s, 2.0 * speed.prefill_s(ask))
            ratios.append(report.first_token_s / target)
        return max(ratios, default=None)
