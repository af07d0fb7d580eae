"""Tests of answers without a length, and of bytes without end."""

import asyncio
import resource

from fuchsiacroft.tests.fakes.platform_region import PlatformTestCase
from fuchsiacroft.tests.fakes.replica import (
    response,
    sse_events,
    unframed_head,
)

BLOCK = 64 * 1024
LARGE = 4 * 1024 * 1024
MAX_GROWTH_KB = 48 * 1024
STREAM = "Content-Type: text/event-stream"


class EndlessReplica:
    """Sends a head and then one block again and again until its caller closes."""

    def __init__(self) -> None:
        self.lines: tuple[str, ...] = ()
        self.block = b""
        self.sent = 0
        self.has_ended = asyncio.Event()

    async def __call__(self, req, writer) -> None:
        try:
            writer.write(unframed_head(req, *self.lines))
            while True:
                writer.write(self.block)
                self.sent += len(self.block)
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            self.has_ended.set()


class EndlessAnswerTests(PlatformTestCase):
    """Bytes without end neither fill the memory nor stop other requests."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.endless = EndlessReplica()

    async def send(self, path: str, *, method: str = "POST"):
        """Send a request; fail if it fills the memory or lasts past its timeout."""
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        async with asyncio.timeout(6.0):
            got = await self.region.send_request(path, method=method)
            await self.endless.has_ended.wait()
        growth_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
        self.assertLess(growth_kb, MAX_GROWTH_KB)
        return got

    async def test_a_body_without_end_is_not_kept_in_memory(self):
        await self.region.add_replica("till", self.endless)
        self.endless.block = b"x" * BLOCK
        try:
            got = await self.send("/book/1/")
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        self.assertFalse(got.complete and got.status == 200)

    async def test_an_event_without_end_is_broken_off(self):
        await self.region.add_replica("lens", self.endless)
        self.endless.lines = (STREAM,)
        self.endless.block = b"data: " + b"x" * BLOCK
        got = await self.send("/advice/1")
        self.assertEqual(502, got.status)

    async def test_blank_events_without_end_are_broken_off(self):
        await self.region.add_replica("lens", self.endless)
        self.endless.lines = (STREAM,)
        self.endless.block = b"\n" * BLOCK
        got = await self.send("/advice/1")
        self.assertEqual(502, got.status)


class UnframedAnswerTests(PlatformTestCase):
    """An answer may have neither a length nor chunks and end with its connection."""

    async def serve(self, service: str, body: bytes, *, content_type: str = "") -> None:
        async def unframed(req, writer):
            lines = (f"Content-Type: {content_type}",) if content_type else ()
            writer.write(unframed_head(req, *lines) + body)

        await self.region.add_replica(service, unframed)

    async def test_a_plain_answer_is_complete_when_its_connection_ends(self):
        body = b"until the end" * 1_000
        await self.serve("till", body)
        got = await self.region.send_request("/book/1/", method="POST")
        self.assertEqual((200, body), (got.status, got.body))

    async def test_a_large_answer_arrives_whole(self):
        body = bytes(range(256)) * 20_000
        await self.serve("till", body)
        got = await self.region.send_request("/book/1/", method="POST")
        self.assertEqual((200, True), (got.status, got.complete))
        self.assertEqual(body, got.body)

    async def test_a_large_answer_that_breaks_off_is_not_continued_elsewhere(self):
        runs = []

        async def break_off_at_first(req, writer):
            runs.append(req)
            whole = response(req, b"x" * LARGE)
            if len(runs) > 1:
                writer.write(whole)
                return
            writer.write(whole[: LARGE // 2])
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.transport.abort()

        for _ in range(2):
            await self.region.add_replica("till", break_off_at_first)
        got = await self.region.send_request("/stock/1")
        self.assertEqual((200, False), (got.status, got.complete))
        self.assertEqual(1, len(runs))

    async def test_a_stream_is_complete_when_its_connection_ends_between_events(self):
        await self.serve("lens", sse_events(1, 2), content_type="text/event-stream")
        got = await self.region.send_request("/advice/1")
        self.assertEqual((200, True), (got.status, got.complete))
        self.assertEqual(sse_events(1, 2), got.body)

    async def test_a_stream_that_ends_inside_an_event_is_broken_off(self):
        body = sse_events(1, 2)[:-3]
        await self.serve("lens", body, content_type="text/event-stream")
        got = await self.region.send_request("/advice/1")
        self.assertEqual((200, False), (got.status, got.complete))
        self.assertEqual(sse_events(1), got.body)

    async def send_old(self, path: str) -> bytes:
        """Send a request of HTTP/1.0; return what comes until the orderly end."""
        reader, writer = await self.region.connect()
        data = self.region.encode_request(path)
        writer.write(data.replace(b"HTTP/1.1", b"HTTP/1.0"))
        try:
            return await reader.read()
        finally:
            writer.close()

    async def test_a_caller_of_http_1_0_gets_a_stream_whole_or_a_reset(self):
        await self.serve("lens", sse_events(1, 2), content_type="text/event-stream")
        got = await self.send_old("/advice/1")
        head, _, body = got.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.0 200"))
        self.assertEqual(sse_events(1, 2), body)

    async def test_a_broken_stream_is_reset_for_a_caller_of_http_1_0(self):
        body = sse_events(1, 2)[:-3]
        await self.serve("lens", body, content_type="text/event-stream")
        with self.assertRaises(ConnectionError):
            await self.send_old("/advice/1")

    async def test_a_stream_without_an_event_is_no_answer(self):
        await self.serve("lens", b"", content_type="text/event-stream")
        got = await self.region.send_request("/advice/1")
        self.assertEqual(502, got.status)
