"""Run the console: forms for operators.

It is stateless and uses the operators' API of the control members in its
settings. It runs until SIGTERM or SIGINT.
"""

from absl import flags

from fuchsiacroft.commands.common import define_settings, run_process


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    define_settings(values)


def run(values: flags.FlagValues) -> int:
    """Run the process until a signal stops it."""
    from fuchsiacroft.console.process import create

    return run_process(values, create)
