"""Demonstrate the system on one machine, in under 30 s.

It runs two entries, a control member, two stand-in engines and a stand-in
application in one process over loopback. It shows requests of three tiers
served end to end, a booking that runs once, a backend server that leaves and
a configuration change that takes effect. It ends by itself; exit code 0 means
that every outcome was as expected.
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
        "folder for the control member's files; default: a temporary folder",
        values,
    )
    flags.DEFINE_string("log_level", "ERROR", "the lowest level that is logged", values)


def run(values: flags.FlagValues) -> int:
    """Run the demo; return the exit code."""
    logs.configure(values.log_level)
    if values.data_folder:
        return process.run(_run_demo(Path(values.data_folder)))
    with tempfile.TemporaryDirectory(prefix="fuchsiacroft-demo-") as folder:
        return process.run(_run_demo(Path(folder)))


async def _run_demo(folder: Path) -> int:
    from fuchsiacroft.demo import outcomes, system

    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            failed = await outcomes.show(system.create(folder), _print_line)
    except TimeoutError:
        print(f"the demo took longer than {TIME_LIMIT_S:.0f} s", file=sys.stderr)
        return ExitCode.FAILED
    return ExitCode.FAILED if failed else ExitCode.OK


def _print_line(text: str) -> None:
    print(text, flush=True)
