"""The expected outcomes of a trace, and the checks for them."""

from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from fuchsiacroft.replay.outcome import End, Outcome

INVERSION_MARGIN_S = 0.5
SHED_REASONS = ("overloaded", "timed_out")


class Expectations(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The expected outcomes of a replay.

    Each number is the maximum allowed count; None allows any. `goodput` is the
    minimum share of a tier's requests, by rank, that are answered completely
    and in time.
    """

    goodput: dict[str, float] = {}
    lost: int | None = 0
    ended: int | None = 0
    short: int | None = 0
    mixed: int | None = 0
    doubled: int | None = 0
    false_not_run: int | None = 0
    inversions: int | None = 0
    cut: int | None = None


@dataclass(frozen=True, slots=True)
class RunLog:
    """Number of runs per request, as logged by the stand-ins."""

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
    """Return the count for each field of `Expectations`, except `goodput`."""
    ends = Counter(outcome.end for outcome in outcomes)
    return {
        "lost": ends[End.LOST],
        "ended": ends[End.DISCONNECTED],
        "short": ends[End.TRUNCATED],
        "cut": ends[End.INTERRUPTED],
        "mixed": sum(outcome.is_mixed for outcome in outcomes),
        "doubled": count_doubled(outcomes, log),
        "false_not_run": count_false_not_run(outcomes, log),
        "inversions": count_inversions(outcomes),
    }


def count_doubled(outcomes: list[Outcome], log: RunLog) -> int:
    """Count requests that ran twice, and idempotency keys with several runs."""
    doubled = sum(count > 1 for count in log.by_request.values())
    by_key: Counter[str] = Counter()
    for outcome in outcomes:
        if not outcome.idempotent:
            by_key[outcome.resend_of or outcome.trace_id] += log.by_trace[
                outcome.trace_id
            ]
    return doubled + sum(count > 1 for count in by_key.values())


def count_false_not_run(outcomes: list[Outcome], log: RunLog) -> int:
    """Count refusals reported as "not run" whose requests did run."""
    return sum(
        outcome.ran == "no" and log.by_trace[outcome.trace_id] > 0
        for outcome in outcomes
    )


def count_inversions(outcomes: list[Outcome]) -> int:
    """Count requests shed while a lower tier ran where they could have run.

    A request that was dispatched and timed out on its backend server does not
    count as shed; only a refusal that says "not run" does.
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
    return sum(any(_ran_instead_of(lower, higher) for lower in ran) for higher in shed)


def goodput(outcomes: list[Outcome]) -> dict[str, float]:
    """Return the share of complete and timely answers of each tier, by rank."""
    total: Counter[str] = Counter()
    good: Counter[str] = Counter()
    for outcome in outcomes:
        total[str(outcome.rank)] += 1
        good[str(outcome.rank)] += outcome.is_good
    return {rank: good[rank] / total[rank] for rank in sorted(total)}


def violations(
    expected: Expectations, outcomes: list[Outcome], log: RunLog
) -> list[str]:
    """Return a message for each expectation that is not met."""
    messages = []
    for name, count in counts(outcomes, log).items():
        maximum = getattr(expected, name)
        if maximum is not None and count > maximum:
            messages.append(f"{name}: {count}, stated at most {maximum}")
    measured = goodput(outcomes)
    for rank, minimum in expected.goodput.items():
        share = measured.get(rank, 0.0)
        if share < minimum:
            messages.append(f"goodput of rank {rank}: {share:.4f}, stated {minimum}")
    return messages


def _ran_instead_of(lower: Outcome, higher: Outcome) -> bool:
    if lower.rank <= higher.rank or lower.service != higher.service:
        return False
    if lower.domain != higher.domain:
        return False
    started_at = lower.sent_at + lower.first_token_s
    return (
        started_at < higher.ended_at - INVERSION_MARGIN_S
        and lower.ended_at > higher.ended_at + INVERSION_MARGIN_S
    )
