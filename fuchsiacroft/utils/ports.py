"""Free addresses on loopback."""

import contextlib
import socket


def free_addresses(count: int) -> list[str]:
    """Return distinct addresses that are currently unused."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{sock.getsockname()[1]}" for sock in socks]


def free_address() -> str:
    """Return an address that is currently unused."""
    return free_addresses(1)[0]
