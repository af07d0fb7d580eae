"""One request's story: its own lines, and what its processes believed meanwhile."""

from dataclasses import dataclass

from fuchsiacroft.explain.log_files import LogFiles
from fuchsiacroft.explain.log_line import LogLine

REQUEST = "request_id"
SERVER = "backend_server"
BELIEF_EVENTS = frozenset(
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
        "send_failed",
        "stopped",
        "version_in_force",
    }
)
"""What changes a process's view of others, or tells that lines are missing."""
NONE = "-"


@dataclass(frozen=True, slots=True)
class Timeline:
    """Lines in the order of their times; `request_lines` are those of the request."""

    request_lines: list[LogLine]
    context_lines: list[LogLine]

    @property
    def lines(self) -> list[LogLine]:
        """Return all lines, in the order of time."""
        return sorted(self.request_lines + self.context_lines, key=lambda line: line.at)

    @property
    def end_line(self) -> LogLine | None:
        """Return the line that tells how the request ended, if it is there."""
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
            line.fields[SERVER] for line in self.request_lines if SERVER in line.fields
        }

    @property
    def sources(self) -> set[str]:
        """Return the processes that wrote of the request, or gave it a place."""
        keepers = {
            line.fields["keeper"]
            for line in self.request_lines
            if "keeper" in line.fields
        }
        return {line.source for line in self.request_lines} | keepers


def find_request(files: LogFiles, request_id: str, around_s: float) -> Timeline:
    """Return the story of a request, with beliefs up to `around_s` before it."""
    own = [
        line
        for line in files.lines(lambda text: request_id in text)
        if line.fields.get(REQUEST) == request_id
    ]
    story = Timeline(own, [])
    if not own:
        return story
    began = min(line.at - float(line.fields.get("seconds", 0.0)) for line in own)
    ended = max(line.at for line in own)
    beliefs = [
        line
        for line in files.lines(_tells_belief)
        if began - around_s <= line.at <= ended + around_s and _concerns(line, story)
    ]
    return Timeline(own, beliefs)


def find_field(files: LogFiles, name: str, value: str) -> list[LogLine]:
    """Return all lines with a field of one value, in the order of time."""
    lines = [
        line
        for line in files.lines(lambda text: value in text)
        if line.fields.get(name) == value
    ]
    return sorted(lines, key=lambda line: line.at)


def _tells_belief(text: str) -> bool:
    words = text.partition("event=")[2].split(maxsplit=1)
    return bool(words) and words[0] in BELIEF_EVENTS


def _concerns(line: LogLine, story: Timeline) -> bool:
    """Tell whether a belief may have decided: of its servers, or in its processes."""
    if line.fields.get(REQUEST, NONE) != NONE:
        return False
    if SERVER in line.fields:
        return line.fields[SERVER] in story.servers
    return line.source in story.sources
