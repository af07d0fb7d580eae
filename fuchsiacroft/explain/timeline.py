"""Timeline of a request: its log lines, and changes of state in its processes."""

from dataclasses import dataclass

from fuchsiacroft.explain.log_files import LogFiles
from fuchsiacroft.explain.log_line import LogLine

REQUEST_ID = "request_id"
BACKEND_SERVER = "backend_server"
CONTEXT_EVENTS = frozenset(
    {
        "backend_server_changed",
        "backend_server_forgotten",
        "configuration_unanswered",
        "control_member_lost",
        "control_member_reached",
        "coordinator_chosen",
        "coordinator_lost",
        "draining",
        "log_lines_dropped",
        "neighbour_silent",
        "readiness_changed",
        "ready",
        "rollout_stage",
        "send_failed",
        "stopped",
        "version_in_force",
    }
)
"""Events that change a process's view of others, or indicate missing lines."""
NO_VALUE = "-"


@dataclass(frozen=True, slots=True)
class Timeline:
    """Log lines of a request, and those that describe its processes' state."""

    request_lines: list[LogLine]
    context_lines: list[LogLine]

    @property
    def lines(self) -> list[LogLine]:
        """Return all lines in order of time."""
        return sorted(self.request_lines + self.context_lines, key=lambda line: line.at)

    @property
    def end_line(self) -> LogLine | None:
        """Return the line that says how the request ended, if it is present."""
        ended = [
            line
            for line in self.request_lines
            if line.event in ("request_ended", "answered")
        ]
        return ended[-1] if ended else None

    @property
    def servers(self) -> set[str]:
        """Return the backend servers that the request was sent to."""
        return {
            line.fields[BACKEND_SERVER]
            for line in self.request_lines
            if BACKEND_SERVER in line.fields
        }

    @property
    def sources(self) -> set[str]:
        """Return the processes that logged the request or coordinated its placement."""
        coordinators = {
            line.fields["coordinator"]
            for line in self.request_lines
            if "coordinator" in line.fields
        }
        return {line.source for line in self.request_lines} | coordinators


def find_request(files: LogFiles, request_id: str, around_s: float) -> Timeline:
    """Return the timeline of a request, with context up to `around_s` around it."""
    request_lines = [
        line
        for line in files.lines(lambda text: request_id in text)
        if line.fields.get(REQUEST_ID) == request_id
    ]
    timeline = Timeline(request_lines, [])
    if not request_lines:
        return timeline
    began = min(
        line.at - float(line.fields.get("seconds", 0.0)) for line in request_lines
    )
    ended = max(line.at for line in request_lines)
    context_lines = [
        line
        for line in files.lines(_is_context_event)
        if began - around_s <= line.at <= ended + around_s
        and _is_relevant(line, timeline)
    ]
    return Timeline(request_lines, context_lines)


def find_field(files: LogFiles, name: str, value: str) -> list[LogLine]:
    """Return all lines with a given field value, in order of time."""
    lines = [
        line
        for line in files.lines(lambda text: value in text)
        if line.fields.get(name) == value
    ]
    return sorted(lines, key=lambda line: line.at)


def _is_context_event(text: str) -> bool:
    words = text.partition("event=")[2].split(maxsplit=1)
    return bool(words) and words[0] in CONTEXT_EVENTS


def _is_relevant(line: LogLine, timeline: Timeline) -> bool:
    """Return whether a context line concerns the request's servers or processes."""
    if line.fields.get(REQUEST_ID, NO_VALUE) != NO_VALUE:
        return False
    if BACKEND_SERVER in line.fields:
        return line.fields[BACKEND_SERVER] in timeline.servers
    return line.source in timeline.sources
