"""Free addresses on loopback."""

import socket


def free_address() -> str:
    """Return an address that no process listens on now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"
