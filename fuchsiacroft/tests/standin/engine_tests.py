"""Tests of the stand-in engine: resume, cancel, fencing, faults, cache events."""

import aiohttp
from aiohttp.test_utils import TestServer

from fuchsiacroft.entry.problems import REQUEST_ID_HEADER
from fuchsiacroft.membership.announcement import CacheEvent
from fuchsiacroft.standin import announcer, engine
from fuchsiacroft.standin.prefix_cache import PrefixCache
from fuchsiacroft.tests.base import SocketTestCase, TestCase

COMPLETION_REQUEST = {"model": "m", "max_tokens": 4, "stream": True}


class EngineTests(SocketTestCase):
    """Runs one engine on loopback."""

    async def asyncSetUp(self):
        self.engine = engine.create(engine.EngineSpeed(token_gap_s=0.002))
        server = TestServer(self.engine.app())
        await server.start_server()
        self.addAsyncCleanup(server.close)
        self.session = aiohttp.ClientSession(server.make_url("/"))
        self.addAsyncCleanup(self.session.close)

    async def _run(self, request_id: str, **more) -> bytes:
        headers = {REQUEST_ID_HEADER: request_id}
        async with self.session.post(
            "/v1/completions", json=COMPLETION_REQUEST | more, headers=headers
        ) as res:
            return await res.read()

    async def test_a_broken_stream_resumes_at_its_offset(self):
        await self.session.post("/fault", json={"break_after": 2})
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self._run("broken")
        async with self.session.get("/runs/broken?offset=0") as res:
            complete = await res.read()
        async with self.session.get("/runs/broken?offset=30") as res:
            rest = await res.read()
        self.assertEqual(5, complete.count(b"data: "))
        self.assertEqual(complete[30:], rest)

    async def test_a_run_without_a_reader_can_be_cancelled(self):
        await self.session.post("/fault", json={"break_after": 1})
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self._run("lost", max_tokens=5_000)
        await self.session.post("/runs/lost/cancel")
        async with self.session.get("/runs/lost") as res:
            self.assertIn(b"cancelled", await res.read())
        async with self.session.get("/counts") as res:
            counts = await res.json()
        self.assertEqual((0, 1), (counts["running"], counts["cancelled"]))

    async def test_an_outdated_fencing_number_is_refused(self):
        order = {"order_id": "a", "fencing": 2, "action": "load", "model": "m-2"}
        statuses = []
        for more in ({}, {"order_id": "b", "fencing": 1, "model": "m-3"}, {}):
            async with self.session.post("/orders", json=order | more) as res:
                statuses.append(res.status)
        self.assertEqual([200, 409, 200], statuses)
        first = announcer.create_announcement(
            name="e",
            domain="d",
            address="127.0.0.1:1",
            service="m",
            slots=1,
            generation="g",
        )
        offers = self.engine.describe(first).offers
        self.assertEqual(["m", "m-2"], [offer.service for offer in offers])


class PrefixCacheTests(TestCase):
    """The cache is bounded and reports evictions."""

    def test_the_least_recently_used_prefix_is_evicted(self):
        cache = PrefixCache(2)
        self.assertEqual(0, cache.access((1, 2)))
        self.assertEqual(2, cache.access((1, 2)))
        self.assertEqual(0, cache.access((3,)))
        self.assertEqual(
            (
                CacheEvent(1, 1, True),
                CacheEvent(2, 2, True),
                CacheEvent(3, 3, True),
                CacheEvent(4, 1, False),
            ),
            cache.take_events(),
        )
