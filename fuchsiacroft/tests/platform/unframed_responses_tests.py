"""Tests of responses whose end a caller knows only from that of its connection."""

import asyncio

from fuchsiacroft.gateway.frontend import Frontend
from fuchsiacroft.tests.fakes.platform_region import PlatformTestCase
from fuchsiacroft.tests.fakes.replica import (
    LAST_CHUNK,
    chunk,
    response,
    sse_events,
    stream_head,
)

LARGE = b"x" * 16_000_000
"""More than the buffers of both ends of a connection hold."""


class UnframedResponseTests(PlatformTestCase):
    """A part of a response to an HTTP/1.0 caller ends in a reset."""

    async def ask(self, path: str):
        """Return the connection of an HTTP/1.0 caller that sent a request."""
        reader, writer = await self.region.connect()
        self.addCleanup(writer.close)
        request = self.region.encode_request(path, method="POST")
        writer.write(request.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        return reader

    async def read_body(self, path: str) -> bytes:
        reader = await self.ask(path)
        async with asyncio.timeout(5):
            return (await reader.read()).partition(b"\r\n\r\n")[2]

    @property
    def frontend(self) -> Frontend:
        return self.region.kernels[self.region.entries[0]].get("front", Frontend)

    async def test_a_stream_that_a_stop_ends_looks_whole(self):
        async def begin(req, writer):
            writer.write(stream_head(req) + chunk(sse_events(1, 2)))
            await writer.drain()
            await asyncio.sleep(60)

        await self.region.add_replica("lens", begin)
        reader = await self.ask("/advice/1/")
        async with asyncio.timeout(5):
            await reader.readuntil(sse_events(2))
            await self.frontend.stop()
            with self.assertRaises(ConnectionResetError):
                await reader.read()

    async def test_a_large_response_that_a_stop_ends_looks_whole(self):
        async def answer(req, writer):
            writer.write(response(req, LARGE))
            await writer.drain()

        await self.region.add_replica("till", answer)
        reader = await self.ask("/book/1/")
        async with asyncio.timeout(10):
            got = await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.2)
            await self.frontend.stop()
            with self.assertRaises(ConnectionResetError):
                while data := await reader.read(1_000_000):
                    got += data
        self.assertLess(len(got), len(LARGE))

    async def test_a_large_response_that_its_timeout_ends_looks_whole(self):
        async def answer(req, writer):
            writer.write(response(req, LARGE))
            await writer.drain()

        await self.region.add_replica("till", answer)
        reader = await self.ask("/book/1/")
        async with asyncio.timeout(10):
            got = await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(1.0)
            with self.assertRaises(ConnectionResetError):
                while data := await reader.read(1_000_000):
                    got += data
        self.assertLess(len(got), len(LARGE))

    async def test_a_whole_response_looks_cut(self):
        async def stream(req, writer):
            writer.write(stream_head(req) + chunk(sse_events(1, 2)) + LAST_CHUNK)

        await self.region.add_replica("lens", stream)
        self.assertEqual(sse_events(1, 2), await self.read_body("/advice/1/"))
        for size in (20, 4_000_000):
            with self.subTest(size=size):
                body = b"x" * size

                async def answer(req, writer, body=body):
                    writer.write(response(req, body))

                replica = await self.region.add_replica("till", answer)
                self.assertEqual(body, await self.read_body("/book/1/"))
                await self.region.remove_replica(replica, "till")
