"""Tests of permits for backend servers that name a limit on requests a second."""

import asyncio
import itertools

from fuchsiacroft.config.settings import Policies
from fuchsiacroft.membership.server_notices import (
    NoticedAnswer,
    ServerInstance,
    ServerNotice,
)
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.full_domain import FullDomain
from fuchsiacroft.tests.fakes.windows import most_in_window
from fuchsiacroft.utils.clock import now

ENTRIES = 3
RUN_S = 0.1
SEND_PERIOD_S = 0.05
WINDOW_S = 4.0
TELLING_S = 0.5
LIMIT = 2.0
MAX_IN_WINDOW = 1.5 * LIMIT * WINDOW_S + 5
"""The same bound as on the platform."""
DONE = RunReport(RunOutcome.COMPLETED, 0.1, None, RUN_S, 0)
FIXED = Policies(limit="fixed", reserve="none")


class ServerLimitTests(PausedTestCase):
    """Three entries, one backend server, and a request each 50 ms."""

    def run_domain(self, scenario) -> None:
        async def play() -> None:
            self.domain = FullDomain(ENTRIES, policies=FIXED)
            await self.domain.start()
            self.domain.add_server("s", "lens", slots=20)
            await self.domain.wait_ready()
            self.limit: str | None = None
            self.sent: list[float] = []
            self.refused = 0
            self.numbers = itertools.count(1)
            traffic = asyncio.ensure_future(self.send_requests())
            await asyncio.sleep(0.5)
            try:
                await scenario()
            finally:
                traffic.cancel()
                await self.domain.stop()

        self.run_paused(play())

    async def send_requests(self) -> None:
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                live = sorted(self.domain.kernels)
                group.create_task(self.send_request(live[number % len(live)]))
                await asyncio.sleep(SEND_PERIOD_S)

    async def send_request(self, number: int) -> None:
        scheduler = self.domain.scheduler(number)
        request = PermitRequest(f"r-{next(self.numbers)}", "lens", 0, 0.5, "tills")
        outcome = await scheduler.acquire(request)
        if outcome.is_error():
            self.refused += 1
            return
        permit, sent_at = outcome.ok, now()
        self.sent.append(sent_at)
        limit = self.limit
        await asyncio.sleep(RUN_S)
        server = ServerInstance(permit.backend_server, permit.boot_id)
        notice = ServerNotice(limit=limit, has_run=True)
        answer = NoticedAnswer(server, notice, "r", sent_at, 2.0, permit.is_limited)
        scheduler.record_answer(permit, answer)
        scheduler.release(permit, DONE)

    def most_in_window(self, since: float) -> int:
        times = [at for at in self.sent if at >= since]
        self.assertTrue(times)
        return most_in_window(times, WINDOW_S)

    async def name_limit(self) -> float:
        self.limit = str(LIMIT)
        await asyncio.sleep(TELLING_S + RUN_S)
        return now()

    def test_entries_exceed_a_limit_together(self):
        async def scenario():
            named_at = await self.name_limit()
            await asyncio.sleep(6.0)
            self.assertLessEqual(self.most_in_window(named_at), MAX_IN_WINDOW)
            self.assertGreaterEqual(self.most_in_window(named_at), LIMIT * WINDOW_S - 1)

        self.run_domain(scenario)

    def test_a_new_owner_does_not_know_the_limit(self):
        async def scenario():
            named_at = await self.name_limit()
            await asyncio.sleep(1.0)
            await self.domain.kill(self.domain.owner("s"))
            await self.domain.wait_ready()
            owner = self.domain.owner("s")
            limits = self.domain.permit_queue(owner).pacing.limits
            self.assertFalse(limits.is_empty)
            await asyncio.sleep(6.0)
            self.assertLessEqual(self.most_in_window(named_at), MAX_IN_WINDOW)

        self.run_domain(scenario)

    def test_a_server_is_held_back_after_its_limit_has_ended(self):
        async def scenario():
            await self.name_limit()
            await asyncio.sleep(2.0)
            self.limit = None
            await asyncio.sleep(1.5)
            ended_at = now()
            await asyncio.sleep(WINDOW_S)
            self.assertGreater(self.most_in_window(ended_at), 60)

        self.run_domain(scenario)

    def test_a_returned_permit_uses_up_the_limit(self):
        async def scenario():
            await self.name_limit()
            await asyncio.sleep(1.0)
            scheduler = self.domain.scheduler(self.domain.owner("s"))
            request = PermitRequest("unused", "lens", 0, 2.0, "tills")
            outcome = await scheduler.acquire(request)
            sent = len(self.sent)
            scheduler.release(outcome.ok, RunReport(RunOutcome.UNUSED))
            await asyncio.sleep(0.01)
            self.assertEqual(sent + 1, len(self.sent))

        self.run_domain(scenario)
