"""Estimates how long runs on the old servers usually take, from their counts.

By Little's law the mean length of the runs of a route is the mean number of runs in
progress, divided by the runs that end in a second.
"""

from collections.abc import Sequence

from fuchsiacroft.rollouts.counts import NONE, Tally

LONGEST_FACTOR = 1.5
"""The longest usual runs of a route take so many times the mean."""
USUAL_RUN_SHARE = 1 / 3
"""Usual part of a timeout that the longest runs take, while no runs tell: callers wait
for longer than a response usually takes, as most runs would fail in a burst otherwise.
"""
MIN_ENDED_RUNS = 10
MIN_SPAN_S = 1.0


def longest_usual_run_s(history: Sequence[tuple[float, Tally]]) -> float | None:
    """Return the length of the longest usual runs, None if it isn't known.

    `history` are tallies with their times. It isn't known if runs of a route are in
    progress and hardly any has ended.
    """
    if not history or history[-1][0] - history[0][0] < MIN_SPAN_S:
        return None
    longest_s = 0.0
    for route in history[-1][1].old:
        mean_s = _mean_run_s(history, route)
        if mean_s is None:
            return None
        longest_s = max(longest_s, mean_s)
    return LONGEST_FACTOR * longest_s


def _mean_run_s(history: Sequence[tuple[float, Tally]], route: str) -> float | None:
    counts = [(at, tally.old.get(route, NONE)) for at, tally in history]
    in_progress = sum(one.in_progress for _, one in counts) / len(counts)
    (began_at, first), (ended_at, last) = counts[0], counts[-1]
    ended = last.ended - first.ended
    if ended < MIN_ENDED_RUNS:
        return None if in_progress >= 1.0 else 0.0
    return in_progress * (ended_at - began_at) / ended
