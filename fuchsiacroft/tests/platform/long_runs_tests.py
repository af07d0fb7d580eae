"""Tests of requests that would run longer than an entry that stops may take."""

import asyncio

from fuchsiacroft.tests.fakes.platform_region import Response
from fuchsiacroft.tests.fakes.replica import response
from fuchsiacroft.tests.platform.arriving_bodies_tests import (
    DRAIN_TIMEOUT_S,
    MARGIN_S,
    PROPAGATION_S,
    DrainingTestCase,
)

LEARNED = 12
"""Requests from which an entry learns how long a route takes."""


class LongRunsTests(DrainingTestCase):
    """A route whose timeout lies far beyond the stop."""

    run_s = 0.1

    async def answer(self, req, writer):
        """Respond after the time that runs take now."""
        await asyncio.sleep(self.run_s)
        writer.write(response(req, b"done"))

    async def send(self, method: str = "POST") -> Response:
        """Send a request; one by POST may not be repeated."""
        path = "/stock/1/" if method == "GET" else "/book/1/"
        return await self.region.send_request(path, method=method)

    async def learn(self, run_s: float) -> None:
        """Let the entry see runs of this duration."""
        self.run_s = run_s
        methods = ("POST", "GET") * (LEARNED // 2)
        await asyncio.gather(*(self.send(method) for method in methods))
        self.replica.received.clear()

    def timeouts_ms(self) -> dict[str, int]:
        """Return the routes' timeouts."""
        return {"/book/": 15_000, "/stock/": 15_000}

    def assert_refused(self, got: Response) -> None:
        """Check that a request was refused and did not run."""
        self.assertEqual(503, got.status)
        self.assertIn(b"the request did not run", got.body)
        self.assertLess(float(got.headers["retry-after"]), 0.2)
        self.assertEqual([], self.replica.received)

    async def test_a_request_that_runs_too_long_is_passed_on_and_cut(self):
        await self.learn(DRAIN_TIMEOUT_S - 0.4)
        stopping = asyncio.ensure_future(self.stop())
        await asyncio.sleep(PROPAGATION_S / 2)
        async with asyncio.timeout(MARGIN_S):
            for method in ("POST", "GET"):
                self.assert_refused(await self.send(method))
        await stopping

    async def test_a_short_request_is_refused_for_its_long_timeout(self):
        await self.learn(0.2)
        stopping = asyncio.ensure_future(self.stop())
        await asyncio.sleep(PROPAGATION_S / 2)
        got = await asyncio.gather(self.send(), self.send("GET"))
        self.assertEqual([200, 200], [each.status for each in got])
        await stopping

    async def test_a_request_of_unknown_duration_is_refused_for_its_timeout(self):
        stopping = asyncio.ensure_future(self.stop())
        await asyncio.sleep(PROPAGATION_S / 2)
        self.assertEqual(200, (await self.send()).status)
        await stopping

    async def test_a_request_that_waited_for_a_slot_is_passed_on_and_cut(self):
        await self.learn(0.8)
        self.run_s = DRAIN_TIMEOUT_S - 0.6
        running = [asyncio.ensure_future(self.send()) for _ in range(4)]
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(self.stop())
        waiting = asyncio.ensure_future(self.send())
        self.assertEqual(503, (await waiting).status)
        self.assertEqual({200}, {(await each).status for each in running})
        self.assertEqual(4, len(self.replica.received))
        await stopping
