"""Tests of an entry that stands still between a decision and its use."""

import asyncio
import time
from unittest import mock

from fuchsiacroft.entry.at_most_once import AddressConnector
from fuchsiacroft.tests.fakes.platform_region import PlatformTestCase
from fuchsiacroft.tests.fakes.replica import (
    LAST_CHUNK,
    chunk,
    sse_events,
    stream_head,
)

PAUSE_S = 1.5
DEADLINE_MS = 3_000
MAX_EXCESS_MS = 500
"""By the users' rule, the deadline at the server may end this much later."""


async def stream(req, writer):
    """Stream two events."""
    writer.write(stream_head(req) + chunk(sse_events(1, 2)) + LAST_CHUNK)


class PausedEntryTests(PlatformTestCase):
    """The process stands still once, right after a connection has been opened."""

    async def send_with_pause(self, path: str, deadline_ms: int, pauses: int = 1):
        connect = AddressConnector._create_connection
        lengths_s = iter((PAUSE_S,) * pauses)

        async def connect_then_pause(connector, *args):
            conn = await connect(connector, *args)
            time.sleep(next(lengths_s, 0.0))
            return conn

        patched = mock.patch.object(
            AddressConnector, "_create_connection", connect_then_pause
        )
        with patched:
            return await self.region.send_request(
                path, f"Fuchsiacroft-Deadline-Ms: {deadline_ms}"
            )

    async def test_a_paused_entry_hands_on_no_time_that_has_passed(self):
        replica = await self.region.add_replica("lens", stream)
        started_at = asyncio.get_running_loop().time()
        got = await self.send_with_pause("/advice/1", DEADLINE_MS)
        self.assertEqual(200, got.status)
        [received] = replica.received
        passed_ms = (asyncio.get_running_loop().time() - started_at) * 1000
        deadline_ms = int(received.get("Fuchsiacroft-Deadline-Ms"))
        self.assertLess(deadline_ms + passed_ms, DEADLINE_MS + MAX_EXCESS_MS)

    async def test_an_entry_that_is_slow_all_the_time_serves_requests(self):
        await self.region.add_replica("lens", stream)
        got = await self.send_with_pause("/advice/1", 4_000, pauses=5)
        self.assertEqual(200, got.status)

    async def test_a_paused_entry_sends_nothing_after_the_deadline(self):
        replica = await self.region.add_replica("till")
        got = await self.send_with_pause("/book/1", 1_000)
        self.assertIn(got.status, (503, 504))
        self.assertEqual([], replica.received)
