"""Logs: one line of key=value pairs for each event, written by loguru."""

import logging
import sys
import traceback

from loguru import logger

from fuchsiacroft.utils.line_writer import LineWriter

LINE_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"

LIBRARY_SINK = 0

_sink: int | None = LIBRARY_SINK
_writer: LineWriter | None = None


def configure(level: str = "INFO", to_stdout: bool = False) -> None:
    """Send events of the given level and above to standard error or output.

    Processes that serve log to standard output and never wait for its reader;
    commands that print results there log to standard error. Only the sink set
    up here before is replaced; others stay.
    """
    global _sink, _writer
    if _sink is not None:
        logger.remove(_sink)
    _writer = LineWriter(sys.stdout.fileno()) if to_stdout else None
    _sink = logger.add(
        _writer.write if _writer is not None else sys.stderr,
        level=level.upper(),
        format=LINE_FORMAT,
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(handlers=[LibraryHandler()], level=logging.WARNING, force=True)


def close() -> None:
    """Write the lines that are still held back, at the end of a process."""
    if _writer is not None:
        _writer.close()


class LibraryHandler(logging.Handler):
    """Writes what libraries log as events of the same form."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record as one line."""
        trace = ""
        if record.exc_info and record.exc_info[1] is not None:
            trace = "".join(traceback.format_exception(record.exc_info[1]))
        event(
            record.levelname,
            "library",
            logger=record.name,
            message=record.getMessage(),
            trace=trace,
        )


def event(level: str, name: str, **fields: object) -> None:
    """Write one line: the event's name, then each field as key=value."""
    pairs = [f"event={name}"]
    pairs.extend(f"{key}={quote(value)}" for key, value in fields.items())
    logger.opt(depth=1).log(level.upper(), "{}", " ".join(pairs))


def quote(value: object) -> str:
    """Return a value as it stands in a line, quoted if it holds spaces."""
    text = str(value).replace("\n", "\\n").replace("\r", "\\r")
    if text and not any(char in text for char in ' "='):
        return text
    escaped = text.replace('"', '\\"')
    return f'"{escaped}"'
