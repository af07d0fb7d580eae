"""Logging with loguru: one line of key=value pairs per event."""

import logging
import sys
import traceback

from loguru import logger

from fuchsiacroft.utils.line_writer import LineWriter

LINE_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"

DEFAULT_SINK = 0

_sink: int | None = DEFAULT_SINK
_writer: LineWriter | None = None


def configure(level: str = "INFO", to_stdout: bool = False) -> None:
    """Send events of the given level and above to standard error or output.

    Serving processes log to standard output without blocking on its reader;
    commands that print results there log to standard error. Only the default
    sink or the one added by an earlier call is replaced; others stay.
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
    """Write the lines that are still buffered, at the end of a process."""
    if _writer is not None:
        _writer.close()


class LibraryHandler(logging.Handler):
    """Writes the log records of libraries as events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line."""
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
    """Return a value for a log line, quoted if it is empty or needs escaping."""
    text = str(value).replace("\n", "\\n").replace("\r", "\\r")
    if text and not any(char in text for char in ' "='):
        return text
    escaped = text.replace('"', '\\"')
    return f'"{escaped}"'
