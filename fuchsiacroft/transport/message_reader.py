"""Reads the messages of a ZeroMQ socket in the event loop.

A socket of `zmq.asyncio` makes a future and several events for each message, which cost
more processor time than the message itself.
"""

import asyncio
import time
from collections.abc import Callable

import zmq

MAX_READ = 100
"""Messages that are read in one turn of the loop, before others get theirs."""
MAX_TURN_S = 0.01
"""Time after which no more are read in one turn, as timers and heartbeats wait."""


class MessageReader:
    """Calls `handle` with the frames of each message that a socket receives.

    The descriptor of a ZeroMQ socket tells changes only, and trying to send uses them
    up too. So whoever sends on the socket calls `read_soon` afterwards.
    """

    def __init__(self, sock: zmq.Socket, handle: Callable[[list[bytes]], None]) -> None:
        self._sock = sock
        self._handle = handle
        self._loop = asyncio.get_running_loop()
        self._is_due = False
        self._is_reading = False
        self._descriptor = sock.fileno()
        self._loop.add_reader(self._descriptor, self._read)
        self.read_soon()

    def read_soon(self) -> None:
        """Read what has arrived in the next turn of the loop, if not now."""
        if not self._is_due and not self._is_reading:
            self._is_due = True
            self._loop.call_soon(self._read)

    def close(self) -> None:
        """Stop reading, before the socket is closed."""
        self._loop.remove_reader(self._descriptor)

    def _read(self) -> None:
        if self._sock.closed:
            return
        self._is_due = False
        self._is_reading = True
        try:
            is_empty = self._read_some()
        finally:
            self._is_reading = False
        if not is_empty:
            self.read_soon()

    def _read_some(self) -> bool:
        """Handle messages for one turn of the loop; return whether there are no more.

        The loop's own clock stands still within a turn.
        """
        ends_at = time.perf_counter() + MAX_TURN_S
        for _ in range(MAX_READ):
            try:
                frames = self._sock.recv_multipart(zmq.DONTWAIT)
            except zmq.Again:
                return True
            self._handle(frames)
            if self._sock.closed:
                return True
            if time.perf_counter() >= ends_at:
                return False
        return False
