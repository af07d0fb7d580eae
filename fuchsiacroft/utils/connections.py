"""Operations on connections."""

import asyncio
import os
import socket
import struct

NO_LINGER = struct.pack("ii", 1, 0)
"""Closing then drops unsent data and sends a reset instead of an orderly end."""


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection, so that the peer can't take what it has for complete.

    Aborting a transport alone ends the connection in order, as far as the peer sees.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        with socket.socket(fileno=os.dup(sock.fileno())) as duplicate:
            duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()
