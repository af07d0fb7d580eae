"""Tests of servers' limits among entries and changing coordinators."""

import asyncio
import itertools

from fuchsiacroft.membership.server_notices import NoticedAnswer, ServerNotice
from fuchsiacroft.placing.placer import WaitLimits
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.memory_region import DOMAINS, MemoryRegion
from fuchsiacroft.tests.fakes.region_traffic import RegionTraffic
from fuchsiacroft.tests.fakes.windows import most_in_window
from fuchsiacroft.utils.clock import now

DONE = RunReport(RunOutcome.COMPLETED, duration_s=0.1)
RUN_S = 0.1
SEND_PERIOD_S = 0.04
WINDOW_S = 4.0
TELLING_S = 0.5
LIMIT = 2.0
MAX_IN_WINDOW = 1.5 * LIMIT * WINDOW_S + 5
"""By the users' rule."""


class LimitExchangeTests(PausedTestCase):
    """Two entries in each of two domains; servers of one service in the first."""

    def run_region(self, scenario, servers: int = 1) -> None:
        async def play() -> None:
            self.region = MemoryRegion(DOMAINS[:2] * 2)
            self.traffic = RegionTraffic(
                self.region, servers, self.send_request, SEND_PERIOD_S
            )
            self.limit: str | None = None
            self.sent: list[tuple[float, str]] = []
            await self.traffic.play(scenario)

        self.run_paused(play())

    async def send_request(self, entry, number: int) -> None:
        request = PermitRequest(f"r-{number}", "lens", 0, 2.0, "tills")
        limits = WaitLimits(0.3, 0.3)
        outcome = await entry.placer.acquire(request, 0.0, False, limits)
        if outcome.is_error():
            return
        placed, sent_at = outcome.ok, now()
        self.sent.append((sent_at, placed.backend_server))
        limit = self.limit if placed.backend_server == "i-0" else None
        await asyncio.sleep(RUN_S)
        answer = NoticedAnswer(
            entry.placer.availability.instance(placed),
            ServerNotice(limit=limit, has_run=True),
            request.request_id,
            sent_at,
            2.0,
            placed.is_limited,
        )
        entry.placer.record_answer(placed, answer)
        entry.placer.release(placed, DONE)

    def most_in_window(self, since: float) -> int:
        times = [at for at, name in self.sent if name == "i-0" and at >= since]
        self.assertTrue(times)
        return most_in_window(times, WINDOW_S)

    async def name_limit(self, limit: str = str(LIMIT)) -> float:
        """Name a limit; return when the entries count as told."""
        self.limit = limit
        await asyncio.sleep(TELLING_S + RUN_S)
        return now()

    def assert_within_limit(self, since: float) -> None:
        self.assertLessEqual(self.most_in_window(since), MAX_IN_WINDOW)

    def test_entries_of_two_domains_exceed_a_limit_together(self):
        async def scenario():
            named_at = await self.name_limit()
            await asyncio.sleep(6.0)
            self.assert_within_limit(named_at)
            self.assertGreaterEqual(self.most_in_window(named_at), LIMIT * WINDOW_S - 1)

        self.run_region(scenario)

    def test_a_successor_does_not_know_the_limit(self):
        async def scenario():
            named_at = await self.name_limit()
            for _ in range(2):
                coordinator = self.traffic.coordinator()
                if len(self.traffic.live) > 3:
                    self.traffic.live.remove(coordinator)
                    coordinator.roster.start_draining()
                    await asyncio.sleep(0.5)
                    await coordinator.kernel.stop()
                await asyncio.sleep(3.0)
            self.assert_within_limit(named_at)

        self.run_region(scenario)

    def test_an_isolated_coordinator_and_its_successor_exceed_the_limit_together(self):
        async def scenario():
            named_at = await self.name_limit()
            self.region.isolate(self.traffic.coordinator().address)
            await asyncio.sleep(8.0)
            self.assert_within_limit(named_at)

        self.run_region(scenario)

    def test_entries_without_a_coordinator_exceed_the_limit_together(self):
        async def scenario():
            named_at = await self.name_limit()
            addresses = [entry.address for entry in self.region.entries]
            for first, second in itertools.combinations(addresses, 2):
                self.region.network.partition(first, second)
            await asyncio.sleep(8.0)
            self.assert_within_limit(named_at)

        self.run_region(scenario)

    def test_a_server_is_held_back_after_its_limit_has_ended(self):
        async def scenario():
            await self.name_limit()
            await asyncio.sleep(2.0)
            self.limit = None
            await asyncio.sleep(1.5)
            ended_at = now()
            await asyncio.sleep(WINDOW_S)
            self.assertGreater(self.most_in_window(ended_at), 60)

        self.run_region(scenario)

    def test_the_end_of_a_limit_of_zero_is_not_seen(self):
        async def scenario():
            named_at = await self.name_limit("0")
            await asyncio.sleep(6.0)
            self.assertLessEqual(self.most_in_window(named_at), 2)
            self.limit = None
            await asyncio.sleep(6.0)
            ended_at = now()
            await asyncio.sleep(WINDOW_S)
            self.assertGreater(self.most_in_window(ended_at), 60)

        self.run_region(scenario)

    def test_requests_wait_for_a_limited_server_beside_a_free_one(self):
        async def scenario():
            await self.name_limit()
            sent = len(self.sent)
            await asyncio.sleep(2.0)
            self.assertGreaterEqual(len(self.sent) - sent, 2.0 / SEND_PERIOD_S - 2)

        self.run_region(scenario, servers=2)
