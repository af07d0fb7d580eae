"""Checks the observations of a run; each violation is described in a sentence."""

import math
from collections import Counter, defaultdict

from fuchsiacroft.tests.fakes.windows import most_in_window
from fuchsiacroft.tests.soak.observations import (
    Attempt,
    FaultSpan,
    LimitSpan,
    Observations,
    PartCrash,
    Run,
)

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that a request has not run and will not run."""
REFUSED = 503
UNKNOWN_ROUTE = 404
PAUSE_GRACE_S = 0.5
"""Time after a Retry-After in which requests that were under way may arrive."""
MAX_IN_PAUSE = 2
"""Maximum number of requests of one entry in the rest of the pause."""
STREAM_EVENTS = 6
"""Number of events in a complete stream."""
CONVERGE_S = 2.0
"""Time after an acknowledgement from which a version must be read and be in force."""
CONTACT_S = 3.0
"""Time after a fault of an entry, or of any control member, until promises with a
time bound hold again."""
UNSTABLE_CONVERGE_S = 5.0
"""Added to `CONVERGE_S` at entries while control members have faults."""
LEAVE_S = 3.0
"""Time after an acknowledged leave from which a server must get no more requests."""
DRAIN_S = 2.0
"""The same for requests of entries that are in contact."""
TIMEOUT_MARGIN_S = 2.0
"""Time after its timeout by which a request must have ended."""
FAULT_FREE_S = 6.0
"""Time without a fault before a request after which a lost response is a violation."""
MAX_CUT_ANSWERS = 3
"""Maximum number of requests that entries in contact passed on to sound servers, and
whose connections they closed without a response."""
SERVER_FAULT_S = 1.0
"""Time after a fault of a server for which it isn't sound."""
CRASHES_KNOWN = 5
"""Crashes by one prompt part after which requests with it must be held back."""
MAX_AFTER_CRASHES = 3
"""Maximum number of requests with the part from entries in contact after that."""
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
"""A server that names a limit may get `LIMIT_FACTOR` times what it allows in
`LIMIT_WINDOW_S`, and `LIMIT_SLACK` requests more, from entries that were told."""
TOLD_S = 0.5
"""An entry counts as told this long after it passed on an answer with a limit."""
MIN_TAKEN_UP = 12
MIN_SERVERS_OF_VERSION = 2
MIN_GOING_ON = 0.5
"""Of at least `MIN_TAKEN_UP` streams that are taken up while so many servers of their
version serve, the share that goes on, by the share of new streams that begin."""
QUOTA_PER_S = 8.0
QUOTA_BURST = 8.0
QUOTA_WINDOW_S = 8.0
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 6.0
QUOTA_ALLOWED = (QUOTA_PER_S * QUOTA_WINDOW_S + QUOTA_BURST) * (
    1.0 + QUOTA_OVERSHOOT
) + QUOTA_SLACK
"""Requests of the metered workspace that may run in any window."""
MAX_KINDS_NAMED = 8
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
    found += [f"{ip} did not recover its data" for ip in observations.unrecovered]
    found += observations.wrongly_accepted
    for attempt in observations.attempts:
        found += _attempt_violations(attempt, runs[attempt.attempt_id], observations)
    found += _cut_answer_violations(observations)
    found += _unknown_runs(observations)
    found += _leave_violations(observations)
    found += _said_leaving_violations(observations)
    found += _pause_violations(observations)
    found += _limit_violations(observations)
    found += _deadly_part_violations(observations)
    found += _configuration_violations(observations)
    found += _route_violations(observations)
    found += _refusal_violations(observations)
    found += _version_violations(observations)
    found += _going_on_violations(observations)
    found += _quota_violations(observations)
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


def _cut_answer_violations(observations: Observations) -> list[str]:
    """Return the requests whose connections entries closed without a response."""
    servers = {run.attempt_id: run.server for run in observations.runs}
    cut = [
        attempt
        for attempt in observations.attempts
        if attempt.is_cut
        and attempt.attempt_id in servers
        and _is_sound(servers[attempt.attempt_id], attempt, observations)
        and _is_in_contact(attempt.entry, attempt.sent_at, observations)
        and _is_in_contact(attempt.entry, attempt.ended_at, observations)
    ]
    if len(cut) <= MAX_CUT_ANSWERS:
        return []
    return [
        f"{attempt.entry} closed the connection of {attempt.route} "
        f"{attempt.attempt_id} at {attempt.ended_at:.2f} s without a response"
        for attempt in cut
    ]


def _is_sound(server: str, attempt: Attempt, observations: Observations) -> bool:
    """Return whether a server had no fault while a request was in progress."""
    return not any(
        server.startswith(f"{span.node}-")
        and span.started_at <= attempt.ended_at
        and attempt.sent_at <= span.ended_at + SERVER_FAULT_S
        for span in observations.server_spans
    )


def _stream_violations(attempt: Attempt, name: str) -> list[str]:
    first = attempt.last_event + 1
    expected = list(range(first, first + len(attempt.events)))
    if attempt.events != expected:
        return [f"{name} got events {attempt.events} after {attempt.last_event}"]
    if attempt.events and attempt.is_complete and attempt.events[-1] < STREAM_EVENTS:
        return [f"{name} ended normally after {len(attempt.events)} events"]
    return []


def _version_violations(observations: Observations) -> list[str]:
    """Return the streams that hold events of several versions over all their tries."""
    versions: dict[str, set[str]] = defaultdict(set)
    for attempt in observations.attempts:
        versions[attempt.resumes or attempt.attempt_id].update(attempt.versions)
    return [
        f"stream {first_id} holds events of {sorted(found)}"
        for first_id, found in versions.items()
        if len(found) > 1
    ]


def _going_on_violations(observations: Observations) -> list[str]:
    """Return that too few streams went on which entries in contact could go on with."""
    streams = [
        attempt
        for attempt in observations.attempts
        if attempt.route == "resumable"
        and (not attempt.is_abandoned or attempt.events)
        and _is_in_contact(attempt.entry, attempt.sent_at, observations)
    ]
    by_id = {attempt.attempt_id: attempt for attempt in observations.attempts}
    new = [bool(a.events) for a in streams if a.resumes is None]
    taken_up = [
        bool(a.events)
        for a in streams
        if a.resumes is not None
        and a.last_event < STREAM_EVENTS
        and _serving(by_id[a.resumes].versions[0], a.sent_at, observations)
        >= MIN_SERVERS_OF_VERSION
    ]
    if len(taken_up) < MIN_TAKEN_UP or not new:
        return []
    share, new_share = sum(taken_up) / len(taken_up), sum(new) / len(new)
    if share >= MIN_GOING_ON * new_share:
        return []
    return [f"{share:.2f} of {len(taken_up)} streams went on, {new_share:.2f} began"]


def _serving(version: str, at: float, observations: Observations) -> int:
    """Return how many servers of a version took new requests around a time."""
    return sum(
        span.version == version
        and span.started_at <= at - CONTACT_S
        and at <= span.ended_at - CONTACT_S
        for span in observations.serving_spans
    )


def _is_fault_free(attempt: Attempt, observations: Observations) -> bool:
    end = attempt.ended_at or attempt.sent_at
    return not any(
        span.started_at <= end + 1.0 and attempt.sent_at <= span.ended_at + FAULT_FREE_S
        for span in observations.fault_spans
    )


def _refusal_violations(observations: Observations) -> list[str]:
    """Return the requests that were refused for no other reason than planned stops.

    An entry that stops refuses what would outlast its stop.
    """
    planned = observations.planned_spans
    unplanned = [span for span in observations.fault_spans if span not in planned]
    found = []
    for attempt in observations.attempts:
        if attempt.status != REFUSED or attempt.sent_at >= observations.recovered_at:
            continue
        near = [span for span in planned if _is_near(span, attempt)]
        is_stopping = any(span.node == attempt.entry for span in near)
        if (
            near
            and not is_stopping
            and not any(_is_near(s, attempt) for s in unplanned)
        ):
            found.append(
                f"{attempt.route} {attempt.attempt_id} was refused at "
                f"{attempt.sent_at:.2f} s by {attempt.entry} beside planned stops only"
            )
    return found


def _is_near(span: FaultSpan, attempt: Attempt) -> bool:
    return span.started_at <= attempt.sent_at <= span.ended_at + FAULT_FREE_S


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
    entries = {a.attempt_id: a.entry for a in observations.attempts}
    found = []
    for server, left_at in observations.leaves:
        for run in observations.runs:
            entry = entries.get(run.attempt_id, "")
            in_contact = _is_in_contact(entry, run.at, observations)
            limit_s = DRAIN_S if in_contact else LEAVE_S
            if run.server == server and run.at > left_at + limit_s:
                found.append(
                    f"{server} got {run.attempt_id} from {entry} at {run.at:.2f} s, "
                    f"{run.at - left_at:.1f} s after its leave"
                )
    return found


def _said_leaving_violations(observations: Observations) -> list[str]:
    """Return the requests to a server after its entry had passed on that it leaves."""
    attempts = {attempt.attempt_id: attempt for attempt in observations.attempts}
    passed_on_at: dict[tuple[str, str], float] = {}
    for run in observations.runs:
        attempt = attempts.get(run.attempt_id)
        if attempt is not None and attempt.says_leaving and attempt.ended_at:
            key = (attempt.entry, run.server)
            passed_on_at[key] = min(attempt.ended_at, passed_on_at.get(key, math.inf))
    return [
        f"{run.server} got {run.attempt_id}, but its entry had passed on that it leaves"
        for run in observations.runs
        if (attempt := attempts.get(run.attempt_id)) is not None
        and attempt.sent_at
        > passed_on_at.get((attempt.entry, run.server), math.inf) + DRAIN_S
    ]


def _pause_violations(observations: Observations) -> list[str]:
    """Return the servers to which an entry sent too much in a pause."""
    entries = {a.attempt_id: a.entry for a in observations.attempts}
    arrivals = [
        (arrival.server, entries.get(arrival.attempt_id), arrival.at)
        for arrival in (*observations.runs, *observations.pauses)
    ]
    found = []
    for pause in observations.pauses:
        entry = entries.get(pause.attempt_id, "")
        if _has_fault_within(entry, pause.at, pause.until, observations):
            continue
        early = sum(
            server == pause.server
            and sender == entry
            and pause.at + PAUSE_GRACE_S < at < pause.until
            for server, sender, at in arrivals
        )
        if early > MAX_IN_PAUSE:
            found.append(f"{entry} sent {pause.server} {early} requests in its pause")
    return found


def _limit_violations(observations: Observations) -> list[str]:
    """Return the servers that got more requests than the limit that they named."""
    found = []
    for span in observations.limit_spans:
        times = _times_within_limit(span, observations)
        most = most_in_window(times, LIMIT_WINDOW_S)
        allowed = LIMIT_FACTOR * span.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        if most > allowed:
            found.append(
                f"{span.server} named {span.per_s} a second and got {most} requests "
                f"in {LIMIT_WINDOW_S:.0f} s from entries that it had told"
            )
    return found


def _times_within_limit(span: LimitSpan, observations: Observations) -> list[float]:
    """Return when a limited server got requests of entries in contact that knew."""
    attempts = {attempt.attempt_id: attempt for attempt in observations.attempts}
    runs = [run for run in observations.runs if run.server == span.server]
    named_at: dict[str, float] = {}
    for run in runs:
        attempt = attempts.get(run.attempt_id)
        if attempt is not None and attempt.names_limit and attempt.ended_at:
            known = named_at.get(attempt.entry, math.inf)
            named_at[attempt.entry] = min(attempt.ended_at, known)
    times = []
    for run in runs:
        if not span.started_at + CONTACT_S <= run.at <= span.ended_at:
            continue
        attempt = attempts.get(run.attempt_id)
        entry = attempt.entry if attempt is not None else ""
        is_told = run.at >= named_at.get(entry, math.inf) + TOLD_S
        if is_told and _is_in_contact(entry, run.at, observations):
            times.append(run.at)
    return times


def _deadly_part_violations(observations: Observations) -> list[str]:
    """Return the prompt parts that went on crashing backend servers."""
    entries = {a.attempt_id: a.entry for a in observations.attempts}
    crashes: dict[str, list[PartCrash]] = defaultdict(list)
    for crash in observations.part_crashes:
        crashes[crash.part].append(crash)
    found = []
    for part, of_part in crashes.items():
        if len(of_part) <= CRASHES_KNOWN:
            continue
        known_at = of_part[CRASHES_KNOWN - 1].at + CONTACT_S
        late = [
            crash
            for crash in of_part
            if crash.at > known_at
            and _is_in_contact(
                entries.get(crash.attempt_id, ""), crash.at, observations
            )
        ]
        if len(late) > MAX_AFTER_CRASHES:
            found.append(f"{part} crashed {len(late)} servers after it was known")
    return found


def _has_fault_within(
    entry: str, start: float, end: float, observations: Observations
) -> bool:
    return any(
        span.node in ("", entry) and span.started_at <= end and span.ended_at >= start
        for span in observations.entry_spans
    )


def _route_violations(observations: Observations) -> list[str]:
    """Return where an entry in contact refused a route as only old versions would."""
    acknowledged_at = {version: at for at, version in observations.acknowledged}
    found = []
    for probe in observations.route_probes:
        at = acknowledged_at[probe.version]
        bound_s = CONVERGE_S
        if not _is_control_stable(probe.sent_at, observations):
            bound_s += UNSTABLE_CONVERGE_S
        if probe.status != UNKNOWN_ROUTE or probe.sent_at <= at + bound_s:
            continue
        if _is_in_contact(probe.entry, probe.sent_at, observations):
            found.append(
                f"{probe.entry} refused a route of version {probe.version} at "
                f"{probe.sent_at:.2f} s, {probe.sent_at - at:.1f} s after its "
                "acknowledgement"
            )
    return found


def _is_in_contact(entry: str, at: float, observations: Observations) -> bool:
    return not any(
        span.node in ("", entry) and _affects(span, at)
        for span in observations.entry_spans
    )


def _is_control_stable(at: float, observations: Observations) -> bool:
    return not any(_affects(span, at) for span in observations.control_spans)


def _affects(span: FaultSpan, at: float) -> bool:
    return span.started_at <= at <= span.ended_at + CONTACT_S


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


def _quota_violations(observations: Observations) -> list[str]:
    """Return the window in which the metered workspace got most, if too much."""
    run_at: dict[str, float] = {}
    for run in observations.runs:
        run_at.setdefault(run.attempt_id, run.at)
    times = [
        (attempt.sent_at, run_at[attempt.attempt_id])
        for attempt in observations.attempts
        if attempt.is_metered and attempt.attempt_id in run_at
    ]
    counts = {
        start: sum(
            start <= sent_at and at < start + QUOTA_WINDOW_S for sent_at, at in times
        )
        for start, _ in times
    }
    start = max(counts, key=counts.get, default=0.0)
    if not counts or counts[start] <= QUOTA_ALLOWED:
        return []
    return [
        f"a workspace got {counts[start]} requests in {QUOTA_WINDOW_S:.0f} s from "
        f"{start:.2f} s, of {QUOTA_ALLOWED:.0f} allowed"
    ]


def _recovery_violations(observations: Observations) -> list[str]:
    after = [
        a
        for a in observations.attempts
        if a.sent_at >= observations.recovered_at
        and not a.is_abandoned
        and not a.is_metered
    ]
    if not after:
        return ["no request was sent after the last fault"]
    failed = [a for a in after if a.status != 200 or not a.is_complete]
    served = len(after) - len(failed)
    if served >= MIN_SERVED_SHARE * len(after):
        return []
    kinds = Counter(f"{a.route} at {a.entry} {a.status} {a.reason}" for a in failed)
    return [
        f"{served} of {len(after)} requests were served after the last fault; the "
        f"others: {dict(kinds.most_common(MAX_KINDS_NAMED))}"
    ]
