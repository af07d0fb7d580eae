"""Print the contents of a stopped control member's data folder."""

import sys
from pathlib import Path

from absl import flags

from fuchsiacroft.control import recovery
from fuchsiacroft.control.consensus.configurations import recovered_configuration
from fuchsiacroft.control.folder import DiskFolder
from fuchsiacroft.control.records import FileFault
from fuchsiacroft.control.recovery import Recovered

MAX_PRINTED_ENTRIES = 5


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    flags.DEFINE_string(
        "data_folder", None, "the data folder of a stopped control member", values
    )
    flags.mark_flag_as_required("data_folder", values)


def run(values: flags.FlagValues) -> int:
    """Print the contents of a stopped member's data folder; read-only.

    Return 0 for an intact folder, 1 for a damaged one, 2 for a missing one.
    """
    return inspect(values.data_folder)


def inspect(data_folder: str) -> int:
    """Print the contents of a data folder."""
    path = Path(data_folder)
    if not path.is_dir():
        print(f"no folder {path}", file=sys.stderr)
        return 2
    folder = DiskFolder(path, lock=False)
    try:
        result = recovery.recover(folder)
    finally:
        folder.close()
    if result.is_error():
        _print_fault(result.error)
        return 1
    for line in _state_lines(result.ok):
        print(line)
    return 0


def _print_fault(fault: FileFault) -> None:
    print(f"damaged: {fault.file} at byte {fault.offset}: {fault.reason}")
    print(f"next step: {recovery.REJOIN_ADVICE}")


def _state_lines(state: Recovered) -> list[str]:
    identity = state.identity
    lines = [f"identity={identity.identity} node={identity.node}" if identity else ""]
    lines.append(f"term={state.term} vote={state.vote or '-'}")
    lines.extend(_snapshot_lines(state))
    lines.extend(_member_lines(state))
    for segment in state.segments:
        torn = " torn_tail=yes" if segment.torn else ""
        lines.append(f"file={segment.name} bytes={segment.size}{torn}")
    last = state.entries[-1].index if state.entries else state.base.index
    lines.append(f"entries={len(state.entries)} last={last}")
    for entry in state.entries[-MAX_PRINTED_ENTRIES:]:
        kind = entry.kind or "no-op"
        lines.append(f"entry={entry.index} term={entry.term} kind={kind}")
    for mark in state.marks:
        lines.append(f"heard={mark.identity} term={mark.term} index={mark.index}")
    return [line for line in lines if line]


def _snapshot_lines(state: Recovered) -> list[str]:
    snapshot = state.snapshot
    if snapshot is None:
        return ["snapshot=none"]
    lines = [f"snapshot={snapshot.index} term={snapshot.term}"]
    for name, data in snapshot.machines.items():
        lines.append(f"state={name} bytes={len(data)}")
    return lines


def _member_lines(state: Recovered) -> list[str]:
    lines = []
    configuration = recovered_configuration(state)
    for member in configuration.members:
        role = "voter" if member.voter else "learner"
        lines.append(f"{role}={member.node} {member.address} {member.identity}")
    return lines
