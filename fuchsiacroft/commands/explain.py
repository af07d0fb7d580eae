"""Show the history of a request or of a field value from several processes' logs.

Lines of all processes are sorted by time. With --request, the lines of that
request are marked with "*"; the others show how the processes involved changed
their state of its backend servers, their coordinator, control and the route
table. With --field=NAME=VALUE, all lines with that field value are shown.
"""

import sys

from absl import flags

from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.explain import diagnosis, log_files, timeline
from fuchsiacroft.explain.log_files import LogFiles
from fuchsiacroft.explain.log_line import LogLine
from fuchsiacroft.utils.logs import quote

MAX_SHOWN_FAULTS = 3
"""Unreadable lines that are printed in full; the rest are only counted."""


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    flags.DEFINE_string("request", None, "the id of a request", values)
    flags.DEFINE_string("field", None, "NAME=VALUE that lines must contain", values)
    flags.DEFINE_list(
        "logs", [], "files, folders or patterns, separated by commas", values
    )
    flags.DEFINE_float(
        "around_s",
        2.0,
        "seconds of state changes to show before and after a request",
        lower_bound=0.0,
        flag_values=values,
    )


def run(values: flags.FlagValues) -> int:
    """Print the matching lines.

    Return 0 if lines were found, 1 if none were, 2 for wrong usage.
    """
    name, _, value = (values.field or "").partition("=")
    if bool(values.request) == bool(name and value):
        return _report_usage("give either --request=ID or --field=NAME=VALUE")
    paths = log_files.find_log_files(values.logs)
    if not paths:
        return _report_usage(f"no log file in --logs={','.join(values.logs)}")
    files = LogFiles(paths)
    if values.request:
        code = _print_request(files, values.request, values.around_s)
    else:
        code = _print_field(files, name, value)
    _print_faults(files)
    return code


def _report_usage(reason: str) -> ExitCode:
    print(f"explain: {reason}", file=sys.stderr)
    return ExitCode.USAGE


def _print_request(files: LogFiles, request_id: str, around_s: float) -> ExitCode:
    found = timeline.find_request(files, request_id, around_s)
    if not found.request_lines:
        return _report_no_lines(files, f"request {request_id}")
    lines = found.lines
    own_ids = set(map(id, found.request_lines))
    for line in lines:
        print(_format_line(line, lines[0].at, mark="*" if id(line) in own_ids else " "))
    print(f"\n{request_id}: {diagnosis.diagnose(found)}")
    return ExitCode.OK


def _print_field(files: LogFiles, name: str, value: str) -> ExitCode:
    lines = timeline.find_field(files, name, value)
    if not lines:
        return _report_no_lines(files, f"{name}={value}")
    for line in lines:
        print(_format_line(line, lines[0].at, mark=" "))
    return ExitCode.OK


def _report_no_lines(files: LogFiles, subject: str) -> ExitCode:
    print(f"explain: no line of {subject} in {len(files.paths)} files", file=sys.stderr)
    return ExitCode.FAILED


def _format_line(line: LogLine, started_at: float, mark: str) -> str:
    pairs = " ".join(f"{name}={quote(value)}" for name, value in line.fields.items())
    return (
        f"{line.at - started_at:9.3f} {mark} {line.source:24} {line.event:24} {pairs}"
    )


def _print_faults(files: LogFiles) -> None:
    if not files.parse_errors:
        return
    print(
        f"explain: {len(files.parse_errors)} lines were not understood:",
        file=sys.stderr,
    )
    for location, reason in list(files.parse_errors.items())[:MAX_SHOWN_FAULTS]:
        print(f"  {location}: {reason}", file=sys.stderr)
