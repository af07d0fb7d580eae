"""Judges what was seen in a run; each sentence names a promise that was broken."""

from collections import defaultdict

from fuchsiacroft.tests.soak.observations import Attempt, Observations, Run

REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""
EVENTS = 6
"""Events of a whole stream."""
CONVERGE_S = 2.0
LEAVE_S = 3.0
"""After an acknowledged leave, nothing more is sent there."""
LATE_S = 2.0
"""Past its timeout, when a caller must have seen the end of its request."""
SETTLE_S = 6.0
"""Before a request and around it, without a fault: nothing excuses a loss then."""
SERVED_AFTERWARDS = 0.95
"""The share of requests answered after the last fault is over."""


def violations(seen: Observations) -> list[str]:
    """Return what was wrong in a run, in sentences."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in seen.runs:
        runs[run.attempt_id].append(run)
    wrong = [f"a program ended by itself: {text}" for text in seen.unexpected_exits]
    wrong += seen.wrongly_accepted
    for attempt in seen.attempts:
        wrong += _of_attempt(attempt, runs[attempt.attempt_id], seen)
    wrong += _unasked(seen)
    wrong += _of_leaves(seen)
    wrong += _of_configuration(seen)
    wrong += _of_recovery(seen)
    return wrong


def _of_attempt(attempt: Attempt, runs: list[Run], seen: Observations) -> list[str]:
    name = f"{attempt.route} {attempt.attempt_id} at {attempt.sent_at:.2f} s"
    wrong = []
    if len(runs) > 1 and attempt.route not in ("safe", "resumable"):
        wrong.append(f"{name} ran {len(runs)} times")
    if attempt.status in REFUSALS and runs:
        wrong.append(f"{name} was refused with {attempt.status} and ran")
    if not attempt.genuine:
        wrong.append(f"{name} got bytes that are not its answer")
    wrong += _of_stream(attempt, name)
    if attempt.abandoned:
        return wrong
    if attempt.ended_at - attempt.sent_at > attempt.timeout_s + LATE_S:
        wrong.append(f"{name} ended {attempt.ended_at - attempt.sent_at:.1f} s later")
    if runs and attempt.status is None and _is_calm(attempt, seen):
        wrong.append(f"{name} ran and was lost in calm")
    return wrong


def _of_stream(attempt: Attempt, name: str) -> list[str]:
    expected = list(range(1, len(attempt.events) + 1))
    if attempt.events != expected:
        return [f"{name} got events {attempt.events}"]
    if attempt.events and attempt.whole and len(attempt.events) < EVENTS:
        return [f"{name} ended as whole after {len(attempt.events)} events"]
    return []


def _is_calm(attempt: Attempt, seen: Observations) -> bool:
    end = attempt.ended_at or attempt.sent_at
    return not any(
        start <= end + 1.0 and attempt.sent_at <= stop + SETTLE_S
        for start, stop in seen.fault_spans
    )


def _unasked(seen: Observations) -> list[str]:
    asked = {attempt.attempt_id: attempt for attempt in seen.attempts}
    wrong = []
    for run in seen.runs:
        attempt = asked.get(run.attempt_id)
        if attempt is None:
            wrong.append(f"{run.attempt_id} ran and nobody asked for it")
        elif run.body != attempt.body:
            wrong.append(f"{run.attempt_id} ran with another body")
    return wrong


def _of_leaves(seen: Observations) -> list[str]:
    return [
        f"{run.server} got {run.attempt_id} {run.at - left_at:.1f} s after its leave"
        for server, left_at in seen.leaves
        for run in seen.runs
        if run.server == server and run.at > left_at + LEAVE_S
    ]


def _of_configuration(seen: Observations) -> list[str]:
    wrong = []
    for read in seen.reads:
        known = [v for at, v in seen.acknowledged if at + CONVERGE_S < read.sent_at]
        if known and read.version < max(known):
            wrong.append(
                f"{read.member} told version {read.version} at {read.sent_at:.2f} s, "
                f"after {max(known)} was acknowledged"
            )
    last = max((version for _, version in seen.acknowledged), default=0)
    if last and not any(read.version >= last for read in seen.reads):
        wrong.append(f"version {last} was acknowledged and never read back")
    return wrong


def _of_recovery(seen: Observations) -> list[str]:
    after = [
        a for a in seen.attempts if a.sent_at >= seen.recovered_at and not a.abandoned
    ]
    if not after:
        return ["nothing was asked after the last fault"]
    served = sum(attempt.status == 200 and attempt.whole for attempt in after)
    if served < SERVED_AFTERWARDS * len(after):
        return [f"{served} of {len(after)} were served after the last fault"]
    return []
