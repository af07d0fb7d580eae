"""Put a document in force, and wait until it is in force everywhere.

The document replaces the base version (--held). If another change was accepted
first, nothing changes and the command prints what that change contains. A change
that is sent again under the same change id is accepted only once. Progress goes
to standard error, the accepted version to standard output.
"""

import sys
import uuid
from pathlib import Path

from absl import flags
from expression import Result

from fuchsiacroft.commands import operators
from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.commands.in_force import wait_in_force
from fuchsiacroft.commands.operators import Access
from fuchsiacroft.operators_client import Change, OperatorsClient

EXIT_CODES = tuple(ExitCode)
DEFAULT_WAIT_S = 30.0


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    operators.define_access(values)
    flags.DEFINE_string("document", None, "the document's JSON file", values)
    flags.mark_flag_as_required("document", values)
    flags.DEFINE_integer(
        "held",
        None,
        "the version the document is based on; default: the newest",
        lower_bound=0,
        flag_values=values,
    )
    define_change(values)


def define_change(values: flags.FlagValues) -> None:
    """Define the flags common to all commands that change the document."""
    operators.define_operator(values)
    flags.DEFINE_string(
        "change_id",
        None,
        "identifies this change, so that it can be sent again; default: a new id",
        values,
    )
    flags.DEFINE_float(
        "wait_s",
        DEFAULT_WAIT_S,
        "seconds to wait until the change is in force everywhere; 0: do not wait",
        lower_bound=0.0,
        flag_values=values,
    )


def run(values: flags.FlagValues) -> int:
    """Apply the document; return the exit code."""
    try:
        data = Path(values.document).read_bytes()
    except OSError as exc:
        print(f"--document cannot be read: {exc.strerror}", file=sys.stderr)
        return ExitCode.USAGE

    async def apply(client: OperatorsClient, access: Access) -> int:
        base_version = values.held
        if base_version is None:
            match await client.get_document():
                case Result(tag="ok", ok=answer):
                    base_version = answer.version
                case Result(error=error):
                    return operators.print_error(error)
        return await submit_change(client, access, values, data, base_version)

    return operators.run(values, apply)


async def submit_change(
    client: OperatorsClient,
    access: Access,
    values: flags.FlagValues,
    data: bytes,
    base_version: int,
) -> int:
    """Submit a change and wait until it is in force; return the exit code."""
    change_id = values.change_id or uuid.uuid4().hex
    change = Change(data, base_version, change_id, operators.operator_name(values))
    print(f"replacing version {base_version}, change id {change_id}", file=sys.stderr)
    match await client.submit_change(change):
        case Result(tag="ok", ok=answer):
            resent_note = " (accepted before)" if answer.resent else ""
            print(f"accepted as version {answer.version}{resent_note}", flush=True)
        case Result(error=error):
            return operators.print_error(error)
    if values.wait_s == 0:
        return ExitCode.OK
    return await wait_in_force(
        client, answer.version, set(access.entries), values.wait_s
    )
