"""Says in a sentence why a request ended as it did, and where to look next."""

from fuchsiacroft.explain.log_line import LogLine
from fuchsiacroft.explain.timeline import Timeline

BY_PROBLEM = {
    "overloaded": "refused at once: its turn for a place would have come too late",
    "timed_out": "no answer in its time",
    "over_quota": "refused: its workspace had spent its quota",
    "no_backend_server": "refused: no backend server of its service was known",
    "quarantined": "held back: requests like it were there when backend servers died",
    "retry_budget": "not sent again: too many requests of its service were",
    "not_ready": "refused: the entry had no route table that a quorum was behind",
    "unknown_path": "refused: no route of the table in force has its host and path",
    "unknown_key": "refused: no workspace of the table in force has its key",
    "draining": "refused: the entry was stopping",
    "broken_off": "the backend server broke off, and it may not be sent again",
    "malformed": "refused: it is not a proper request",
    "headers_too_large": "refused: its headers are over the limit of the table",
    "too_large": "refused: its body is over the limit",
    "internal_error": "a fault of the entry; its request_failed line says more",
}
BY_STATUS = {
    "left": "the caller went away before the answer was complete",
    "cut": "the answer was broken off: nobody could go on with it",
}


def diagnose(story: Timeline) -> str:
    """Return the verdict on a request."""
    ending = story.end_line
    if ending is None:
        return "its end is not in these logs: its entry ended, or lines were dropped"
    return _sentence(ending.fields) + _details(story, ending)


def _sentence(fields: dict[str, str]) -> str:
    """Return how a request ended, by the fields of its last line."""
    status = fields.get("status", "")
    problem = fields.get("problem", "-")
    if problem == "timed_out" and fields.get("runs") == "0":
        return f"status {status}: no place came in its time"
    if problem in BY_PROBLEM:
        return f"status {status}: {BY_PROBLEM[problem]}"
    if status in BY_STATUS:
        return BY_STATUS[status]
    if status.startswith("5"):
        return f"status {status}, which the backend server gave"
    return f"status {status}"


def _details(story: Timeline, ending: LogLine) -> str:
    names = ("runs", "waited_s", "seconds")
    fields = ending.fields
    parts = [f"{name}={fields[name]}" for name in names if name in fields]
    for line in story.request_lines:
        if line.event == "run_ended":
            server, outcome = line.fields.get("backend_server"), line.fields["outcome"]
            parts.append(f"{server} {outcome}")
        elif line.event == "place_refused":
            parts.append(_refusal(line.fields))
    return "; " + ", ".join(parts) if parts else ""


def _refusal(fields: dict[str, str]) -> str:
    return (
        f"place refused as {fields.get('reason')} with {fields.get('free')} of "
        f"{fields.get('slots')} places free, {fields.get('waiting')} waiting, "
        f"a turn expected in {fields.get('expected_wait_s')} s for "
        f"{fields.get('in_time_s')} s that it had"
    )
