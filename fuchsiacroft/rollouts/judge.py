"""Judges a new version by its responses, beside those of the old ones.

The load that this handles: a canary that gets a tenth of a service's requests, of which
a fifth or more are bad, at 10 to 10,000 requests a second. Its bad responses are
compared with as many as would be expected if it were as good as the old versions are on
the same routes at the same time, so that bursts and links count for neither.
"""

import enum
import math
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from fuchsiacroft.rollouts.counts import NONE, Counts, Tally, total

SURE_SCORE = 10.0
"""Negative natural logarithm of the chance that so many bad responses are bad luck.

The judge looks a few times a second at up to some hundred routes; 5e-5 for each look
makes a wrong rollback rare, as looks at cumulative counts are hardly independent.
"""
HARM_SCORE = 4.0
"""Enough once the bad responses come near the number that callers may get."""
DOUBT_SCORE = 2.0
"""A version with so high a score isn't completed either."""
HARM_PART = 0.5
"""Part of the permitted bad responses from which `HARM_SCORE` is enough."""
MIN_BAD_ANSWERS = 4
OTHERS_SCORE = 5.0
"""Score of the servers beside the worst one at which they are bad, too."""
ALONE_SCORE = 3.0
"""Score of the worst server, beside the others, at which it alone is at fault."""
MIN_OTHERS_BAD = 3
"""One or two bad responses of other servers may be as usual."""
MIN_OTHERS_EXPECTED_BAD = 3.0
"""The servers beside the worst one have shown too little to be compared with it if
they would have had fewer bad responses at its rate."""

EXPECTED_FACTOR = 1.5
EXPECTED_MARGIN = 0.01
"""A version isn't bad that is up to half worse than the old ones, and a percent."""
PRIOR_ANSWERS = 20
PRIOR_RATE = 0.02
"""The old versions' rate of bad responses while these have fewer responses."""
NO_BASELINE_MARGIN = 0.1
"""Added where the old versions had no responses at the same time."""

MIN_ANSWERS = 20
"""A version of whose responses a fifth are bad shows none in 20 once in 100 times."""
MIN_ROUTE_ANSWERS = 3
MIN_ROUTE_SHARE = 0.1
"""Routes with so large a share of the old responses need `MIN_ROUTE_ANSWERS` each."""

LOST_SERVERS_SHARE = 2 / 3
"""A version crashes by itself if so many of its servers lost connections."""


ALL_ROUTES = "*"
ANY_KIND = "failed_or_slow"
_KINDS: dict[str, Callable[[Counts], int]] = {
    "failed": lambda counts: counts.failed,
    "slow": lambda counts: counts.slow,
    ANY_KIND: lambda counts: counts.bad,
}


class _Blame(enum.Enum):
    """What the bad responses are due to, as far as their servers show.

    `UNCLEAR`: one server had most of them, and the others too few responses to compare.
    """

    VERSION = "version"
    SERVER = "server"
    UNCLEAR = "unclear"


class Verdict(enum.Enum):
    """What is known of a version."""

    GOOD = "good"
    BAD = "bad"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Judgement:
    """A verdict with the figures that decided it.

    `counts` are the new version's, `expected` the bad responses that the old versions
    would have had, on the route, or on all if it is "*".
    """

    verdict: Verdict
    reason: str
    route: str = ALL_ROUTES
    counts: Counts = NONE
    expected: float = 0.0
    score: float = 0.0


@dataclass(frozen=True, slots=True)
class _Comparison:
    """One count of the new version beside what the old versions let expect."""

    kind: str
    route: str
    counts: Counts
    bad: int
    expected: float
    blame: _Blame

    @property
    def score(self) -> float:
        return score(self.bad, self.expected)


def judge(
    windows: Sequence[Tally], permitted_bad: float, *, baseline: Tally | None = None
) -> Judgement:
    """Judge a version by its responses in windows, the longest one first.

    `permitted_bad` is the number of bad responses that callers may get. `baseline`, by
    default the first window, is used for routes on which the old versions have too few
    responses in a window.
    """
    baseline = baseline if baseline is not None else windows[0]
    compared = [one for window in windows for one in _compare(window, baseline)]
    worst = max(compared, key=_rank, default=None)
    if worst is not None and _is_bad(worst, permitted_bad):
        return _judgement(Verdict.BAD, worst.kind, worst)
    return _judge_evidence(windows[0], baseline, worst, compared)


def score(bad: int, expected: float) -> float:
    """Return how surely more bad responses were seen than chance explains.

    This is the Chernoff bound of a Poisson variable of the expected mean.
    """
    if bad <= expected or not bad:
        return 0.0
    return bad * math.log(bad / expected) - (bad - expected)


def _judge_evidence(
    window: Tally,
    baseline: Tally,
    worst: _Comparison | None,
    compared: list[_Comparison],
) -> Judgement:
    counts = total(window.new.values())
    if counts.answers < MIN_ANSWERS:
        return Judgement(Verdict.UNKNOWN, "few_answers", counts=counts)
    old_answers = total(baseline.old.values()).answers
    for route, old in baseline.old.items():
        new = window.new.get(route, NONE)
        is_used = old.answers >= max(MIN_ROUTE_SHARE * old_answers, MIN_ROUTE_ANSWERS)
        if is_used and new.answers < MIN_ROUTE_ANSWERS:
            return Judgement(Verdict.UNKNOWN, "few_answers_on_route", route, new)
    if (
        worst is not None
        and worst.blame is not _Blame.SERVER
        and worst.score >= DOUBT_SCORE
    ):
        return _judgement(Verdict.UNKNOWN, f"doubt_{worst.kind}", worst)
    overall = next(
        one for one in compared if (one.route, one.kind) == (ALL_ROUTES, ANY_KIND)
    )
    return _judgement(Verdict.GOOD, "as_good_as_old", overall)


def _judgement(verdict: Verdict, reason: str, worst: _Comparison) -> Judgement:
    return Judgement(
        verdict, reason, worst.route, worst.counts, worst.expected, worst.score
    )


def _rank(compared: _Comparison) -> tuple[bool, float]:
    return compared.blame is not _Blame.SERVER, compared.score


def _is_bad(compared: _Comparison, permitted_bad: float) -> bool:
    if compared.blame is _Blame.SERVER or compared.bad < MIN_BAD_ANSWERS:
        return False
    if compared.bad >= HARM_PART * permitted_bad:
        return compared.score >= HARM_SCORE
    return compared.blame is _Blame.VERSION and compared.score >= SURE_SCORE


def _compare(window: Tally, baseline: Tally) -> Iterator[_Comparison]:
    """Yield the comparisons of each route, and of all routes together.

    A route on which it is unclear what is at fault goes by all routes together.
    """
    expected_by_route = {
        route: _expected_bad(new, *_old_counts(window, baseline, route))
        for route, new in window.new.items()
    }
    everything = total(window.new.values())
    expected_on_all = {
        kind: sum(expected[kind] for expected in expected_by_route.values())
        for kind in _KINDS
    }
    blame_on_all = _blame(everything, expected_on_all[ANY_KIND])
    yield from _comparisons(ALL_ROUTES, everything, expected_on_all, blame_on_all)
    for route, new in window.new.items():
        expected = expected_by_route[route]
        blame = _blame(new, expected[ANY_KIND])
        if blame is _Blame.UNCLEAR and blame_on_all is _Blame.SERVER:
            blame = _Blame.SERVER
        yield from _comparisons(route, new, expected, blame)
        yield _lost(route, new, window.old.get(route, NONE))


def _expected_bad(new: Counts, old: Counts, margin: float) -> dict[str, float]:
    return {
        kind: new.answers * _expected_rate(count(old), old.answers, margin)
        for kind, count in _KINDS.items()
    }


def _old_counts(window: Tally, baseline: Tally, route: str) -> tuple[Counts, float]:
    """Return the old versions' counts on a route, and the margin to add."""
    old = window.old.get(route, NONE)
    if old.answers >= PRIOR_ANSWERS:
        return old, EXPECTED_MARGIN
    earlier = baseline.old.get(route, NONE)
    is_late = earlier.answers > old.answers
    return (earlier, NO_BASELINE_MARGIN) if is_late else (old, EXPECTED_MARGIN)


def _expected_rate(bad: int, answers: int, margin: float) -> float:
    if answers >= PRIOR_ANSWERS:
        rate = bad / answers
    else:
        rate = (bad + PRIOR_RATE * PRIOR_ANSWERS) / (answers + PRIOR_ANSWERS)
    return min(EXPECTED_FACTOR * rate + margin, 1.0)


def _comparisons(
    route: str, new: Counts, expected: dict[str, float], blame: _Blame
) -> Iterator[_Comparison]:
    for kind, count in _KINDS.items():
        yield _Comparison(kind, route, new, count(new), expected[kind], blame)


def _blame(new: Counts, expected: float) -> _Blame:
    """Return whether more than the worst server is at fault.

    `expected` are the bad responses that the old versions would have had.
    """
    others = max(new.answers - new.worst_answers, 0)
    if new.servers <= 1 and not (new.worst_answers and others):
        return _Blame.VERSION
    if not new.worst_answers:
        is_spread = new.bad_servers >= 2 and 2 * new.bad_servers >= new.servers
        return _Blame.VERSION if is_spread else _Blame.SERVER
    if others * new.worst_bad / new.worst_answers < MIN_OTHERS_EXPECTED_BAD:
        return _Blame.UNCLEAR
    others_bad = min(max(new.bad - new.worst_bad, 0), others)
    if score(others_bad, expected * others / new.answers) >= OTHERS_SCORE:
        return _Blame.VERSION
    expected_bad = new.worst_answers * (others_bad + 1) / (others + 1)
    if score(new.worst_bad, expected_bad) >= ALONE_SCORE:
        return _Blame.SERVER
    return _Blame.VERSION if others_bad >= MIN_OTHERS_BAD else _Blame.UNCLEAR


def _lost(route: str, new: Counts, old: Counts) -> _Comparison:
    """Compare lost connections, which count if most servers lost some."""
    runs = new.answers + new.lost
    rate = _expected_rate(old.lost, old.answers + old.lost, EXPECTED_MARGIN)
    servers = max(new.servers, new.lost_servers)
    blame = _Blame.SERVER
    if servers == 1:
        # One crash loses several runs, and no other server shows whether it is usual.
        blame = _Blame.UNCLEAR
    elif new.lost_servers >= LOST_SERVERS_SHARE * servers:
        blame = _Blame.VERSION
    return _Comparison("lost", route, new, new.lost, runs * rate, blame)
