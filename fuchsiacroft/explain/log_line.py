"""Parses the key=value lines that `utils.logs` writes."""

import re
from dataclasses import dataclass
from datetime import datetime

from expression import Error, Ok, Result

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
TIME_KEY = "time="
ESCAPES = {'\\"': '"', "\\n": "\n", "\\r": "\r"}
ESCAPED = re.compile(r'\\["nr]')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log event.

    `source` is the process that logged it, `at` its time in seconds since 1970.
    """

    at: float
    source: str
    level: str
    event: str
    fields: dict[str, str]


def parse(text: str, source: str) -> Result[LogLine, str]:
    """Return the event of a line, or why the line cannot be parsed.

    A word before the time, as added by log collectors, names the process.
    """
    prefix, key, rest = text.partition(TIME_KEY)
    if not key:
        return Error("it has no time=")
    pairs = {field: _value(value) for field, value in PAIR.findall(key + rest)}
    event = pairs.pop("event", "")
    if not event:
        return Error("it has no event=")
    try:
        at = datetime.fromisoformat(pairs.pop("time")).timestamp()
    except ValueError:
        return Error("its time is not in ISO 8601 format")
    words = prefix.split()
    name = words[-1] if words else source
    return Ok(LogLine(at, name, pairs.pop("level", ""), event, pairs))


def _value(text: str) -> str:
    inner = text[1:-1] if text.startswith('"') else text
    return ESCAPED.sub(lambda found: ESCAPES[found[0]], inner)
