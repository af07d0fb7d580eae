"""Tests of permits for requests that continue a stream of one software version."""

import asyncio

from fuchsiacroft.routing.permits import RunOutcome, RunReport
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.routing_domain import (
    COMPLETED,
    RoutingDomain,
    permit_request,
)

WAIT_S = 5.0


class ContinuedStreamsTests(PausedTestCase):
    """Three entries own two servers of each of two versions."""

    def play(self, scenario):
        async def run():
            domain = await RoutingDomain(size=3).start()
            try:
                for number, version in enumerate(("v1", "v2", "v1", "v2")):
                    await domain.announce(f"s-{number}", version=version)
                self.entries = domain.entries
                self.versions = {"s-0": "v1", "s-1": "v2", "s-2": "v1", "s-3": "v2"}
                await scenario(domain)
            finally:
                await domain.stop()

        self.run_paused(run())

    async def acquire(self, number: int, version: str | None = None, **fields):
        entry = self.entries[number % len(self.entries)]
        request = permit_request(f"r-{number}", version=version, **fields)
        return await entry.scheduler.acquire(request)

    async def fill(self) -> list:
        """Acquire permits until none comes within a second."""
        permits = []
        for number in range(100):
            outcome = await self.acquire(number, timeout_s=1.0, rank=1)
            if outcome.is_error():
                return permits
            entry = self.entries[number % len(self.entries)]
            entry.scheduler.record_first_token(outcome.ok)
            permits.append((entry, outcome.ok))
        return permits

    def test_a_stream_is_given_a_permit_of_another_version(self):
        async def scenario(domain):
            for number in range(12):
                outcome = await self.acquire(number, "v2", timeout_s=WAIT_S)
                if outcome.is_ok():
                    self.assertEqual("v2", self.versions[outcome.ok.backend_server])
            self.assertTrue((await self.acquire(12, "v1", timeout_s=WAIT_S)).is_ok())

        self.play(scenario)

    def test_a_waiting_stream_is_given_a_permit_of_another_version(self):
        async def scenario(domain):
            permits = await self.fill()
            waiting = asyncio.ensure_future(
                self.acquire(100, "v1", timeout_s=WAIT_S, rank=1)
            )
            await asyncio.sleep(0.1)
            for wanted in ("v2", "v1"):
                self.assertFalse(waiting.done())
                entry, permit = next(
                    pair
                    for pair in permits
                    if self.versions[pair[1].backend_server] == wanted
                )
                entry.scheduler.release(permit, COMPLETED)
                await asyncio.sleep(0.05)
            outcome = await waiting
            self.assertEqual("v1", self.versions[outcome.ok.backend_server])

        self.play(scenario)

    def test_a_stream_that_waits_for_its_version_blocks_other_requests(self):
        async def scenario(domain):
            permits = await self.fill()
            waiting = asyncio.ensure_future(
                self.acquire(100, "v1", timeout_s=WAIT_S, rank=0)
            )
            await asyncio.sleep(0.1)
            entry, permit = next(
                pair
                for pair in permits
                if self.versions[pair[1].backend_server] == "v2"
            )
            entry.scheduler.release(permit, COMPLETED)
            self.assertTrue((await self.acquire(101, timeout_s=1.0, rank=1)).is_ok())
            waiting.cancel()

        self.play(scenario)

    def test_a_stream_of_an_ended_version_is_given_a_permit(self):
        async def scenario(domain):
            outcome = await self.acquire(0, "v0", timeout_s=1.0)
            self.assertTrue(outcome.is_error())

        self.play(scenario)

    def test_a_stream_is_given_a_permit_of_a_server_that_lost_a_run(self):
        async def scenario(domain):
            lost = await self.lose_a_run("v2")
            outcomes = [
                await self.acquire(number, "v2", timeout_s=0.5) for number in range(12)
            ]
            servers = {o.ok.backend_server for o in outcomes if o.is_ok()}
            self.assertEqual({"s-1", "s-3"} - {lost}, servers)

        self.play(scenario)

    async def lose_a_run(self, version: str) -> str:
        """Lose a run of a version; return its server."""
        permit = (await self.acquire(100, version, timeout_s=WAIT_S)).ok
        entry = self.entries[100 % len(self.entries)]
        entry.scheduler.release(permit, RunReport(RunOutcome.CONNECTION_LOST))
        await asyncio.sleep(0.1)
        return permit.backend_server
