"""Writes lines to a file descriptor without blocking on its reader.

Lines are buffered up to a limit and written when the descriptor is ready.
Lines that do not fit are dropped and counted, and the count is written once
there is room.
"""

import asyncio
import os
import select
from collections import deque

MAX_BUFFERED_BYTES = 1024 * 1024
FLUSH_PERIOD_S = 0.05
"""The maximum delay of a line in an otherwise idle process."""
ATOMIC_BYTES = 4096
"""A pipe that is ready accepts this many bytes without blocking (PIPE_BUF)."""
MAX_CLOSE_WRITES = 256


class LineWriter:
    """A bounded buffer of lines for a file descriptor."""

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self.dropped = 0
        self._reported_dropped = 0

    def write(self, text: str) -> None:
        """Buffer a line; without a running event loop, write it at once."""
        line = text.encode("utf-8", "replace")
        if self._bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._bytes += len(line)
        self._flush_soon()

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._lines and self._is_ready():
            if not self._write_chunk():
                return

    def close(self) -> None:
        """Write the remaining lines up to a limit, as far as this does not block."""
        for _ in range(MAX_CLOSE_WRITES):
            if not self._lines or not self._is_ready():
                return
            self._write_chunk()

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
        self._report_dropped()
        self.flush()
        if self._lines:
            self._flush_soon()

    def _report_dropped(self) -> None:
        if (
            self.dropped == self._reported_dropped
            or self._bytes > MAX_BUFFERED_BYTES // 2
        ):
            return
        line = f"level=WARNING event=log_lines_dropped lines={self.dropped}\n".encode()
        self._reported_dropped = self.dropped
        self._lines.append(line)
        self._bytes += len(line)

    def _is_ready(self) -> bool:
        return any(flags & select.POLLOUT for _, flags in self._poll.poll(0))

    def _write_chunk(self) -> bool:
        """Write up to `ATOMIC_BYTES`; return whether the write succeeded."""
        chunk = bytearray()
        while self._lines and len(chunk) + len(self._lines[0]) <= ATOMIC_BYTES:
            chunk += self._lines.popleft()
        if not chunk:
            chunk += self._lines[0][:ATOMIC_BYTES]
            self._lines[0] = self._lines[0][ATOMIC_BYTES:]
        self._bytes -= len(chunk)
        try:
            os.write(self._fd, chunk)
        except OSError:
            # The reader has closed the pipe, so the chunk is lost.
            self.dropped += 1
            return False
        return True
