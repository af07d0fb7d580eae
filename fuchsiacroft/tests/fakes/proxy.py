"""A TCP proxy on loopback that can delay, reset or block its connections."""

import asyncio
import random
import socket
import struct

BUFFER_BYTES = 64 * 1024
NO_LINGER = struct.pack("ii", 1, 0)
"""SO_LINGER value with which closing a socket sends a reset."""


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
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        host, port = self.listen.split(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Stop listening and abort every connection."""
        self._server.close()
        self.clear_faults()
        for writer in list(self._writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Block data in a random direction, or in both."""
        self._silenced = self._rng.choice(("outbound", "inbound", "both"))
        self._unblocked.clear()

    def clear_faults(self) -> None:
        """End the delay and the blocking."""
        self.delay_s = 0.0
        self._silenced = ""
        self._unblocked.set()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.transport.abort()

    async def _accept(self, reader, writer) -> None:
        self._writers.add(writer)
        target_writer = None
        try:
            host, port = self._target.split(":")
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers.add(target_writer)
            outbound = asyncio.ensure_future(
                self._pump(reader, target_writer, "outbound")
            )
            inbound = asyncio.ensure_future(
                self._pump(target_reader, writer, "inbound")
            )
            await asyncio.wait((outbound, inbound), return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(0)
            outbound.cancel()
            inbound.cancel()
        except OSError:
            writer.transport.abort()
        finally:
            for open_writer in (writer, target_writer):
                if open_writer is not None:
                    self._writers.discard(open_writer)
                    open_writer.close()

    async def _pump(self, reader, writer, direction: str) -> None:
        try:
            while data := await reader.read(BUFFER_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self._silenced in (direction, "both"):
                    await self._unblocked.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
