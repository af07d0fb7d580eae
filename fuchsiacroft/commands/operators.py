"""Helpers shared by the commands that use the operators' API."""

import getpass
import os
import ssl
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from absl import flags
from expression import Error, Ok, Result

from fuchsiacroft import operators_client
from fuchsiacroft.commands.common import load_settings
from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.control.api_messages import Conflict
from fuchsiacroft.operators_client import OperatorsClient
from fuchsiacroft.operators_results import Denied, DocumentRejected, Unreachable
from fuchsiacroft.utils import logs, process

TOKEN_ENV_VARIABLE = "FUCHSIACROFT_TOKEN"


@dataclass(frozen=True, slots=True)
class Access:
    """Control members to contact and the credentials; `settings` if given."""

    control: list[str]
    token: str
    tls: ssl.SSLContext | None
    settings: Settings | None

    @property
    def entries(self) -> dict[str, str]:
        """Return the operators addresses of the entries in the settings, by node."""
        if self.settings is None:
            return {}
        return {
            member.node: member.operators
            for member in self.settings.entries
            if member.operators
        }


def define_access(values: flags.FlagValues) -> None:
    """Define the access flags; the token is never passed as a flag."""
    flags.DEFINE_string(
        "settings",
        None,
        "a settings file: lists control members to contact and entries to expect",
        values,
    )
    define_connection(values, "instead of --settings")


def define_connection(values: flags.FlagValues, purpose: str) -> None:
    """Define the flags for the control members to contact and the credentials."""
    flags.DEFINE_list(
        "control",
        [],
        f"operators addresses of control members, IP:PORT,..., {purpose}",
        values,
    )
    flags.DEFINE_string(
        "token_file",
        None,
        f"a file that contains the operator token; default: ${TOKEN_ENV_VARIABLE}",
        values,
    )
    flags.DEFINE_string(
        "ca_file",
        None,
        "PEM certificates to trust; turns on TLS; default: tls of --settings",
        values,
    )


def define_operator(values: flags.FlagValues) -> None:
    """Define the flag for the name of the operator who makes a change."""
    flags.DEFINE_string(
        "operator", None, "your name in the history; default: the login name", values
    )


def operator_name(values: flags.FlagValues) -> str:
    """Return the operator name to record with a change."""
    if values.operator:
        return values.operator
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unnamed"


def run(
    values: flags.FlagValues,
    command: Callable[[OperatorsClient, Access], Awaitable[int]],
) -> int:
    """Run `command` with a client; return its exit code, or `USAGE` without access."""
    logs.configure("ERROR")
    match read_access(values):
        case Result(tag="ok", ok=access):
            pass
        case Result(error=reason):
            print(reason, file=sys.stderr)
            return ExitCode.USAGE

    async def main() -> int:
        client = operators_client.create(access.control, access.token, access.tls)
        async with client:
            return await command(client, access)

    return process.run(main())


def read_access(values: flags.FlagValues) -> Result[Access, str]:
    """Return the access data from the flags, or the reason it is incomplete."""
    settings = None
    if values.settings:
        settings = load_settings(values)
        if settings is None:
            return Error(f"the settings in {values.settings} have faults")
    control = list(values.control) or _control_addresses(settings)
    if not control:
        return Error("--control, or --settings with control members, is needed")
    match read_token(values.token_file):
        case Result(tag="ok", ok=token):
            pass
        case Result(error=reason):
            return Error(reason)
    if settings is not None and not values.ca_file:
        tls = operators_client.tls_context(settings.tls)
    else:
        tls = client_tls(values.ca_file)
    return tls.map(lambda context: Access(control, token, context, settings))


def read_token(token_file: str | None) -> Result[str, str]:
    """Return the operator token from a file or from the environment."""
    if token_file:
        try:
            token = Path(token_file).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as exc:
            return Error(f"--token_file cannot be read: {exc}")
    else:
        token = os.environ.get(TOKEN_ENV_VARIABLE, "").strip()
    if not token:
        return Error(
            f"an operator token is needed: --token_file or ${TOKEN_ENV_VARIABLE}"
        )
    return Ok(token)


def client_tls(ca_file: str | None) -> Result[ssl.SSLContext | None, str]:
    """Return a context that trusts the file's certificates; None without a file."""
    if not ca_file:
        return Ok(None)
    try:
        return Ok(ssl.create_default_context(cafile=ca_file))
    except (OSError, ssl.SSLError) as exc:
        return Error(f"--ca_file cannot be used: {exc}")


def print_error(error: Unreachable | Denied | DocumentRejected | Conflict) -> int:
    """Print an error on standard error; return the matching exit code."""
    match error:
        case Conflict(detail=detail, changes=changes):
            print(f"conflict: {detail}", file=sys.stderr)
            print_changes(changes, file=sys.stderr)
            return ExitCode.CONFLICT
        case Unreachable():
            print(error, file=sys.stderr)
            return ExitCode.UNREACHABLE
        case _:
            print(error, file=sys.stderr)
            return ExitCode.FAILED


def print_changes(changes, file=None) -> None:
    """Print one changed item per line."""
    if changes is None:
        print("  the base version is too old to compare with", file=file)
        return
    for change in changes:
        print(f"  {change}", file=file)


def _control_addresses(settings: Settings | None) -> list[str]:
    if settings is None:
        return []
    return [member.operators for member in settings.control if member.operators]
