"""Show the system at work on one machine, in under 30 s.

It runs two entries, a control member, two stand-in engines and a stand-in
application in one process over loopback, and shows requests of three tiers
served end to end, a booking that runs once, a backend server that leaves and
a configuration change in force. It ends by itself; exit code 0 says that each
outcome shown has held.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from absl import flags

from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.utils import logs, process

EXIT_CODES = (ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE)
TIME_LIMIT_S = 30.0


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    flags.DEFINE_string(
        "data_folder",
        None,
        "where the control member's files go; default: a temporary folder",
        values,
    )
    flags.DEFINE_string("log_level", "ERROR", "level of the log lines", values)


def run(values: flags.FlagValues) -> int:
    """Show every outcome; return the exit code."""
    logs.configure(values.log_level)
    if values.data_folder:
        return process.run(_show(Path(values.data_folder)))
    with tempfile.TemporaryDirectory(prefix="fuchsiacroft-demo-") as folder:
        return process.run(_show(Path(folder)))


async def _show(folder: Path) -> int:
    from fuchsiacroft.demo import outcomes, system

    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            failed = await outcomes.show(system.create(folder), _say)
    except TimeoutError:
        print(f"the demo took longer than {TIME_LIMIT_S:.0f} s", file=sys.stderr)
        return ExitCode.FAILED
    return ExitCode.FAILED if failed else ExitCode.OK


def _say(text: str) -> None:
    print(text, flush=True)
