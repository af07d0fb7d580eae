"""Waits until a version is in force on all nodes, and reports progress."""

import asyncio
import sys

from expression import Result

from fuchsiacroft.commands.exit_codes import ExitCode
from fuchsiacroft.control.api_messages import InForceResponse
from fuchsiacroft.operators_client import OperatorsClient
from fuchsiacroft.utils.clock import now

POLL_PERIOD_S = 0.2
MAX_LISTED_NODES = 10


async def wait_in_force(
    client: OperatorsClient, version: int, expected: set[str], timeout_s: float
) -> int:
    """Wait for the expected nodes and any others that report; print progress.

    Return `OK`, or `NOT_IN_FORCE` after printing the nodes that are behind.
    """
    deadline = now() + timeout_s
    last_line = ""
    while True:
        behind: list[str] = sorted(expected)
        match await client.get_versions_in_force():
            case Result(tag="ok", ok=answer):
                behind = nodes_behind(answer, version, expected)
                total = len(expected | answer.in_force.keys())
                line = f"version {version} in force on {total - len(behind)} of {total}"
            case Result(error=error):
                line = str(error)
        if line != last_line:
            print(line, file=sys.stderr, flush=True)
            last_line = line
        if not behind:
            return ExitCode.OK
        if now() >= deadline:
            print(f"not in force on {_format_nodes(behind)}", file=sys.stderr)
            return ExitCode.NOT_IN_FORCE
        await asyncio.sleep(POLL_PERIOD_S)


def nodes_behind(
    answer: InForceResponse, version: int, expected: set[str]
) -> list[str]:
    """Return the nodes not known to have at least `version` in force."""
    nodes = expected | answer.in_force.keys()
    return sorted(node for node in nodes if answer.in_force.get(node, 0) < version)


def _format_nodes(nodes: list[str]) -> str:
    text = ", ".join(nodes[:MAX_LISTED_NODES])
    more = len(nodes) - MAX_LISTED_NODES
    return f"{text} and {more} more" if more > 0 else text
