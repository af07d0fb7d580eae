"""Explains in one sentence why a request ended as it did."""

from fuchsiacroft.explain.log_line import LogLine
from fuchsiacroft.explain.timeline import Timeline

BY_PROBLEM = {
    "overloaded": "refused at once: the expected queue wait exceeded its limit",
    "timed_out": "timed out",
    "over_quota": "refused: the quota of its workspace was exhausted",
    "no_backend_server": "refused: no backend server of its service was known",
    "quarantined": "quarantined: backend servers crashed while running this request",
    "servers_paused": "refused: every backend server of its service wanted a pause",
    "stream_unknown": "refused: no entry knows which version began its stream",
    "service_gone": "refused: its route no longer goes to the service of its stream",
    "version_gone": "refused: no server is left of the version that began its stream",
    "retry_budget": "not retried: the retry budget of its service was exhausted",
    "not_ready": "refused: the entry had no route table confirmed by a quorum",
    "unknown_path": "refused: no route in force matches its host and path",
    "unknown_key": "refused: no workspace in force has its key",
    "draining": "refused: the entry was draining",
    "broken_off": "the backend server broke off, and the request may not be retried",
    "malformed": "refused: malformed request",
    "headers_too_large": "refused: its headers exceed the limit of the route table",
    "too_large": "refused: its body exceeds the limit",
    "internal_error": "internal error of the entry; see its request_failed line",
}
BY_STATUS = {
    "left": "the caller disconnected before the response was complete",
    "cut": "the response was truncated and could not be resumed",
}


def diagnose(timeline: Timeline) -> str:
    """Return the diagnosis of a request."""
    ending = timeline.end_line
    if ending is None:
        return "its end is not in these logs: its entry exited, or lines were dropped"
    return _sentence(ending.fields) + _details(timeline, ending)


def _sentence(fields: dict[str, str]) -> str:
    """Return how a request ended, from the fields of its last line."""
    status = fields.get("status", "")
    problem = fields.get("problem", "-")
    if problem == "timed_out" and fields.get("runs") == "0":
        return f"status {status}: no place came in its time"
    if problem in BY_PROBLEM:
        return f"status {status}: {BY_PROBLEM[problem]}"
    if status in BY_STATUS:
        return BY_STATUS[status]
    if status.startswith("5"):
        return f"status {status} from the backend server"
    return f"status {status}"


def _details(timeline: Timeline, ending: LogLine) -> str:
    names = ("runs", "waited_s", "seconds")
    fields = ending.fields
    parts = [f"{name}={fields[name]}" for name in names if name in fields]
    for line in timeline.request_lines:
        if line.event == "run_ended":
            server, outcome = line.fields.get("backend_server"), line.fields["outcome"]
            parts.append(f"{server} {outcome}")
        elif line.event == "stream_origin_sought":
            parts.append(_origin(line.fields))
        elif line.event == "place_refused":
            parts.append(_refusal(line.fields))
    return "; " + ", ".join(parts) if parts else ""


def _origin(fields: dict[str, str]) -> str:
    """Return what was found of the stream that the request took up."""
    source = "told" if fields.get("known") == "True" else "not told"
    return (
        f"its stream began at {fields.get('found')} ({source}; {fields.get('replies')} "
        f"replies, versions seen {fields.get('versions')})"
    )


def _refusal(fields: dict[str, str]) -> str:
    return _placement(fields) + _server_limits(fields)


def _server_limits(fields: dict[str, str]) -> str:
    limited = fields.get("limited", "0")
    if limited == "0":
        return ""
    usable = fields.get("usable_slots")
    return f"; limits named by {limited} backend servers left {usable} places usable"


def _placement(fields: dict[str, str]) -> str:
    return (
        f"placement refused as {fields.get('reason')} with {fields.get('free')} of "
        f"{fields.get('slots')} places free, {fields.get('waiting')} waiting, "
        f"an expected wait of {fields.get('expected_wait_s')} s and a limit of "
        f"{fields.get('in_time_s')} s"
    )
