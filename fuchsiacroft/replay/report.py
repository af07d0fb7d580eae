"""The report of a replay, as text."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from fuchsiacroft.replay import expectations
from fuchsiacroft.replay.expectations import RunLog
from fuchsiacroft.replay.outcome import End, Outcome

LOWEST_MS = 1
HIGHEST_MS = 600_000
DIGITS = 3
NAMED_ENDS = (End.LOST, End.SHORT, End.REFUSED)
PERCENTILES = (50.0, 95.0, 99.0)


def lines(outcomes: list[Outcome], log: RunLog) -> list[str]:
    """Return the lines of the report."""
    reached = expectations.goodput(outcomes)
    report = [f"requests={len(outcomes)}"]
    for rank, share in reached.items():
        mine = [outcome for outcome in outcomes if str(outcome.rank) == rank]
        ends = Counter(outcome.end for outcome in mine)
        told = " ".join(f"{end.value}={ends[end]}" for end in End if ends[end])
        report.append(f"rank={rank} requests={len(mine)} goodput={share:.4f} {told}")
        report.append(f"rank={rank} {_latencies(mine)}")
    report += [
        f"{outcome.end.value} {outcome.trace_id} service={outcome.service} "
        f"rank={outcome.rank} domain={outcome.domain} sent_at={outcome.sent_at:.3f} "
        f"ended_at={outcome.ended_at:.3f} status={outcome.status} "
        f"reason={outcome.reason} ran={outcome.ran}"
        for outcome in outcomes
        if outcome.end in NAMED_ENDS
    ]
    counted = expectations.counts(outcomes, log)
    report.append(" ".join(f"{name}={count}" for name, count in counted.items()))
    return report


def _latencies(outcomes: list[Outcome]) -> str:
    firsts = [outcome.first_token_s for outcome in outcomes]
    gaps = [outcome.token_gap_s for outcome in outcomes]
    whole = [
        outcome.ended_at - outcome.sent_at
        for outcome in outcomes
        if outcome.end is End.WHOLE
    ]
    parts = {"first_token": firsts, "token_gap": gaps, "answer": whole}
    return " ".join(f"{name}_ms={_percentiles(part)}" for name, part in parts.items())


def _percentiles(seconds: list[float | None]) -> str:
    histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
    for value in seconds:
        if value is not None:
            histogram.record_value(max(LOWEST_MS, round(value * 1000)))
    if not histogram.get_total_count():
        return "none"
    values = (histogram.get_value_at_percentile(p) for p in PERCENTILES)
    return "/".join(str(round(value)) for value in values)
