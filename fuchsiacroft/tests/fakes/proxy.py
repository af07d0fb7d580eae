"""A TCP proxy on loopback that can delay, reset, block or silence its connections."""

import asyncio
import random
import socket
import struct
from dataclasses import dataclass, field

BUFFER_BYTES = 64 * 1024
NO_LINGER = struct.pack("ii", 1, 0)
"""SO_LINGER value with which closing a socket sends a reset."""


@dataclass(slots=True, eq=False)
class _Connection:
    """Both ends of a forwarded connection; it carries data while `flowing` is set."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    flowing: asyncio.Event = field(default_factory=asyncio.Event)


class Proxy:
    """Forwards connections to one address, subject to the current faults.

    `delay_s` delays all data; `silence` blocks one direction ("outbound" to the
    target or "inbound") or "both". `clear_faults` ends these faults.
    """

    def __init__(self, listen: str, target: str, rng: random.Random) -> None:
        self.listen = listen
        self._target = target
        self._rng = rng
        self.delay_s = 0.0
        self._silenced = ""
        self._unblocked = asyncio.Event()
        self._unblocked.set()
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start listening."""
        host, port = self.listen.split(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Stop listening and abort every connection."""
        self._server.close()
        for writer in self._writers():
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self) -> None:
        """Block data in a random direction, or in both."""
        self._silenced = self._rng.choice(("outbound", "inbound", "both"))
        self._unblocked.clear()

    def silence_open(self) -> None:
        """Stop the open connections for good, without closing them; new ones work."""
        for conn in self._connections:
            conn.flowing.clear()

    async def cut(self, duration_s: float) -> None:
        """Block everything for a time.

        Connections that were open carry data again only when as much time has passed
        once more, like those whose kernel waits between its attempts.
        """
        self._silenced = "both"
        self._unblocked.clear()
        stalled = [conn for conn in self._connections if conn.flowing.is_set()]
        for conn in stalled:
            conn.flowing.clear()
        await asyncio.sleep(duration_s)
        self.clear_faults()
        loop = asyncio.get_running_loop()
        for conn in stalled:
            loop.call_later(duration_s, conn.flowing.set)

    def clear_faults(self) -> None:
        """End the delay and the blocking."""
        self.delay_s = 0.0
        self._silenced = ""
        self._unblocked.set()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in self._writers():
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.transport.abort()

    def _writers(self) -> list[asyncio.StreamWriter]:
        return [writer for conn in self._connections for writer in conn.writers]

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            await self._serve(reader, writer)
        except asyncio.CancelledError:
            return

    async def _serve(self, reader, writer) -> None:
        host, port = self._target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        conn = _Connection((writer, target_writer))
        conn.flowing.set()
        self._connections.add(conn)
        try:
            await self._forward(conn, reader, target_reader)
        finally:
            self._connections.discard(conn)
            for open_writer in conn.writers:
                open_writer.close()

    async def _forward(self, conn: _Connection, reader, target_reader) -> None:
        writer, target_writer = conn.writers
        pumps = (
            asyncio.ensure_future(self._pump(conn, reader, target_writer, "outbound")),
            asyncio.ensure_future(self._pump(conn, target_reader, writer, "inbound")),
        )
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(0)
        finally:
            for pump in pumps:
                pump.cancel()

    async def _pump(self, conn: _Connection, reader, writer, direction: str) -> None:
        try:
            while data := await reader.read(BUFFER_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self._silenced in (direction, "both"):
                    await self._unblocked.wait()
                await conn.flowing.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
