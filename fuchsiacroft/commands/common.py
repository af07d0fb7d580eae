"""What several commands share."""

import sys
from pathlib import Path

from absl import flags
from expression import Result

from fuchsiacroft.config import settings
from fuchsiacroft.config.faults import Fault
from fuchsiacroft.config.settings import Settings


def define_settings(values: flags.FlagValues) -> None:
    """Define the flag that names the settings file."""
    flags.DEFINE_string(
        "settings", None, "the JSON file with this process's settings", values
    )
    flags.mark_flag_as_required("settings", values)


def load_settings(values: flags.FlagValues) -> Settings | None:
    """Return the settings, or None after printing every fault in them."""
    match settings.load(Path(values.settings)):
        case Result(tag="ok", ok=loaded):
            return loaded
        case Result(error=faults):
            print_faults(faults)
            return None


def print_faults(faults: list[Fault]) -> None:
    """Print one fault a line on standard error."""
    for fault in faults:
        print(fault, file=sys.stderr)
