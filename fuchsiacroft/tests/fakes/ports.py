"""Free addresses on loopback."""

import contextlib
import random
import socket

FIRST_PORT = 10_000
LAST_PORT = 30_000


def free_addresses(count: int) -> list[str]:
    """Return distinct addresses that are not in use.

    The ports are below the ephemeral port range, so that no outgoing connection
    takes one before a process listens on it.
    """
    ports = random.Random().sample(range(FIRST_PORT, LAST_PORT), LAST_PORT - FIRST_PORT)
    found: list[str] = []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            sock = stack.enter_context(socket.socket())
            port = ports.pop()
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                found.append(f"127.0.0.1:{port}")
    return found


def free_address() -> str:
    """Return an address that is not in use."""
    return free_addresses(1)[0]
