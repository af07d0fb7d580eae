"""Show control members, versions in force, entries, backend servers and queues.

Entries, backend servers and queues are shown for the entries of --settings.
"""

import msgspec
from absl import flags
from expression import Result

from fuchsiacroft import overview
from fuchsiacroft.commands import operators
from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.commands.in_force import nodes_behind
from fuchsiacroft.commands.operators import Access
from fuchsiacroft.control.api_messages import InForceResponse, MemberStatus
from fuchsiacroft.operators_client import OperatorsClient
from fuchsiacroft.overview import BackendServerState, EntryState, Overview

EXIT_CODES = (
    ExitCode.OK,
    ExitCode.FAILED,
    ExitCode.USAGE,
    ExitCode.UNREACHABLE,
    ExitCode.NOT_IN_FORCE,
)


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of this command."""
    operators.define_access(values)
    flags.DEFINE_bool("json", False, "print JSON instead of text", values)


def run(values: flags.FlagValues) -> int:
    """Print the status; exit 5 if a node is behind the newest version."""

    async def print_status(client: OperatorsClient, access: Access) -> int:
        match await client.get_versions_in_force():
            case Result(tag="ok", ok=in_force):
                pass
            case Result(error=error):
                return operators.print_error(error)
        members = await client.member_statuses()
        current = await overview.fetch_overview(client, access.entries)
        if values.json:
            _print_json(in_force, members, current)
        else:
            _print_lines(in_force, members, current)
        behind = nodes_behind(in_force, in_force.version, set(access.entries))
        return ExitCode.NOT_IN_FORCE if behind else ExitCode.OK

    return operators.run(values, print_status)


def _print_json(
    in_force: InForceResponse, members: dict[str, MemberStatus | str], current: Overview
) -> None:
    value = {
        "version": in_force.version,
        "in_force": in_force.in_force,
        "control": members,
        "entries": current.entries,
        "backend_servers": current.backend_servers,
    }
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def _print_lines(
    in_force: InForceResponse, members: dict[str, MemberStatus | str], current: Overview
) -> None:
    print(f"newest version: {in_force.version}")
    print("\ncontrol members:")
    for address, member in members.items():
        print(f"  {address}  {_format_member(member)}")
    print("\nversion in force:")
    for node, version in in_force.in_force.items():
        print(f"  {node}  {version}")
    print("\nentries:")
    for entry in current.entries:
        print(f"  {entry.node}  {_format_entry(entry)}")
    print("\nbackend servers:")
    for server in current.backend_servers:
        print(f"  {server.name}  {_format_backend_server(server)}")


def _format_member(member: MemberStatus | str) -> str:
    if isinstance(member, str):
        return f"no status: {member}"
    role = "leader" if member.leads else "follower"
    return f"{member.node}  {role}  term {member.term}  version {member.version}"


def _format_entry(entry: EntryState) -> str:
    if entry.problem:
        return f"no state: {entry.problem}"
    queues = ", ".join(f"{name} {count}" for name, count in entry.waiting.items())
    text = f"version {entry.version}  in progress {entry.in_progress}"
    text += f"  waiting {queues or 'none'}"
    return text + ("  draining" if entry.draining else "")


def _format_backend_server(server: BackendServerState) -> str:
    running = "?" if server.running is None else server.running
    text = f"{server.failure_domain}  {', '.join(server.services)}"
    text += f"  running {running} of {server.slots}  owner {server.owner or 'none'}"
    text += f"  last seen {server.received_s_ago} s ago"
    if server.limit_per_s is not None:
        text += f"  limited to {server.limit_per_s:g} a second"
    return text + ("  leaving" if server.leaving else "")
