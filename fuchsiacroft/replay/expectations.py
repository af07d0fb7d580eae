"""The outcomes that a trace states, and the judges that check them."""

from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from fuchsiacroft.replay.outcome import End, Outcome

INVERSION_MARGIN_S = 0.5
SHED_REASONS = ("overloaded", "timed_out")


class Expectations(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What must hold after a replay.

    Each number is the most that may be counted; None allows any. `goodput` is
    the least share of a tier's requests, by rank, that are answered whole and
    in time.
    """

    goodput: dict[str, float] = {}
    lost: int | None = 0
    short: int | None = 0
    mixed: int | None = 0
    doubled: int | None = 0
    false_not_run: int | None = 0
    inversions: int | None = 0
    cut: int | None = None


@dataclass(frozen=True, slots=True)
class RunLog:
    """How often each request ran, as the stand-ins wrote it down."""

    by_request: Counter[str] = field(default_factory=Counter)
    by_trace: Counter[str] = field(default_factory=Counter)


def read_run_log(paths: list[Path]) -> RunLog:
    """Count the `run_started` events in the stand-ins' logs."""
    log = RunLog()
    for path in paths:
        for line in path.read_text(encoding="utf-8").splitlines():
            if " event=run_started " not in line:
                continue
            fields = dict(pair.split("=", 1) for pair in line.split() if "=" in pair)
            log.by_request[fields["request_id"]] += 1
            log.by_trace[fields["trace_id"]] += 1
    return log


def counts(outcomes: list[Outcome], log: RunLog) -> dict[str, int]:
    """Return what was counted under each name of `Expectations`."""
    ends = Counter(outcome.end for outcome in outcomes)
    return {
        "lost": ends[End.LOST],
        "short": ends[End.SHORT],
        "cut": ends[End.CUT],
        "mixed": sum(outcome.is_mixed for outcome in outcomes),
        "doubled": count_doubled(outcomes, log),
        "false_not_run": count_false_not_run(outcomes, log),
        "inversions": count_inversions(outcomes),
    }


def count_doubled(outcomes: list[Outcome], log: RunLog) -> int:
    """Count requests that ran twice, and keys of which more than one ran."""
    doubled = sum(count > 1 for count in log.by_request.values())
    by_key: Counter[str] = Counter()
    for outcome in outcomes:
        if not outcome.idempotent:
            by_key[outcome.resend_of or outcome.trace_id] += log.by_trace[
                outcome.trace_id
            ]
    return doubled + sum(count > 1 for count in by_key.values())


def count_false_not_run(outcomes: list[Outcome], log: RunLog) -> int:
    """Count refusals that say "not run" of requests that ran."""
    return sum(
        outcome.ran == "no" and log.by_trace[outcome.trace_id] > 0
        for outcome in outcomes
    )


def count_inversions(outcomes: list[Outcome]) -> int:
    """Count requests shed while a lower tier ran where they could have run.

    A request that was dispatched and timed out on its backend server was not
    shed; only a refusal that says "not run" is one.
    """
    shed = [
        outcome
        for outcome in outcomes
        if outcome.end is End.REFUSED
        and outcome.reason in SHED_REASONS
        and outcome.ran == "no"
    ]
    ran = [
        outcome
        for outcome in outcomes
        if outcome.idempotent and outcome.first_token_s is not None
    ]
    return sum(any(_runs_below(low, high) for low in ran) for high in shed)


def goodput(outcomes: list[Outcome]) -> dict[str, float]:
    """Return the share of each tier answered whole and in time, by rank."""
    total: Counter[str] = Counter()
    good: Counter[str] = Counter()
    for outcome in outcomes:
        total[str(outcome.rank)] += 1
        good[str(outcome.rank)] += outcome.is_good
    return {rank: good[rank] / total[rank] for rank in sorted(total)}


def violations(
    expected: Expectations, outcomes: list[Outcome], log: RunLog
) -> list[str]:
    """Return a sentence for each stated outcome that does not hold."""
    wrong = []
    for name, count in counts(outcomes, log).items():
        most = getattr(expected, name)
        if most is not None and count > most:
            wrong.append(f"{name}: {count}, stated at most {most}")
    reached = goodput(outcomes)
    for rank, least in expected.goodput.items():
        share = reached.get(rank, 0.0)
        if share < least:
            wrong.append(f"goodput of rank {rank}: {share:.4f}, stated {least}")
    return wrong


def _runs_below(low: Outcome, high: Outcome) -> bool:
    if low.rank <= high.rank or low.service != high.service:
        return False
    if low.domain != high.domain:
        return False
    began_at = low.sent_at + low.first_token_s
    return (
        began_at < high.ended_at - INVERSION_MARGIN_S
        and low.ended_at > high.ended_at + INVERSION_MARGIN_S
    )
