"""Form a new group from one member after permanent loss of a majority of disks."""

import asyncio
import sys
from pathlib import Path

from absl import flags
from expression import Result

from fuchsiacroft.control import storage
from fuchsiacroft.control.consensus.forced_recovery import force_single_voter
from fuchsiacroft.control.records import Configuration
from fuchsiacroft.exceptions import InvariantError


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    flags.DEFINE_string(
        "data_folder", None, "the data folder of a stopped control member", values
    )
    flags.mark_flag_as_required("data_folder", values)


def run(values: flags.FlagValues) -> int:
    """Make the member with the given data folder the only voter of a new group."""
    return recover(values.data_folder)


def recover(data_folder: str) -> int:
    """Make the stopped member with this folder the only voter of a new group.

    Return 0 once the new group is durable, 1 if the folder is refused, 2 if it
    is missing.
    """
    path = Path(data_folder)
    if not path.is_dir():
        print(f"no folder {path}", file=sys.stderr)
        return 2
    try:
        result = asyncio.run(_recover(path))
    except InvariantError as exc:
        print(f"refused: {exc}", file=sys.stderr)
        return 1
    if result.is_error():
        print(f"refused: {result.error}", file=sys.stderr)
        return 1
    print(f"only voter of group {result.ok.group}: {result.ok.members[0].address}")
    print("empty the data folders of all other members before they are started")
    return 0


async def _recover(path: Path) -> Result[Configuration, str]:
    member_storage = storage.create(path, "")
    try:
        return await force_single_voter(member_storage)
    finally:
        await member_storage.close()
