"""Move a service to a software version, or print the rollouts.

With --service, --to and --duration_s a rollout is ordered. It is safe to repeat an
order: while the rollout runs, and 5 s after its end, the order starts nothing. Without
--to the newest rollout of each service is printed.
"""

import sys

from absl import flags
from expression import Result

from fuchsiacroft.commands import operators
from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.commands.operators import Access
from fuchsiacroft.control.api_messages import RolloutOrder, RolloutStatus
from fuchsiacroft.operators_client import OperatorsClient

EXIT_CODES = (ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE, ExitCode.UNREACHABLE)


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    operators.define_access(values)
    operators.define_operator(values)
    flags.DEFINE_string(
        "service", None, "the service; default when printing: all", values
    )
    flags.DEFINE_string("to", None, "the software version to move it to", values)
    flags.DEFINE_float(
        "duration_s",
        None,
        "seconds in which the rollout must be completed or rolled back",
        lower_bound=0.0,
        flag_values=values,
    )


def run(values: flags.FlagValues) -> int:
    """Order a rollout or print the rollouts; return the exit code."""
    if values.to is None:
        return operators.run(values, lambda client, _: _print_all(client, values))
    if not values.service or not values.to or not values.duration_s:
        print("--to needs --service and --duration_s above 0", file=sys.stderr)
        return ExitCode.USAGE

    async def order(client: OperatorsClient, access: Access) -> int:
        wanted = RolloutOrder(values.service, values.to, values.duration_s)
        match await client.order_rollout(wanted, operators.operator_name(values)):
            case Result(tag="ok", ok=status):
                print(format_status(status))
                return ExitCode.OK
            case Result(error=error):
                return operators.print_error(error)

    return operators.run(values, order)


def format_status(status: RolloutStatus) -> str:
    """Return the line about a rollout."""
    line = (
        f"{status.service} to {status.to}: {status.state}, stage {status.stage}, "
        f"share {status.share:.3f}, {status.elapsed_s:.1f} of {status.duration_s:g} s"
    )
    return f"{line}, {status.reason}" if status.reason else line


async def _print_all(client: OperatorsClient, values: flags.FlagValues) -> int:
    match await client.get_rollouts():
        case Result(tag="ok", ok=rollouts):
            for status in rollouts:
                if values.service in (None, status.service):
                    print(format_status(status))
            return ExitCode.OK
        case Result(error=error):
            return operators.print_error(error)
