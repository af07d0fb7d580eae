"""Operations on connections."""

import asyncio
import fcntl
import os
import socket
import struct
import termios

NO_LINGER = struct.pack("ii", 1, 0)
"""Closing then drops unsent data and sends a reset instead of an orderly end."""
LINGER = struct.pack("ii", 0, 0)
"""Closing then sends unsent data and an orderly end."""

READ_BUFFER_BYTES = 16 * 1024
"""The HTTP library stops reading a connection at twice that, plus one read."""
RECEIVE_BUFFER_BYTES = 32 * 1024
"""The kernel doubles it for its own records, and it also bounds one read. 32 KiB on the
way for 0.9 ms, the longest between failure domains, are 35 MB a second."""


def limit_receive_buffer(sock: socket.socket) -> None:
    """Bound what the kernel holds of a connection, or of a listener's connections."""
    with socket.socket(fileno=os.dup(sock.fileno())) as duplicate:
        duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return how many of the bytes that were written the peer hasn't got yet.

    Those that the kernel holds count only where it tells them.
    """
    held = bytes(struct.calcsize("i"))
    sock = transport.get_extra_info("socket")
    if sock is None:
        return transport.get_write_buffer_size()
    try:
        held = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, held)
    except (OSError, ValueError):
        return transport.get_write_buffer_size()
    return transport.get_write_buffer_size() + struct.unpack("i", held)[0]


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection, so that the peer can't take what it has for complete.

    Aborting a transport alone ends the connection in order, as far as the peer sees.
    """
    _set_linger(transport, NO_LINGER)
    transport.abort()


def reset_at_close(transport: asyncio.Transport | None) -> None:
    """Let a connection end in a reset, however it is closed, also if the process ends.

    `close_in_order` undoes it.
    """
    _set_linger(transport, NO_LINGER)


def close_in_order(transport: asyncio.Transport | None) -> None:
    """Let a connection end in order when it is closed."""
    _set_linger(transport, LINGER)


def _set_linger(transport: asyncio.Transport | None, linger: bytes) -> None:
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is not None and sock.fileno() >= 0:
        with socket.socket(fileno=os.dup(sock.fileno())) as duplicate:
            duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
