"""Tests of draining and stopping an entry."""

import asyncio

import msgspec
from loguru import logger

from fuchsiacroft.gateway.frontend import Frontend
from fuchsiacroft.tests.fakes.platform_region import PlatformTestCase, read_response
from fuchsiacroft.tests.fakes.replica import (
    LAST_CHUNK,
    chunk,
    response,
    sse_events,
    stream_head,
)


async def slow(req, writer):
    """Respond after 0.4 s."""
    await asyncio.sleep(0.4)
    writer.write(response(req, b"slow"))


async def slow_stream(req, writer):
    """Stream an event, and another one 3 s later."""
    writer.write(stream_head(req) + chunk(sse_events(1)))
    await writer.drain()
    await asyncio.sleep(3.0)
    writer.write(chunk(sse_events(2)) + LAST_CHUNK)


async def endless(req, writer):
    """Stream events until the connection is closed."""
    writer.write(stream_head(req))
    number = 0
    while not writer.is_closing():
        number += 1
        writer.write(chunk(sse_events(number)))
        await asyncio.sleep(0.05)


class DrainTests(PlatformTestCase):
    """A stop waits for running requests up to its timeout and answers late ones."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.region.add_replica("till", slow)
        self.kernel = self.region.kernels[self.region.entries[0]]

    async def stop(self) -> None:
        await self.kernel.drain()
        await self.kernel.stop()
        self.region.kernels.pop(self.region.entries[0])

    async def test_a_draining_entry_is_not_ready_but_answers_requests(self):
        stopping = asyncio.ensure_future(self.stop())
        await asyncio.sleep(0.05)
        self.assertEqual(503, await self.region.readiness(self.region.entries[0]))
        for _ in range(5):
            got = await self.region.send_request("/book/1/", method="POST")
            self.assertEqual((200, b"slow"), (got.status, got.body))
        await stopping

    async def test_an_idle_connection_is_closed_without_reading_a_request(self):
        reader, writer = await self.region.connect()
        writer.write(self.region.encode_request("/stock/1/"))
        await read_response(reader)
        stopping = asyncio.ensure_future(self.stop())
        async with asyncio.timeout(4.0):
            self.assertEqual(b"", await reader.read())
        self.assertFalse(stopping.done())
        writer.close()
        await stopping

    async def test_a_late_request_that_may_outlast_the_stop_is_refused(self):
        await self.region.add_replica("lens", slow_stream)
        stopping = asyncio.ensure_future(self.stop())
        await asyncio.sleep(2.0)
        # A stream in progress keeps the entry draining.
        streaming = asyncio.ensure_future(
            self.region.send_request("/advice/1/", method="POST")
        )
        await asyncio.sleep(2.2)
        got = await self.region.send_request("/advice/2/", method="POST")
        self.assertEqual(503, got.status)
        self.assertLess(float(got.headers["retry-after"]), 0.2)
        self.assertTrue((await streaming).complete)
        await stopping

    async def test_a_first_request_on_an_open_connection_is_answered(self):
        reader, writer = await self.region.connect()
        stopping = asyncio.ensure_future(self.stop())
        await asyncio.sleep(2.7)
        writer.write(self.region.encode_request("/book/1/", method="POST"))
        self.assertEqual(200, (await read_response(reader)).status)
        writer.close()
        await stopping

    async def test_a_stop_ends_within_its_timeout_whatever_still_runs(self):
        await self.region.add_replica("lens", endless)
        frontend = self.kernel.get("front", Frontend)
        frontend._settings = msgspec.structs.replace(
            frontend._settings, drain_timeout_s=3.5
        )
        lines = []
        sink = logger.add(lines.append, level="INFO", format="{message}")
        self.addCleanup(logger.remove, sink)
        streaming = asyncio.ensure_future(
            self.region.send_request("/advice/1/", method="POST")
        )
        await asyncio.sleep(0.2)
        async with asyncio.timeout(3.5 + 0.3):
            await self.stop()
        self.assertFalse((await streaming).complete)
        ended = [line for line in lines if "event=request_ended" in line]
        self.assertIn("status=cut", ended[0])
