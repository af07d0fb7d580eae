"""Run a role of the system on the users' platform.

The platform gives the path of the settings file in an environment variable. The
process runs until SIGTERM or SIGINT, then drains its work in progress and exits.
"""

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from absl import flags
from expression import Result

from fuchsiacroft.commands.common import run_kernel
from fuchsiacroft.commands.exit_codes import ExitCode

if TYPE_CHECKING:
    from fuchsiacroft.kernel import Kernel
    from fuchsiacroft.platform.settings import WireSettings

ROLES = ("entry", "control")


def define_flags(values: flags.FlagValues) -> None:
    """Define the flag that selects the role."""
    flags.DEFINE_enum("role", None, ROLES, "the role of this process", values)
    flags.mark_flag_as_required("role", values)
    flags.DEFINE_list(
        "operator_token_hashes",
        [],
        "SHA-256 hashes of the tokens that may lift a quarantine at an entry",
        values,
    )


def run(values: flags.FlagValues) -> int:
    """Run the process until a signal stops it."""
    from fuchsiacroft.platform import settings

    path = settings.path()
    match settings.load(path):
        case Result(tag="ok", ok=wire):
            return run_kernel(
                lambda: _kernel(values, wire, path), wire.node_name, "INFO"
            )
        case Result(error=issue):
            print(issue, file=sys.stderr)
    return ExitCode.FAILED


def _kernel(values: flags.FlagValues, wire: "WireSettings", path: Path) -> "Kernel":
    """Return the kernel of the role; a start imports no more than that role needs."""
    if values.role == "entry":
        from fuchsiacroft.platform import entry_process

        return entry_process.create(wire, path, values.operator_token_hashes)
    from fuchsiacroft.platform import control_process

    return control_process.create(wire, path)
