"""Ends connections that send much before they have shown an accepted key.

ZeroMQ accepts a first frame of the size of any message, and keeps what it receives of
it until the handshake times out. It has no limit on bytes for a handshake.
"""

import asyncio
import itertools
import os
import socket
import struct
from collections import Counter
from dataclasses import dataclass

from fuchsiacroft.utils.rate_limited_log import RateLimitedLog

MAX_HANDSHAKE_BYTES = 4 * 1024
"""A peer sends below 1 KiB until it gets the last message of the handshake."""
UNPROVEN_ACKED_BYTES = 64 + 170 + 1
"""What a peer acknowledges before: SYN, the greeting and CURVE's WELCOME command."""
MAX_PENDING = 256
"""Handshakes at a time; each takes milliseconds, and peers connect again."""
CHECK_PERIOD_S = 0.02
MAX_CHECKS = 64
"""Connections that are checked in one period, in turn, which bounds the work."""
MAX_LOGS_PER_S = 5
TCP_INFO_BYTES = 136
BYTES_ACKED_OFFSET = 120
BYTES_RECEIVED_OFFSET = 128
"""Positions in the kernel's `struct tcp_info`."""


@dataclass(frozen=True, slots=True)
class Traffic:
    """What has been received on a connection, and what the peer has acknowledged."""

    received_bytes: int
    acked_bytes: int

    @property
    def is_proven(self) -> bool:
        """Whether the peer has the end of the handshake, so its key was accepted.

        It sends messages only then, so they acknowledge the end.
        """
        return self.acked_bytes > UNPROVEN_ACKED_BYTES

    @property
    def is_excessive(self) -> bool:
        """Whether there is more than a handshake takes, and no accepted key."""
        return not self.is_proven and self.received_bytes > MAX_HANDSHAKE_BYTES


class HandshakeWatch:
    """Watches the accepted connections of one listening address until they are proven.

    It handles a crowd that connects and sends frames of the largest size. A descriptor
    may have been closed and used again since it was reported, so only connections to
    the listening address are touched, each by its own traffic.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._local = (host, int(port))
        self._pending: dict[int, None] = {}
        self._has_pending = asyncio.Event()
        self._log = RateLimitedLog("handshake_ended", MAX_LOGS_PER_S)
        self.counts: Counter[str] = Counter()

    def add(self, fd: int) -> None:
        """Watch an accepted connection; one whose check was longest ago makes room."""
        self._pending[fd] = None
        if len(self._pending) > MAX_PENDING:
            oldest = next(iter(self._pending))
            del self._pending[oldest]
            self._check(oldest, "too_many_handshakes")
        self._has_pending.set()

    def discard(self, fd: int) -> None:
        """Forget a connection that was closed."""
        self._pending.pop(fd, None)

    async def run(self) -> None:
        """Check the connections until cancelled."""
        while True:
            await self._has_pending.wait()
            for fd in tuple(itertools.islice(self._pending, MAX_CHECKS)):
                self.discard(fd)
                if not self._check(fd):
                    self._pending[fd] = None
            if not self._pending:
                self._has_pending.clear()
            await asyncio.sleep(CHECK_PERIOD_S)

    def _check(self, fd: int, reason: str = "") -> bool:
        """End a connection that sends too much; return whether its watch is over.

        With a `reason`, one that is not proven is ended in any case.
        """
        try:
            with socket.socket(fileno=os.dup(fd)) as sock:
                if sock.getsockname() != self._local:
                    return True
                traffic = _traffic(sock)
                if reason or traffic.is_excessive:
                    self._end(sock, traffic, reason or "too_many_bytes")
                return traffic.is_proven or traffic.is_excessive
        except OSError:
            return True

    def _end(self, sock: socket.socket, traffic: Traffic, reason: str) -> None:
        if traffic.is_proven:
            return
        self.counts[reason] += 1
        self._log.event(
            reason=reason,
            address=sock.getpeername()[0],
            received_bytes=traffic.received_bytes,
        )
        sock.shutdown(socket.SHUT_RDWR)


def _traffic(sock: socket.socket) -> Traffic:
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    if len(info) < TCP_INFO_BYTES:
        # An older kernel doesn't count; its connections are left alone.
        return Traffic(0, UNPROVEN_ACKED_BYTES + 1)
    (received,) = struct.unpack_from("Q", info, BYTES_RECEIVED_OFFSET)
    (acked,) = struct.unpack_from("Q", info, BYTES_ACKED_OFFSET)
    return Traffic(received, acked)
