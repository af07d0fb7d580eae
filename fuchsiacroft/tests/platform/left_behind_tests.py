"""Tests of what requests leave in memory until the collector of cycles runs."""

import asyncio
import gc

from fuchsiacroft.entry.at_most_once import CheckedResponseHandler
from fuchsiacroft.gateway.attempt import Attempt
from fuchsiacroft.gateway.request_context import RequestContext
from fuchsiacroft.gateway.response_relay import ResponseRelay
from fuchsiacroft.tests.fakes.left_behind import left_behind
from fuchsiacroft.tests.fakes.platform_region import PlatformTestCase
from fuchsiacroft.tests.fakes.replica import response, sse_events, unframed_head
from fuchsiacroft.tests.platform.endless_answers_tests import (
    BLOCK,
    STREAM,
    EndlessReplica,
)

HOLDERS = (Attempt, CheckedResponseHandler, RequestContext, ResponseRelay)
"""What refers to the bytes of a request or its answer."""
END_S = 3.0
"""By this time a request has ended, and its connections are closed."""
LARGE = 3 * 1024 * 1024


class LeftBehindTests(PlatformTestCase):
    """Without the collector, nothing of a request stays after its end."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    async def assert_nothing_stays(
        self, path: str, *, reads: bool = True, leaves_after_s: float = END_S
    ) -> None:
        """Send a request; check that its objects are gone soon after its end."""
        reader, writer = await self.region.connect()
        writer.write(self.region.encode_request(path, method="POST"))
        try:
            async with asyncio.timeout(leaves_after_s):
                if reads:
                    await reader.read(2 * LARGE)
                else:
                    await asyncio.sleep(END_S)
        except (ConnectionError, TimeoutError):
            pass
        writer.transport.abort()
        self.assertEqual([], await left_behind(HOLDERS, END_S))

    async def serve(self, service: str, *lines: str, block: bytes) -> None:
        """Serve answers that begin with header lines and have no end."""
        endless = EndlessReplica()
        endless.lines, endless.block = lines, block
        await self.region.add_replica(service, endless)

    async def test_a_body_without_end_stays_after_its_caller_has_read(self):
        await self.serve("till", block=b"x" * BLOCK)
        await self.assert_nothing_stays("/book/1/")

    async def test_a_body_without_end_stays_after_its_caller_has_not_read(self):
        await self.serve("till", block=b"x" * BLOCK)
        await self.assert_nothing_stays("/book/1/", reads=False)

    async def test_a_body_without_end_stays_after_its_caller_has_left(self):
        await self.serve("till", block=b"x" * BLOCK)
        await self.assert_nothing_stays("/book/1/", leaves_after_s=0.1)

    async def test_an_event_without_end_stays(self):
        await self.serve("lens", STREAM, block=b"data: " + b"x" * BLOCK)
        await self.assert_nothing_stays("/advice/1")

    async def test_a_head_without_end_stays(self):
        async def send_head(req, writer):
            while True:
                writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1_000)
                await writer.drain()

        await self.region.add_replica("till", send_head)
        await self.assert_nothing_stays("/book/1/")

    async def test_a_body_that_breaks_off_and_falls_silent_stays(self):
        async def fall_silent(req, writer):
            writer.write(unframed_head(req) + b"x" * LARGE)
            await writer.drain()
            await asyncio.sleep(END_S)

        await self.region.add_replica("till", fall_silent)
        await self.assert_nothing_stays("/book/1/", reads=False)

    async def test_an_answer_that_is_reset_stays(self):
        async def reset(req, writer):
            writer.write(response(req, b"x" * LARGE)[: LARGE // 4])
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.transport.abort()

        await self.region.add_replica("till", reset)
        await self.assert_nothing_stays("/book/1/")

    async def test_a_stream_that_is_reset_stays(self):
        async def reset(req, writer):
            writer.write(unframed_head(req, STREAM) + sse_events(1, 2) + b"data: 3")
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.transport.abort()

        await self.region.add_replica("lens", reset)
        await self.assert_nothing_stays("/advice/1")

    async def test_a_whole_answer_stays(self):
        async def answer(req, writer):
            writer.write(response(req, b"x" * LARGE))
            await writer.drain()

        await self.region.add_replica("till", answer)
        await self.assert_nothing_stays("/book/1/", leaves_after_s=1.0)

    async def test_a_whole_stream_stays(self):
        async def stream(req, writer):
            writer.write(unframed_head(req, STREAM) + sse_events(1, 2))

        await self.region.add_replica("lens", stream)
        await self.assert_nothing_stays("/advice/1", leaves_after_s=1.0)
