"""Print the full state of one process as JSON, without keys or tokens."""

import ssl
import sys

import msgspec
from absl import flags
from expression import Result

from fuchsiacroft import operators_client
from fuchsiacroft.commands import operators
from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.utils import logs, process

EXIT_CODES = (ExitCode.OK, ExitCode.USAGE, ExitCode.UNREACHABLE)


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    flags.DEFINE_string(
        "address",
        None,
        "the address of the process's operators listener, IP:PORT",
        values,
    )
    flags.mark_flag_as_required("address", values)
    flags.DEFINE_string(
        "service", None, "print only the service with this name", values
    )
    flags.DEFINE_string(
        "ca_file", None, "PEM certificates to trust; turns on TLS", values
    )


def run(values: flags.FlagValues) -> int:
    """Print the state; return the exit code."""
    logs.configure("ERROR")
    match operators.client_tls(values.ca_file):
        case Result(tag="ok", ok=tls):
            return process.run(_dump(values, tls))
        case Result(error=reason):
            print(reason, file=sys.stderr)
            return ExitCode.USAGE


async def _dump(values: flags.FlagValues, tls: ssl.SSLContext | None) -> int:
    async with operators_client.create([], "", tls) as client:
        match await client.get_dump(values.address):
            case Result(tag="ok", ok=state):
                return _print_state(state, values.service)
            case Result(error=reason):
                print(f"{values.address}: {reason}", file=sys.stderr)
                return ExitCode.UNREACHABLE


def _print_state(state: dict, service: str | None) -> int:
    if service is not None and service not in state:
        names = ", ".join(state)
        print(f'no service "{service}"; the services are {names}', file=sys.stderr)
        return ExitCode.USAGE
    selected = state if service is None else state[service]
    print(msgspec.json.format(msgspec.json.encode(selected)).decode())
    return ExitCode.OK
