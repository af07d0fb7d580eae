"""Text report of a replay."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from fuchsiacroft.replay import expectations
from fuchsiacroft.replay.expectations import RunLog
from fuchsiacroft.replay.outcome import End, Outcome

LOWEST_MS = 1
HIGHEST_MS = 600_000
SIGNIFICANT_DIGITS = 3
LISTED_ENDS = (End.LOST, End.DISCONNECTED, End.TRUNCATED, End.REFUSED)
PERCENTILES = (50.0, 95.0, 99.0)


def lines(outcomes: list[Outcome], log: RunLog) -> list[str]:
    """Return the lines of the report."""
    goodput = expectations.goodput(outcomes)
    report = [f"requests={len(outcomes)}"]
    for rank, share in goodput.items():
        in_tier = [outcome for outcome in outcomes if str(outcome.rank) == rank]
        ends = Counter(outcome.end for outcome in in_tier)
        end_counts = " ".join(f"{end.value}={ends[end]}" for end in End if ends[end])
        report.append(
            f"rank={rank} requests={len(in_tier)} goodput={share:.4f} {end_counts}"
        )
        report.append(f"rank={rank} {_latencies(in_tier)}")
    report += [
        f"{outcome.end.value} {outcome.trace_id} service={outcome.service} "
        f"rank={outcome.rank} domain={outcome.domain} sent_at={outcome.sent_at:.3f} "
        f"ended_at={outcome.ended_at:.3f} status={outcome.status} "
        f"reason={outcome.reason} ran={outcome.ran}"
        for outcome in outcomes
        if outcome.end in LISTED_ENDS
    ]
    counts = expectations.counts(outcomes, log)
    report.append(" ".join(f"{name}={count}" for name, count in counts.items()))
    return report


def _latencies(outcomes: list[Outcome]) -> str:
    first_tokens = [outcome.first_token_s for outcome in outcomes]
    gaps = [outcome.token_gap_s for outcome in outcomes]
    durations = [
        outcome.ended_at - outcome.sent_at
        for outcome in outcomes
        if outcome.end is End.COMPLETE
    ]
    parts = {"first_token": first_tokens, "token_gap": gaps, "answer": durations}
    return " ".join(f"{name}_ms={_percentiles(part)}" for name, part in parts.items())


def _percentiles(seconds: list[float | None]) -> str:
    histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
    for value in seconds:
        if value is not None:
            histogram.record_value(max(LOWEST_MS, round(value * 1000)))
    if not histogram.get_total_count():
        return "none"
    values = (histogram.get_value_at_percentile(p) for p in PERCENTILES)
    return "/".join(str(round(value)) for value in values)
