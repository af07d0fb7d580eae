"""Run a control member: configuration, ledger, leases, orders to engines.

It runs until SIGTERM or SIGINT, then drains its work in progress and exits.
"""

from absl import flags

from fuchsiacroft.commands.common import define_settings, run_process


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    define_settings(values)


def run(values: flags.FlagValues) -> int:
    """Run the process until a signal stops it."""
    from fuchsiacroft.control.process import create

    return run_process(values, create)
