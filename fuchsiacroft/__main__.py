"""The start of a process: what must hold before its modules are imported."""

import importlib
import signal
import sys

from fuchsiacroft.utils.process_start import process_start

RELOADING_COMMANDS = ("entry", "control", "platform")
"""Commands that handle SIGHUP once they run."""


def run() -> None:
    """Run the command line and exit with its code."""
    process_start.record()
    if len(sys.argv) > 1 and sys.argv[1] in RELOADING_COMMANDS:
        # Imports take a while, in which the signal would end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    command_line = importlib.import_module("fuchsiacroft.command_line")
    sys.exit(command_line.main(sys.argv))


if __name__ == "__main__":
    run()
