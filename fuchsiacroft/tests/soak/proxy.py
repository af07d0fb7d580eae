"""A proxy on loopback that delays, resets or silences what passes through it."""

import asyncio
import random
import socket
import struct

BUFFER_BYTES = 64 * 1024
NO_LINGER = struct.pack("ii", 1, 0)
"""Closing sends a reset instead of an orderly end."""


class Proxy:
    """Passes connections on to one address, as well as its present fault lets it.

    `delay_s` holds back all bytes, `silent` those of a direction ("there",
    "back" or "both"), until they are mended.
    """

    def __init__(self, listen: str, target: str, rng: random.Random) -> None:
        self.listen = listen
        self._target = target
        self._rng = rng
        self.delay_s = 0.0
        self._silent = ""
        self._mended = asyncio.Event()
        self._mended.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        host, port = self.listen.split(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Close everything."""
        self._server.close()
        self.mend()
        for writer in list(self._writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Pass on nothing in one direction, or in both."""
        self._silent = self._rng.choice(("there", "back", "both"))
        self._mended.clear()

    def mend(self) -> None:
        """Pass everything on again."""
        self.delay_s = 0.0
        self._silent = ""
        self._mended.set()

    def reset(self) -> None:
        """Reset the connections that are open."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.transport.abort()

    async def _accept(self, reader, writer) -> None:
        self._writers.add(writer)
        far_writer = None
        try:
            host, port = self._target.split(":")
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            self._writers.add(far_writer)
            there = asyncio.ensure_future(self._pump(reader, far_writer, "there"))
            back = asyncio.ensure_future(self._pump(far_reader, writer, "back"))
            await asyncio.wait((there, back), return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(0)
            there.cancel()
            back.cancel()
        except OSError:
            writer.transport.abort()
        finally:
            for one in (writer, far_writer):
                if one is not None:
                    self._writers.discard(one)
                    one.close()

    async def _pump(self, reader, writer, direction: str) -> None:
        try:
            while data := await reader.read(BUFFER_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self._silent in (direction, "both"):
                    await self._mended.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
