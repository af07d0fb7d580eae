"""Tests of servers that answer slowly, and of servers that stop to answer."""

import asyncio

from fuchsiacroft.tests.fakes.platform_region import PlatformTestCase
from fuchsiacroft.tests.fakes.replica import (
    LAST_CHUNK,
    chunk,
    response,
    sse_events,
    stream_head,
)

EVENTS = sse_events(1, 2, 3)
STALL_LIMIT_S = 3.0
"""Callers give up on a stream after a pause of 2 s or four latency targets at least;
with the time of a first event, a resumed stream is complete by then."""


class SlowStream:
    """Streams three events; a first run sends `first` and goes on as `after` does."""

    def __init__(self, first: bytes, after) -> None:
        self.first = first
        self.after = after
        self.runs = 0

    async def __call__(self, req, writer) -> None:
        self.runs += 1
        next_event = int(req.get("Last-Event-Id") or 0) + 1
        writer.write(stream_head(req))
        if self.runs == 1:
            if self.first:
                writer.write(chunk(self.first))
            await self.after(writer)
            next_event = 4
        for number in range(next_event, 4):
            writer.write(chunk(sse_events(number)))
        writer.write(LAST_CHUNK)


async def drip(writer) -> None:
    """Send a byte of an event now and then."""
    while True:
        writer.write(chunk(b"d"))
        await writer.drain()
        await asyncio.sleep(0.1)


async def stall(writer) -> None:
    """Send nothing more."""
    await asyncio.sleep(30)


async def go_on_slowly(writer) -> None:
    """Send the other events with long pauses."""
    for number in (2, 3):
        await asyncio.sleep(1.7)
        writer.write(chunk(sse_events(number)))
        await writer.drain()


class StalledStreamTests(PlatformTestCase):
    """A stalled stream goes on elsewhere, a slow one isn't cut for lack of servers."""

    async def send(self, handler, replicas: int):
        for _ in range(replicas):
            await self.region.add_replica("lens", handler)
        started_at = asyncio.get_running_loop().time()
        got = await self.region.send_request("/report/1")
        self.seconds = asyncio.get_running_loop().time() - started_at
        return got

    async def assert_resumed(self, first: bytes, after) -> None:
        handler = SlowStream(first, after)
        got = await self.send(handler, 2)
        self.assertEqual((200, True, EVENTS), (got.status, got.complete, got.body))
        self.assertEqual(2, handler.runs)
        self.assertLess(self.seconds, STALL_LIMIT_S)

    async def test_a_stream_that_stalls_goes_on_at_another_server(self):
        await self.assert_resumed(sse_events(1), stall)

    async def test_a_stream_that_sends_a_byte_now_and_then_goes_on_elsewhere(self):
        await self.assert_resumed(sse_events(1), drip)

    async def test_a_stream_whose_first_event_never_ends_goes_on_elsewhere(self):
        await self.assert_resumed(b"", drip)

    async def test_a_slow_stream_is_not_cut_while_no_other_server_is_free(self):
        got = await self.send(SlowStream(sse_events(1), go_on_slowly), 1)
        self.assertEqual((200, True, EVENTS), (got.status, got.complete, got.body))

    async def test_a_dripping_stream_without_another_server_ends_at_the_timeout(self):
        got = await self.send(SlowStream(sse_events(1), drip), 1)
        self.assertEqual((False, sse_events(1)), (got.complete, got.body))
        self.assertLess(self.seconds, 4.0 + 0.5)


class SlowPlainAnswerTests(PlatformTestCase):
    """A slow plain answer is delivered unless another server can take over."""

    async def test_a_slow_answer_is_awaited_while_no_other_server_is_free(self):
        async def slow(req, writer):
            await asyncio.sleep(0.5)
            writer.write(response(req, b"late"))

        await self.region.add_replica("till", slow)
        got = await self.region.send_request("/stock/1")
        self.assertEqual((200, b"late"), (got.status, got.body))
