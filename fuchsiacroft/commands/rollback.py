"""Put an older version's document in force again, as a new version.

Versions only increase: the document of version --to is applied as a new version.
"""

import sys

import msgspec
from absl import flags
from expression import Result

from fuchsiacroft.commands import operators
from fuchsiacroft.commands.apply import define_change, submit_change
from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.commands.operators import Access
from fuchsiacroft.config import changes
from fuchsiacroft.operators_client import OperatorsClient

EXIT_CODES = tuple(ExitCode)


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    operators.define_access(values)
    flags.DEFINE_integer(
        "to",
        None,
        "the version whose document is put in force again",
        lower_bound=0,
        flag_values=values,
    )
    flags.mark_flag_as_required("to", values)
    flags.DEFINE_integer(
        "held",
        None,
        "the version to replace; default: the newest",
        lower_bound=0,
        flag_values=values,
    )
    define_change(values)


def run(values: flags.FlagValues) -> int:
    """Apply the older document; return the exit code."""

    async def roll_back(client: OperatorsClient, access: Access) -> int:
        match await client.get_document(values.to):
            case Result(tag="ok", ok=old):
                pass
            case Result(error=error):
                return operators.print_error(error)
        match await client.get_document():
            case Result(tag="ok", ok=newest):
                pass
            case Result(error=error):
                return operators.print_error(error)
        print(f"from version {newest.version} to version {values.to}:", file=sys.stderr)
        operators.print_changes(
            changes.list_changes(newest.document, old.document), file=sys.stderr
        )
        base_version = newest.version if values.held is None else values.held
        data = msgspec.json.encode(old.document)
        return await submit_change(client, access, values, data, base_version)

    return operators.run(values, roll_back)
