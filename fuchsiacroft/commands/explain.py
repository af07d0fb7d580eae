"""Tell one request's story, or a belief's, from the logs of several processes.

Lines of all processes are sorted by time. With --request, the lines of that
request are marked with "*"; the others say what the processes concerned came to
believe of its backend servers, their coordinator, control and route table. With
--field=NAME=VALUE, all lines that bear the value are shown.
"""

import sys

from absl import flags

from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.explain import diagnosis, log_files, timeline
from fuchsiacroft.explain.log_files import LogFiles
from fuchsiacroft.explain.log_line import LogLine
from fuchsiacroft.utils.logs import quote

SHOWN_FAULTS = 3
"""Lines that cannot be read and are shown; the others are counted."""


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    flags.DEFINE_string("request", None, "the id of a request", values)
    flags.DEFINE_string("field", None, "NAME=VALUE that lines must bear", values)
    flags.DEFINE_list("logs", [], "files, folders or patterns, by commas", values)
    flags.DEFINE_float(
        "around_s",
        2.0,
        "seconds of beliefs before and after a request",
        lower_bound=0.0,
        flag_values=values,
    )


def run(values: flags.FlagValues) -> int:
    """Print a story.

    Return 0 for one that is found, 1 for none, 2 for wrong usage.
    """
    name, _, value = (values.field or "").partition("=")
    if bool(values.request) == bool(name and value):
        return _usage("give either --request=ID or --field=NAME=VALUE")
    paths = log_files.find(values.logs)
    if not paths:
        return _usage(f"no log file in --logs={','.join(values.logs)}")
    files = LogFiles(paths)
    if values.request:
        code = _tell_request(files, values.request, values.around_s)
    else:
        code = _tell_field(files, name, value)
    _tell_faults(files)
    return code


def _usage(reason: str) -> ExitCode:
    print(f"explain: {reason}", file=sys.stderr)
    return ExitCode.USAGE


def _tell_request(files: LogFiles, request_id: str, around_s: float) -> ExitCode:
    found = timeline.find_request(files, request_id, around_s)
    if not found.request_lines:
        return _nothing(files, f"request {request_id}")
    lines = found.lines
    own = set(map(id, found.request_lines))
    for line in lines:
        print(_shown(line, lines[0].at, mark="*" if id(line) in own else " "))
    print(f"\n{request_id}: {diagnosis.diagnose(found)}")
    return ExitCode.OK


def _tell_field(files: LogFiles, name: str, value: str) -> ExitCode:
    lines = timeline.find_field(files, name, value)
    if not lines:
        return _nothing(files, f"{name}={value}")
    for line in lines:
        print(_shown(line, lines[0].at, mark=" "))
    return ExitCode.OK


def _nothing(files: LogFiles, what: str) -> ExitCode:
    print(f"explain: no line of {what} in {len(files.paths)} files", file=sys.stderr)
    return ExitCode.FAILED


def _shown(line: LogLine, began: float, mark: str) -> str:
    pairs = " ".join(f"{name}={quote(value)}" for name, value in line.fields.items())
    return f"{line.at - began:9.3f} {mark} {line.source:24} {line.event:24} {pairs}"


def _tell_faults(files: LogFiles) -> None:
    if not files.faults:
        return
    print(f"explain: {len(files.faults)} lines were not understood:", file=sys.stderr)
    for place, reason in list(files.faults.items())[:SHOWN_FAULTS]:
        print(f"  {place}: {reason}", file=sys.stderr)
