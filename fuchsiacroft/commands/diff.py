"""Print the differences between two versions, or between a version and a file.

Prints one changed item per line. Exits 0 whether or not anything differs.
"""

import sys
from pathlib import Path

from absl import flags
from expression import Error, Ok, Result

from fuchsiacroft.commands import operators
from fuchsiacroft.commands.check import read_document
from fuchsiacroft.commands.common import print_issues
from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.commands.operators import Access
from fuchsiacroft.config import changes
from fuchsiacroft.config.document import Document
from fuchsiacroft.operators_client import OperatorsClient

EXIT_CODES = (ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE, ExitCode.UNREACHABLE)


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    operators.define_access(values)
    flags.DEFINE_integer(
        "old", None, "the older version; default: the newest", flag_values=values
    )
    flags.DEFINE_integer(
        "new", None, "the newer version; default: the newest", flag_values=values
    )
    flags.DEFINE_string(
        "document", None, "a document file to compare with, instead of --new", values
    )


def run(values: flags.FlagValues) -> int:
    """Print the differences; return the exit code."""

    async def diff(client: OperatorsClient, access: Access) -> int:
        documents = []
        for fetch in (_get_version(client, values.old), _get_newer(client, values)):
            match await fetch:
                case Result(tag="ok", ok=document):
                    documents.append(document)
                case Result(error=code):
                    return code
        changed = changes.list_changes(*documents)
        operators.print_changes(changed)
        if not changed:
            print("no differences", file=sys.stderr)
        return ExitCode.OK

    return operators.run(values, diff)


async def _get_newer(
    client: OperatorsClient, values: flags.FlagValues
) -> Result[Document, int]:
    if not values.document:
        return await _get_version(client, values.new)
    match read_document(Path(values.document)):
        case Result(tag="ok", ok=document):
            return Ok(document)
        case Result(error=issues):
            print_issues(issues)
            return Error(ExitCode.FAILED)


async def _get_version(
    client: OperatorsClient, version: int | None
) -> Result[Document, int]:
    match await client.get_document(version):
        case Result(tag="ok", ok=answer):
            return Ok(answer.document)
        case Result(error=error):
            return Error(operators.print_error(error))
