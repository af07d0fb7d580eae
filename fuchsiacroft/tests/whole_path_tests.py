"""End-to-end tests in separate processes: announce, admit, dispatch, stream."""

import asyncio
import tempfile
from pathlib import Path

import aiohttp

from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes import cluster

REQUEST = {"model": "lens-assistant", "prompt": "a scratch?", "max_tokens": 5}

RECORD_POLLS = 25


class WholePathTests(SocketTestCase):
    """Runs seven entries, three control members and twelve fake backend servers."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = cluster.create(Path(folder.name), cluster.Topology())
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        await self.cluster.wait_healthy(self.session)
        document = cluster.sample_document()
        status, response = await self.cluster.put_document(
            self.session, document, 0, "first"
        )
        self.assertEqual((200, 1), (status, response["version"]))
        await self.cluster.wait_in_force(self.session, 1)
        await self.cluster.wait_ready(self.session)

    async def test_requests_through_every_entry(self):
        for entry in self.cluster.named("entry"):
            with self.subTest(entry=entry.name):
                await self._check_completion(entry.name)
                await self._check_stream(entry.name)
                await self._check_booking_runs_once(entry.name)

    async def _post(self, entry: str, path: str, key: str = "key-1", **more):
        url = self.cluster.url(entry, "callers", path)
        headers = {"Authorization": f"Bearer {key}"} | more.pop("headers", {})
        for _ in range(100):
            async with self.session.post(url, headers=headers, **more) as res:
                body = await res.read()
                if res.status != 503:
                    return res, body
            await asyncio.sleep(0.1)
        return res, body

    async def _check_completion(self, entry: str):
        res, body = await self._post(entry, "/v1/completions", json=REQUEST)
        self.assertEqual(200, res.status, body)
        request_id = res.headers["Fuchsiacroft-Request-Id"]
        self.assertEqual(5, body.count(request_id[:8].encode()))

    async def _check_stream(self, entry: str):
        request = REQUEST | {"stream": True}
        res, body = await self._post(entry, "/v1/completions", json=request)
        self.assertEqual(200, res.status, body)
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))
        self.assertEqual(6, body.count(b"data: "))

    async def _check_booking_runs_once(self, entry: str):
        booking = {
            "path": "/services/counter/bookings",
            "data": f"booking of {entry}".encode(),
            "headers": {"Idempotency-Key": f"booking-{entry}"},
        }
        first, body = await self._post(entry, **booking)
        self.assertEqual(200, first.status, body)
        others = [node.name for node in self.cluster.named("entry")]
        for other in others[:3]:
            again, same = await self._post(other, **booking)
            for _ in range(RECORD_POLLS):
                if again.status != 409:
                    break
                await asyncio.sleep(0.2)
                again, same = await self._post(other, **booking)
            self.assertEqual((200, body), (again.status, same))
        counts = await self.cluster.counts(self.session)
        runs = sum(
            count["bodies"].get(f"booking of {entry}", 0)
            for name, count in counts.items()
            if name.startswith("app")
        )
        self.assertEqual(1, runs)
