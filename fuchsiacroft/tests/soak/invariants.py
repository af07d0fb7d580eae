"""Checks the observations of a run; each violation is described in a sentence."""

from collections import defaultdict

from fuchsiacroft.tests.soak.observations import Attempt, Observations, Run

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that a request has not run and will not run."""
STREAM_EVENTS = 6
"""Number of events in a complete stream."""
CONVERGE_S = 2.0
"""Time after an acknowledgement from which reads must return that version."""
LEAVE_S = 3.0
"""Time after an acknowledged leave from which a server must get no more requests."""
TIMEOUT_MARGIN_S = 2.0
"""Time after its timeout by which a request must have ended."""
FAULT_FREE_S = 6.0
"""Time without a fault before a request after which a lost response is a violation."""
MIN_SERVED_SHARE = 0.95
"""Minimum share of requests served after the last fault ended."""


def violations(observations: Observations) -> list[str]:
    """Return the violated invariants of a run, each as a sentence."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in observations.runs:
        runs[run.attempt_id].append(run)
    found = [
        f"a process exited unexpectedly: {text}"
        for text in observations.unexpected_exits
    ]
    found += observations.wrongly_accepted
    for attempt in observations.attempts:
        found += _attempt_violations(attempt, runs[attempt.attempt_id], observations)
    found += _unknown_runs(observations)
    found += _leave_violations(observations)
    found += _configuration_violations(observations)
    found += _recovery_violations(observations)
    return found


def _attempt_violations(
    attempt: Attempt, runs: list[Run], observations: Observations
) -> list[str]:
    name = f"{attempt.route} {attempt.attempt_id} at {attempt.sent_at:.2f} s"
    found = []
    if len(runs) > 1 and attempt.route not in ("safe", "resumable"):
        found.append(f"{name} ran {len(runs)} times")
    if attempt.status in NOT_RUN_STATUSES and runs:
        found.append(f"{name} was refused with {attempt.status} but ran")
    if not attempt.is_own_response:
        found.append(f"{name} got a response that is not its own")
    found += _stream_violations(attempt, name)
    if attempt.is_abandoned:
        return found
    if attempt.ended_at - attempt.sent_at > attempt.timeout_s + TIMEOUT_MARGIN_S:
        found.append(f"{name} ended after {attempt.ended_at - attempt.sent_at:.1f} s")
    if runs and attempt.status is None and _is_fault_free(attempt, observations):
        found.append(f"{name} ran but its response was lost without a fault")
    return found


def _stream_violations(attempt: Attempt, name: str) -> list[str]:
    expected = list(range(1, len(attempt.events) + 1))
    if attempt.events != expected:
        return [f"{name} got events {attempt.events}"]
    if attempt.events and attempt.is_complete and len(attempt.events) < STREAM_EVENTS:
        return [f"{name} ended normally after {len(attempt.events)} events"]
    return []


def _is_fault_free(attempt: Attempt, observations: Observations) -> bool:
    end = attempt.ended_at or attempt.sent_at
    return not any(
        start <= end + 1.0 and attempt.sent_at <= stop + FAULT_FREE_S
        for start, stop in observations.fault_spans
    )


def _unknown_runs(observations: Observations) -> list[str]:
    attempts_by_id = {attempt.attempt_id: attempt for attempt in observations.attempts}
    found = []
    for run in observations.runs:
        attempt = attempts_by_id.get(run.attempt_id)
        if attempt is None:
            found.append(f"{run.attempt_id} ran but no caller sent it")
        elif run.body != attempt.body:
            found.append(f"{run.attempt_id} ran with another body")
    return found


def _leave_violations(observations: Observations) -> list[str]:
    return [
        f"{run.server} got {run.attempt_id} {run.at - left_at:.1f} s after its leave"
        for server, left_at in observations.leaves
        for run in observations.runs
        if run.server == server and run.at > left_at + LEAVE_S
    ]


def _configuration_violations(observations: Observations) -> list[str]:
    found = []
    for read in observations.version_reads:
        known = [
            v for at, v in observations.acknowledged if at + CONVERGE_S < read.sent_at
        ]
        if known and read.version < max(known):
            found.append(
                f"{read.member} returned version {read.version} at {read.sent_at:.2f} "
                f"s, after {max(known)} was acknowledged"
            )
    last = max((version for _, version in observations.acknowledged), default=0)
    if last and not any(read.version >= last for read in observations.version_reads):
        found.append(f"version {last} was acknowledged but never read back")
    return found


def _recovery_violations(observations: Observations) -> list[str]:
    after = [
        a
        for a in observations.attempts
        if a.sent_at >= observations.recovered_at and not a.is_abandoned
    ]
    if not after:
        return ["no request was sent after the last fault"]
    served = sum(attempt.status == 200 and attempt.is_complete for attempt in after)
    if served < MIN_SERVED_SHARE * len(after):
        return [f"{served} of {len(after)} requests were served after the last fault"]
    return []
