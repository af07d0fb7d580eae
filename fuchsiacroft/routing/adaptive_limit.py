"""Concurrency limits adapted to the measured first-token times and token gaps.

A limit grows, by at least one, while it is in use and its runs meet their targets
with a margin, and shrinks by a tenth when they do not. A backend server starts from
the limit learned by others of its generation, after a ramp in which a newly joined
one warms up.
"""

from fuchsiacroft.routing.concurrency_limit import ConcurrencyLimit
from fuchsiacroft.routing.estimates import MovingAverage, RunEstimates, is_model
from fuchsiacroft.routing.learned_limit import LearnedLimit
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport
from fuchsiacroft.utils.clock import now

RAMP_S = 8.0
RAMP_INITIAL_LIMIT = 2
INITIAL_SHARE = 0.75
MIN_RUNS = 4
SHRINK_FACTOR = 0.9
SHRINK_RATIO = 1.1
"""Mean ratio of measured to target time above which a limit shrinks."""
GROW_RATIO = 0.95
"""Mean ratio below which a limit that is in use grows."""
GROWTH_FACTOR = 0.6
IN_USE_SHARE = 0.6
"""Share of a limit from which it counts as in use."""
MAX_SLOTS_FACTOR = 2
PLAIN_SLOWDOWN = 2.0
"""Target of plain runs, in multiples of the lowest mean run time of the service."""
MAX_RATIO = 4.0
"""Upper bound of the ratio of a single run."""
OVERSHOOT_SHARE = 0.2


class LearnedLimits:
    """The limits learned for each service and generation."""

    def __init__(self, estimates: RunEstimates) -> None:
        self.estimates = estimates
        self._learned: dict[tuple[str, str], MovingAverage] = {}

    def initial(self, service: str, generation: str, slots: int) -> float:
        """Return the initial limit of a backend server."""
        learned = self._learned.get((service, generation))
        return INITIAL_SHARE * slots if learned is None else learned.value

    def record(self, service: str, generation: str, limit: float) -> None:
        """Record a limit that was just adjusted."""
        learned = self._learned.setdefault((service, generation), MovingAverage(limit))
        learned.add(limit)


class AdaptiveLimit(ConcurrencyLimit):
    """A limit that adapts to how well the runs meet their targets."""

    weighs_runs = True
    limits_prefill = True

    def __init__(
        self,
        limits: LearnedLimits,
        service: str,
        generation: str,
        slots: int,
        ramp_started_at: float | None,
    ) -> None:
        self._limits = limits
        self._key = (service, generation)
        self._limit = LearnedLimit(
            limits.initial(service, generation, max(1, slots)),
            max(1, slots) * MAX_SLOTS_FACTOR,
            now(),
        )
        self._ramp_started_at = ramp_started_at
        self._ratio = MovingAverage(0.0)

    def allowed(self) -> int:
        """Return the limit, or the current value of the ramp if lower."""
        limit = self._limit.allowed()
        return (
            limit if self._ramp_started_at is None else min(limit, self._ramped_limit())
        )

    def overshoot(self) -> int:
        """Return a share of the limit, meant for short runs of the top tier."""
        return max(1, int(self._limit.value * OVERSHOOT_SHARE))

    def record_run(
        self, request: PermitRequest, load: float, report: RunReport
    ) -> None:
        """Compare a run with its targets, and adjust the limit after a few runs.

        Runs that started under an earlier limit are ignored.
        """
        ratio = self._ratio_to_target(request, report)
        if ratio is None or now() - report.duration_s < self._limit.adjusted_at:
            return
        self._ratio.add(min(ratio, MAX_RATIO))
        if self._ratio.samples < MIN_RUNS:
            return
        if self._ratio.value > SHRINK_RATIO:
            self._adjust(self._limit.value * SHRINK_FACTOR)
        elif self._ratio.value < GROW_RATIO and self._is_in_use(load):
            growth = GROWTH_FACTOR * (1.0 - self._ratio.value)
            self._adjust(self._limit.value + max(1.0, self._limit.value * growth))

    def _adjust(self, limit: float) -> None:
        self._limit.adjust(limit, now())
        self._ratio = MovingAverage(0.0)
        self._limits.record(*self._key, self._limit.value)

    def _is_in_use(self, load: float) -> bool:
        return load + 1.0 >= IN_USE_SHARE * self.allowed()

    def _ramped_limit(self) -> int:
        age_s = now() - self._ramp_started_at
        if age_s >= RAMP_S:
            self._ramp_started_at = None
            return self._limit.allowed()
        return RAMP_INITIAL_LIMIT + int(
            (self._limit.value - RAMP_INITIAL_LIMIT) * age_s / RAMP_S
        )

    def _ratio_to_target(
        self, request: PermitRequest, report: RunReport
    ) -> float | None:
        if report.outcome not in (RunOutcome.COMPLETED, RunOutcome.PREEMPTED):
            return None
        speed = self._limits.estimates.speed(*self._key)
        if not is_model(request):
            acceptable_s = PLAIN_SLOWDOWN * speed.plain_floor_s
            return report.duration_s / acceptable_s
        ratios = []
        if report.token_gap_s is not None:
            ratios.append(report.token_gap_s / request.token_gap_target_s)
        if report.first_token_s is not None:
            target_s = max(request.first_token_target_s, 2.0 * speed.prefill_s(request))
            ratios.append(report.first_token_s / target_s)
        return max(ratios, default=None)
