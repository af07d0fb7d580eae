"""Run the control process."""

import sys

from absl import flags

from fuchsiacroft.commands.common import define_settings, load_settings
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.utils import logs, process


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    define_settings(values)


def run(values: flags.FlagValues) -> int:
    """Run the process until a signal stops it."""
    from fuchsiacroft.control.process import create

    settings = load_settings(values)
    if settings is None:
        return 1
    logs.configure(settings.log_level)

    async def serve() -> None:
        await process.serve(create(settings), settings.node)

    try:
        process.run(serve())
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return 1
    return 0
