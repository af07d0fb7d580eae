"""Writes lines to a descriptor without ever waiting for its reader.

Lines are kept in a bounded buffer and written when the reader has room. Lines
that do not fit are counted, and the count is written once there is room.
"""

import asyncio
import os
import select
from collections import deque

MAX_BUFFERED_BYTES = 1024 * 1024
FLUSH_PERIOD_S = 0.05
"""How late a line may be while the process is idle between lines."""
ATOMIC_BYTES = 4096
"""A pipe that is ready takes so many bytes at once without waiting (PIPE_BUF)."""
LAST_FLUSH_TRIES = 256


class LineWriter:
    """A bounded buffer of lines before a file descriptor."""

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self.dropped = 0
        self._told = 0

    def write(self, text: str) -> None:
        """Take one line; outside a running loop write it now."""
        line = text.encode("utf-8", "replace")
        if self._bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._bytes += len(line)
        self._flush_soon()

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while self._lines and self._is_ready():
            if not self._write_some():
                return

    def close(self) -> None:
        """Write what is left, as far as the reader takes it."""
        for _ in range(LAST_FLUSH_TRIES):
            if not self._lines or not self._is_ready():
                return
            self._write_some()

    def _flush_soon(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._timer = loop.call_later(FLUSH_PERIOD_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._tell_dropped()
        self.flush()
        if self._lines:
            self._flush_soon()

    def _tell_dropped(self) -> None:
        if self.dropped == self._told or self._bytes > MAX_BUFFERED_BYTES // 2:
            return
        line = f"level=WARNING event=log_lines_dropped lines={self.dropped}\n".encode()
        self._told = self.dropped
        self._lines.append(line)
        self._bytes += len(line)

    def _is_ready(self) -> bool:
        return any(flags & select.POLLOUT for _, flags in self._poll.poll(0))

    def _write_some(self) -> bool:
        """Write up to an atomic piece; return whether anything was written."""
        piece = bytearray()
        while self._lines and len(piece) + len(self._lines[0]) <= ATOMIC_BYTES:
            piece += self._lines.popleft()
        if not piece:
            piece += self._lines[0][:ATOMIC_BYTES]
            self._lines[0] = self._lines[0][ATOMIC_BYTES:]
        self._bytes -= len(piece)
        try:
            os.write(self._fd, piece)
        except OSError:
            # Nobody reads any more; what was to be told is lost.
            self.dropped += 1
            return False
        return True
