"""Runs a case and turns its result into the exit code."""

import asyncio
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from harness.deployment import CannotRunError
from harness.record import Record

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0

Play = Callable[[Record, bool], Awaitable[list[str]]]


def main(play: Play, file: str) -> None:
    """Play a case; `play` gets whether to disrupt, and returns what broke the rule.

    The first argument is the variable TROUBLE, with which `run.sh` calls the case.
    """
    disrupts = sys.argv[1:] != ["0"]
    record = Record(Path(file).resolve().parent / "record.txt")
    sys.exit(asyncio.run(_run(play, record, disrupts)))


async def _run(play: Play, record: Record, disrupts: bool) -> int:
    record.write("case", f"disruption: {'yes' if disrupts else 'no'}")
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            breaks = await play(record, disrupts)
    except (CannotRunError, TimeoutError, OSError) as exc:
        record.write("case", f"could not run: {exc!r}")
        print(f"could not run: {exc!r}")
        traceback.print_exc()
        return CANNOT_RUN
    for text in breaks:
        record.write("case", f"BROKEN: {text}")
        print(f"BROKEN: {text}")
    record.write("case", "the rule was broken" if breaks else "the rule held")
    print("the rule was broken" if breaks else "the rule held")
    return BROKEN if breaks else HELD
