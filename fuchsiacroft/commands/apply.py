"""Put a document in force, and wait until it is in force everywhere.

The document replaces the version held (--held). Where another change came
first, nothing changes and the command prints what the other changed. A change
that is sent again under its change id is accepted once. Progress goes to
standard error, the accepted version to standard output.
"""

import sys
import uuid
from pathlib import Path

from absl import flags
from expression import Result

from fuchsiacroft.commands import operators
from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.commands.operators import Access
from fuchsiacroft.commands.rollout import wait_in_force
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
        "the version the document was made from; default: the newest",
        lower_bound=0,
        flag_values=values,
    )
    define_change(values)


def define_change(values: flags.FlagValues) -> None:
    """Define the flags that every change has."""
    operators.define_operator(values)
    flags.DEFINE_string(
        "change_id",
        None,
        "names this change, so that it may be sent again; default: a new one",
        values,
    )
    flags.DEFINE_float(
        "wait_s",
        DEFAULT_WAIT_S,
        "seconds to wait until it is in force everywhere; 0: do not wait",
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

    async def work(client: OperatorsClient, access: Access) -> int:
        held = values.held
        if held is None:
            match await client.get_document():
                case Result(tag="ok", ok=answer):
                    held = answer.version
                case Result(error=error):
                    return operators.print_error(error)
        return await send(client, access, values, data, held)

    return operators.run(values, work)


async def send(
    client: OperatorsClient,
    access: Access,
    values: flags.FlagValues,
    data: bytes,
    held: int,
) -> int:
    """Send a change and wait until it is in force; return the exit code."""
    change_id = values.change_id or uuid.uuid4().hex
    change = Change(data, held, change_id, operators.operator_name(values))
    print(f"replacing version {held}, change id {change_id}", file=sys.stderr)
    match await client.submit_change(change):
        case Result(tag="ok", ok=answer):
            again = " (accepted before)" if answer.resent else ""
            print(f"accepted as version {answer.version}{again}", flush=True)
        case Result(error=error):
            return operators.print_error(error)
    if values.wait_s == 0:
        return ExitCode.OK
    return await wait_in_force(
        client, answer.version, set(access.entries), values.wait_s
    )
