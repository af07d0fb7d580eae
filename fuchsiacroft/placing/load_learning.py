"""How much load one backend server handles well, learned from its runs and answers.

It answers servers that complete less work in the same time with more runs than with
fewer, or that refuse requests as full: such a server gets fewer concurrent runs,
between one and its slots. A server that is only slow keeps its limit, as fewer runs
would not make it faster. A new start of a server begins with its slots. The module
does no I/O and gets the time as an argument.
"""

from collections.abc import Sequence

from fuchsiacroft.membership import reported_load
from fuchsiacroft.membership.reported_load import ReportedLoad
from fuchsiacroft.placing.run_work import RunWork
from fuchsiacroft.placing.throughput import Throughput
from fuchsiacroft.routing.learned_limit import LearnedLimit, LimitChange
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport

MAX_WAITING_SHARE = 0.5
"""Share of a limit that a server's report of waiting requests may take away."""
MAX_UNMEASURED = 1
"""Levels below the limit that a loss may be concluded for from the next lower one. An
error at a low level must not take all levels above it away."""
RETRY_S = 5.0
MAX_RETRY_S = 40.0
"""The next level is tried after this time, doubled each time that it was no good, and
then needs 10 s at least to be measured."""
REFUSAL_RETRY_S = 0.5
"""A run of a server that is full ends within this time mostly."""


class LoadLearning:
    """The learned limit of one start of a server, and the last load that it reported.

    It has no effect until the server reports its speed, unless `is_active` is set.
    """

    def __init__(self, slots: int, at: float = 0.0) -> None:
        self.is_active = False
        self.limit = LearnedLimit(slots, slots, at)
        self._throughput = Throughput(at)
        self._work = RunWork()
        self._level_times = [0.0] * (slots + 1)
        self._clocked_at = at
        self._retry_s = RETRY_S
        self._is_trial = False
        self._refused_from: float | None = None
        self._reported: ReportedLoad | None = None
        self._reported_at = 0.0

    def dump(self, at: float) -> dict:
        """Return the limit and the last report; nothing while it has no effect."""
        if not self.is_active:
            return {}
        return {
            "learned_limit": round(self.limit.value, 2),
            "slowness": round(self.slowness(at), 2),
        }

    def allowed(self, slots: int, at: float) -> int:
        """Return how many runs the server may have of its announced slots.

        The requests that it says it queues itself take a part of the limit, as long as
        the report is fresh.
        """
        if not self.is_active:
            return slots
        self.limit.set_maximum(slots)
        allowed = self.limit.value
        allowed -= min(self._waiting(at), allowed * MAX_WAITING_SHARE)
        return max(int(allowed), 1)

    def mean_allowed(self, slots: int) -> float:
        """Return the limit without the influence of single reports."""
        return min(self.limit.value, slots) if self.is_active else slots

    def slowness(self, at: float) -> float:
        """Return the factor by which the server says it is slower, from 1 to a bound.

        It is 1 without a fresh report.
        """
        if not self.is_active or self._reported is None:
            return 1.0
        return self._reported.slowness(at - self._reported_at)

    def cost_factor(self, slots: int, at: float) -> float:
        """Return the factor by which a run takes longer by the last report."""
        if not self.is_active:
            return 1.0
        factor = self.slowness(at) + self._waiting(at) / max(slots, 1)
        return min(factor, reported_load.MAX_SLOWNESS)

    def record_report(self, load: ReportedLoad, at: float) -> None:
        """Record what the server reported at a time; the newest report counts."""
        if load.percent is not None:
            self.is_active = True
        if self._reported is None or at >= self._reported_at:
            self._reported, self._reported_at = load, at

    def advance(self, running: int, at: float) -> None:
        """Count the time since the last call for the number of runs in progress.

        Time at which the machine is slow counts less, as less work is done in it.
        """
        if running >= len(self._level_times):
            self._level_times += [0.0] * (running + 1 - len(self._level_times))
        passed_s = max(at - self._clocked_at, 0.0)
        self._level_times[running] += passed_s / self.slowness(at)
        self._clocked_at = max(at, self._clocked_at)

    def level_times(self) -> tuple[float, ...] | None:
        """Return the time at each number of runs so far, None while it has no effect.

        The difference between the end and the start of a run is the run's own time.
        """
        return tuple(self._level_times) if self.is_active else None

    def usual_share(
        self, times_at_start: Sequence[float] | None, duration_s: float
    ) -> float:
        """Return the share of its time that a run takes on the machine as usual.

        What is learned of run times must not hold the reported slowness, too, by which
        the expected time is multiplied.
        """
        if times_at_start is None or duration_s <= 0.0:
            return 1.0
        usual_s = sum(self._times_since(times_at_start))
        return min(max(usual_s / duration_s, 1.0 / reported_load.MAX_SLOWNESS), 1.0)

    def record_run(
        self,
        permit_request: PermitRequest,
        times_at_start: Sequence[float] | None,
        report: RunReport,
        running: int,
        at: float,
    ) -> LimitChange | None:
        """Learn from a run that ended beside `running` others."""
        if not self.is_active:
            return None
        if report.outcome is RunOutcome.REFUSED:
            return self._record_refusal(running, at)
        if report.outcome is RunOutcome.COMPLETED and times_at_start is not None:
            times = self._times_since(times_at_start)
            work = self._work.record(permit_request, sum(times))
            if work is not None:
                self._throughput.record(work, times)
        return None

    def review(self, slots: int, at: float) -> LimitChange | None:
        """Lower or raise the limit by one if it is time for it."""
        if not self.is_active:
            return None
        self.limit.set_maximum(slots)
        if self._throughput.close_period(at):
            limit = self.limit.allowed()
            level = self._throughput.highest_measured(limit) or 0
            is_near = level >= max(limit - MAX_UNMEASURED, 1)
            ratio = self._throughput.loss_ratio(level) if is_near else None
            if ratio is not None and limit > 1:
                return self._lower(level, ratio, at)
            if level == limit:
                self._is_trial, self._retry_s = False, RETRY_S
        return self._raise(at) if self._may_raise(at) else None

    def _times_since(self, times_at_start: Sequence[float]) -> list[float]:
        earlier = (*times_at_start, *[0.0] * len(self._level_times))
        return [
            max(time - before, 0.0)
            for time, before in zip(self._level_times, earlier, strict=False)
        ]

    def _record_refusal(self, running: int, at: float) -> LimitChange | None:
        """Lower the limit to the runs that a server has that refused one as full."""
        if running >= self.limit.value:
            return None
        if self._refused_from is None:
            self._refused_from = self.limit.value
        change = self._adjust(running, "refused", running + 1, at)
        return change if change.after < change.before else None

    def _lower(self, level: int, ratio: float, at: float) -> LimitChange:
        if self._is_trial:
            self._retry_s = min(2 * self._retry_s, MAX_RETRY_S)
        self._is_trial, self._refused_from = False, None
        return self._adjust(self.limit.value - 1, "throughput", level, at, ratio)

    def _may_raise(self, at: float) -> bool:
        waited_s = at - self.limit.adjusted_at
        if self.limit.value >= self.limit.maximum:
            return False
        if self._refused_from is not None:
            return waited_s >= REFUSAL_RETRY_S
        if waited_s < self._retry_s:
            return False
        is_known = self._throughput.is_measured(self.limit.allowed())
        return is_known or waited_s >= MAX_RETRY_S

    def _raise(self, at: float) -> LimitChange:
        """Try the next level, on new evidence unless it was only refused."""
        limit = self.limit.allowed()
        raised = self.limit.value + 1
        if self._refused_from is not None:
            raised = min(raised, self._refused_from)
            if raised >= self._refused_from:
                self._refused_from = None
            return self._adjust(raised, "retry", limit, at)
        self._is_trial = True
        self._throughput.forget_above(limit)
        return self._adjust(raised, "retry", limit, at)

    def _adjust(
        self, limit: float, reason: str, load: int, at: float, ratio: float = 0.0
    ) -> LimitChange:
        before = self.limit.value
        self.limit.adjust(limit, at)
        return LimitChange(before, self.limit.value, reason, load, ratio)

    def _waiting(self, at: float) -> float:
        if self._reported is None or not self._reported.waiting:
            return 0.0
        age_s = at - self._reported_at
        return self._reported.waiting * reported_load.weight(age_s)
