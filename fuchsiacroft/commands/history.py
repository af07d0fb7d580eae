"""Print the versions of the document: time, operator and changed items."""

import datetime

from absl import flags
from expression import Result

from fuchsiacroft.commands import operators
from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.commands.operators import Access
from fuchsiacroft.config.delta import Delta
from fuchsiacroft.operators_client import OperatorsClient

EXIT_CODES = (ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE, ExitCode.UNREACHABLE)
DEFAULT_VERSIONS = 20
MAX_VERSIONS = 2_000


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    operators.define_access(values)
    flags.DEFINE_integer(
        "limit",
        DEFAULT_VERSIONS,
        "number of newest versions to print",
        lower_bound=1,
        upper_bound=MAX_VERSIONS,
        flag_values=values,
    )


def run(values: flags.FlagValues) -> int:
    """Print the history, the newest version last; return the exit code."""

    async def print_history(client: OperatorsClient, access: Access) -> int:
        match await client.get_history(values.limit):
            case Result(tag="ok", ok=records):
                for record in records:
                    print(
                        f"{record.version}  {format_time(record.changed_at)}  "
                        f"{record.operator}  {summarize_delta(record.delta)}  "
                        f"change id {record.change_id}"
                    )
                return ExitCode.OK
            case Result(error=error):
                return operators.print_error(error)

    return operators.run(values, print_history)


def format_time(seconds: float) -> str:
    """Format seconds since the epoch as a UTC date and time."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


def summarize_delta(delta: Delta) -> str:
    """List the items that a delta adds, replaces or removes."""
    parts = [f"service {item.name}" for item in delta.put_services]
    parts += [f"service {name} removed" for name in delta.removed_services]
    parts += [f"workspace {item.name}" for item in delta.put_workspaces]
    parts += [f"workspace {name} removed" for name in delta.removed_workspaces]
    if delta.tiers is not None:
        parts.append("tiers")
    if delta.rules is not None:
        parts.append("rules")
    return ", ".join(parts) or "no change"
