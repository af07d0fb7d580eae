"""Counts the responses of a rollout's new version and of the old ones, by route."""

import enum
from collections import Counter
from dataclasses import dataclass, field

from fuchsiacroft.rollouts.messages import MAX_ROUTES, RouteCounts
from fuchsiacroft.rollouts.response_times import Baseline, response_times
from fuchsiacroft.routing.permits import RunOutcome, RunReport

OTHER_ROUTES = ""
"""Name under which the routes above the limit of a message are added up."""
MAX_NAMED_ROUTES = MAX_ROUTES // 2 - 1
"""A route has two rows in a message, of the new version and of the old ones."""


class RunVerdict(enum.Enum):
    """What the end of a run says of the server's software."""

    GOOD = "good"
    SLOW = "slow"
    FAILED = "failed"
    LOST = "lost"
    NOTHING = "nothing"


@dataclass(slots=True)
class _Counts:
    """The counts of one route; `answers_of` and `bad_of` are those of each server."""

    began: int = 0
    failed: int = 0
    slow: int = 0
    answers_of: Counter[str] = field(default_factory=Counter)
    bad_of: Counter[str] = field(default_factory=Counter)
    lost_of: Counter[str] = field(default_factory=Counter)

    def row(self, route: str, *, is_new: bool) -> RouteCounts:
        """Return the counts as they are reported."""
        worst = max(self.bad_of, key=self.bad_of.__getitem__, default="")
        return RouteCounts(
            route,
            is_new,
            began=max(self.began, 0),
            answers=self.answers_of.total(),
            failed=self.failed,
            lost=self.lost_of.total(),
            slow=self.slow,
            bad_servers=len(self.bad_of),
            servers=len(self.answers_of),
            lost_servers=len(self.lost_of),
            worst_answers=self.answers_of[worst] if worst else 0,
            worst_bad=self.bad_of[worst] if worst else 0,
        )


class AnswerCounts:
    """The counts of one rollout since it became known here.

    The baseline is learned from the responses of old servers that are counted.
    """

    def __init__(self) -> None:
        self._counts: dict[tuple[str, bool], _Counts] = {}
        self._routes: set[str] = set()
        self._baseline = Baseline()

    def record_began(self, route: str, *, is_new: bool, change: int = 1) -> None:
        """Count a request that begins, or with -1 one that didn't begin after all."""
        self._of(route, is_new).began += change

    def record_end(
        self,
        route: str,
        server: str,
        work_tokens: int,
        report: RunReport,
        at: float,
        *,
        is_new: bool,
    ) -> None:
        """Count the end of a run whose request was sent."""
        counts = self._of(route, is_new)
        verdict = self._verdict(route, work_tokens, report)
        if not is_new and report.outcome is RunOutcome.COMPLETED:
            times = response_times(report, work_tokens)
            self._baseline.record(route, server, times, at)
        if verdict is RunVerdict.NOTHING:
            return
        if verdict is RunVerdict.LOST:
            counts.lost_of[server] += 1
            return
        counts.answers_of[server] += 1
        if verdict is RunVerdict.GOOD:
            return
        counts.bad_of[server] += 1
        if verdict is RunVerdict.FAILED:
            counts.failed += 1
        else:
            counts.slow += 1

    def rows(self) -> tuple[RouteCounts, ...]:
        """Return the counts as they are reported."""
        return tuple(
            counts.row(route, is_new=is_new)
            for (route, is_new), counts in self._counts.items()
        )

    def _verdict(self, route: str, work_tokens: int, report: RunReport) -> RunVerdict:
        """Return what a run says of its server's software.

        A run that ended early is slow if what came of its response was, or if nothing
        came in that time: its caller gave up, or another server took over.
        """
        match report.outcome:
            case RunOutcome.FAILED:
                return RunVerdict.FAILED
            case RunOutcome.COMPLETED:
                otherwise = RunVerdict.GOOD
            case RunOutcome.CONNECTION_LOST:
                otherwise = RunVerdict.LOST
            case RunOutcome.CANCELLED:
                otherwise = RunVerdict.NOTHING
            case _:
                return RunVerdict.NOTHING
        times = response_times(report, work_tokens)
        return RunVerdict.SLOW if self._baseline.is_slow(route, times) else otherwise

    def _of(self, route: str, is_new: bool) -> _Counts:
        if route not in self._routes:
            if len(self._routes) >= MAX_NAMED_ROUTES:
                route = OTHER_ROUTES
            self._routes.add(route)
        return self._counts.setdefault((route, is_new), _Counts())
