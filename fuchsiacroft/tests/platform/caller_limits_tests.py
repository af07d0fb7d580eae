"""Tests of the configured size limits and timeouts of callers' requests."""

import asyncio
import time

from fuchsiacroft.tests.fakes.platform_region import (
    PlatformTestCase,
    config,
    read_response,
)

MAX_HEADER_BYTES = 9_000
HEADER_TIMEOUT_S = 0.3
IDLE_TIMEOUT_S = 0.6
MARGIN_S = 0.4
"""Allowed delay until the effect of a timeout is visible."""


class CallerLimitsTests(PlatformTestCase):
    """A region whose configuration sets its own limits."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        limits = {
            "maxHeaderBytes": MAX_HEADER_BYTES,
            "headerTimeoutMs": HEADER_TIMEOUT_S * 1000,
            "idleTimeoutMs": IDLE_TIMEOUT_S * 1000,
        }
        await self.region.put_config(config(2, limits=limits))
        self.replica = await self.region.add_replica("till")
        await asyncio.sleep(0.2)
        self.reader, self.writer = await self.region.connect()
        self.addCleanup(self.writer.close)

    async def send(self, *header_lines):
        """Send a request on the open connection and read its response."""
        self.writer.write(self.region.encode_request("/stock/", *header_lines))
        async with asyncio.timeout(2):
            return await read_response(self.reader)

    async def read_until_close(self, within_s):
        """Return the bytes received until the entry closes the connection."""
        async with asyncio.timeout(within_s):
            return await self.reader.read()

    async def test_headers_within_the_limit_are_forwarded(self):
        got = await self.send(f"X-Long: {'a' * (MAX_HEADER_BYTES - 400)}")
        self.assertEqual(200, got.status)

    async def test_a_head_of_many_small_headers_is_refused(self):
        got = await self.send(*(f"X-{number}: {number}" for number in range(200)))
        self.assertEqual(200, got.status)
        self.assertEqual("199", self.replica.received[-1].get("X-199"))

    async def test_headers_beyond_the_limit_are_refused_as_too_large(self):
        lines = [f"X-{n}: {'a' * 900}" for n in range(10)]
        got = await self.send(*lines)
        self.assertEqual(431, got.status)
        self.assertEqual([], self.replica.received)

    async def test_a_raised_limit_holds_for_new_connections(self):
        raised = {"maxHeaderBytes": 100_000}
        await self.region.put_config(config(3, limits=raised))
        await asyncio.sleep(0.2)
        got = await self.region.send_request("/stock/", f"X-Long: {'a' * 50_000}")
        self.assertEqual(200, got.status)

    async def test_an_incomplete_head_times_out(self):
        self.writer.write(self.region.encode_request("/stock/")[:-10])
        got = await self.read_until_close(HEADER_TIMEOUT_S + MARGIN_S)
        self.assertTrue(got.startswith(b"HTTP/1.1 408 "), got)
        self.assertEqual([], self.replica.received)

    async def test_a_head_in_parts_is_accepted_within_the_timeout(self):
        whole = self.region.encode_request("/stock/")
        self.writer.write(whole[:20])
        await asyncio.sleep(HEADER_TIMEOUT_S / 2)
        self.writer.write(whole[20:])
        self.assertEqual(200, (await read_response(self.reader)).status)
        await asyncio.sleep(HEADER_TIMEOUT_S)
        self.assertEqual(200, (await self.send()).status)

    async def test_an_idle_connection_is_closed_after_the_timeout(self):
        await self.send()
        await asyncio.sleep(IDLE_TIMEOUT_S * 0.8)
        self.assertEqual(200, (await self.send()).status)
        self.assertEqual(b"", await self.read_until_close(IDLE_TIMEOUT_S + MARGIN_S))

    async def test_line_ends_between_requests_start_no_head(self):
        await self.send()
        self.writer.write(b"\r\n")
        await asyncio.sleep(HEADER_TIMEOUT_S * 1.5)
        self.assertEqual(200, (await self.send()).status)

    async def test_a_request_that_came_while_the_entry_was_paused_is_answered(self):
        await self.send()
        self.writer.write(self.region.encode_request("/stock/"))
        time.sleep(IDLE_TIMEOUT_S * 1.5)
        self.assertEqual(200, (await read_response(self.reader)).status)
