"""Free addresses on loopback."""

import contextlib
import os
import random
import socket

FIRST_PORT = 10_000
LAST_PORT = 30_000
SUBNETS_PER_BLOCK = 10
MAX_BLOCK = 24
BLOCK = min(int(os.environ.get("LOOPBACK_BLOCK", "0")), MAX_BLOCK)
"""Test runs at the same time on one machine take blocks of their own."""
PORTS_PER_BLOCK = (LAST_PORT - FIRST_PORT) // (MAX_BLOCK + 1)


def subnet(net: str, number: int) -> str:
    """Return the start of addresses such as `127.51.3`, of this run's block."""
    return f"{net}.{BLOCK * SUBNETS_PER_BLOCK + number}"


_unused_ports: list[int] = []


def _shuffled_ports() -> list[int]:
    first = FIRST_PORT + BLOCK * PORTS_PER_BLOCK
    return random.Random().sample(
        range(first, first + PORTS_PER_BLOCK), PORTS_PER_BLOCK
    )


def free_addresses(count: int) -> list[str]:
    """Return distinct addresses that are not in use.

    The ports are below the ephemeral port range, and of this run's block, so that no
    outgoing connection and no other run takes one before a process listens on it. None
    is returned again until all have been.
    """
    ports = _unused_ports
    found: list[str] = []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            sock = stack.enter_context(socket.socket())
            if not ports:
                ports += _shuffled_ports()
            port = ports.pop()
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                found.append(f"127.0.0.1:{port}")
    return found


def free_address() -> str:
    """Return an address that is not in use."""
    return free_addresses(1)[0]
