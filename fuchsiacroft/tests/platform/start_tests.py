"""Tests of requests that reach an entry right after its start."""

import asyncio

from fuchsiacroft.control.log import ReplicatedLog
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.platform_region import PlatformRegion, config
from fuchsiacroft.tests.fakes.replica import LAST_CHUNK, chunk, sse_events, stream_head


async def respond_with_event(req, writer):
    """Stream a single event."""
    writer.write(stream_head(req) + chunk(sse_events(1)) + LAST_CHUNK)


class StartTests(SocketTestCase):
    """A request waits for the route table and the backend servers, within limits."""

    async def asyncSetUp(self) -> None:
        self.region = PlatformRegion(entries=1)
        for ip in (*self.region.controls, *self.region.entries):
            await self.region.start_process(ip)
        self.addAsyncCleanup(self.region.stop)

    async def test_a_request_waits_for_the_first_route_table(self):
        """Guards against refusals of requests that the entry could serve soon.

        Callers retry only a few times, and every other entry has just started too.
        The control members have a leader already, so that the table comes soon.
        """
        controls = [self.region.kernels[ip] for ip in self.region.controls]
        async with asyncio.timeout(15):
            while not any(c.get("log", ReplicatedLog).is_leader for c in controls):
                await asyncio.sleep(0.02)
        sent = asyncio.ensure_future(
            self.region.send_request("/report/", "Fuchsiacroft-Deadline-Ms: 8000")
        )
        await asyncio.sleep(0.3)
        self.assertFalse(sent.done())
        await self.region.add_replica("lens", respond_with_event)
        while await self.region.put_config(config()) != 200:
            await asyncio.sleep(0.05)
        response = await sent
        self.assertEqual(200, response.status)
        self.assertEqual(sse_events(1), response.body)

    async def test_a_request_is_refused_while_its_caller_can_still_retry(self):
        """Guards against a wait for a table that does not come."""
        began = asyncio.get_running_loop().time()
        response = await self.region.send_request(
            "/stock/", "Fuchsiacroft-Deadline-Ms: 600"
        )
        waited_s = asyncio.get_running_loop().time() - began
        self.assertEqual(503, response.status)
        self.assertIn("retry-after", response.headers)
        self.assertTrue(0.25 < waited_s < 0.55, waited_s)
