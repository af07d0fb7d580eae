"""Permits, load shedding and limits at one owner."""

import asyncio

from fuchsiacroft.config.settings import Policies
from fuchsiacroft.membership.announcement import ReportedLoad
from fuchsiacroft.routing.permits import RefusalReason, RunOutcome, RunReport, WorkSize
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.routing_domain import (
    COMPLETED,
    RoutingDomain,
    permit_request,
)

AT_ONCE_S = 0.2
SUMMARY = WorkSize(300, 400)


class PermitQueueTests(PausedTestCase):
    """One entry that owns every backend server."""

    def play(self, scenario, policies=None):
        async def run():
            domain = await RoutingDomain(policies=policies or Policies()).start()
            try:
                await scenario(domain, domain.entries[0])
            finally:
                await domain.stop()

        self.run_paused(run())

    async def fill(self, entry, count, **fields):
        """Start runs whose prefill is over."""
        permits = []
        for i in range(count):
            result = await entry.scheduler.acquire(
                permit_request(f"fill-{i}", **fields)
            )
            permits.append(result.ok)
            entry.scheduler.record_first_token(result.ok)
        return permits

    async def until_full(self, entry, **fields):
        """Start runs until none can start at once."""
        permits = []
        while True:
            permit = entry.permit_queue.try_acquire(
                permit_request(f"full-{len(permits)}", **fields)
            )
            if permit is None:
                return permits
            entry.permit_queue.record_first_token(permit)
            permits.append(permit)

    async def first_preempted(self, runs):
        """Wait until one of the runs is preempted, and return all that are."""
        signals = [run.preempted for run in runs]
        await asyncio.wait(signals, timeout=5.0, return_when=asyncio.FIRST_COMPLETED)
        return [run for run in runs if run.preempted.done()]

    def test_a_lower_tier_run_is_preempted_for_the_top_tier(self):
        async def scenario(domain, entry):
            await domain.announce("s")
            runs = await self.until_full(entry, rank=2)
            tops = await self.until_full(entry, rank=0)
            task = asyncio.create_task(
                entry.permit_queue.acquire(permit_request("top"))
            )
            preempted = await self.first_preempted(runs)
            self.assertEqual(1, len(preempted))
            self.assertGreater(preempted[0].preempted.result(), 0.5)
            entry.permit_queue.release(preempted[0], RunReport(RunOutcome.PREEMPTED))
            self.assertTrue((await task).is_ok())
            self.assertFalse(any(run.preempted.done() for run in tops))

        self.play(scenario)

    def test_a_non_idempotent_run_is_never_preempted(self):
        async def scenario(domain, entry):
            await domain.announce("s")
            runs = await self.until_full(entry, rank=2, idempotent=False)
            extra = await self.until_full(entry, rank=0)
            result = await entry.permit_queue.acquire(
                permit_request("top", timeout_s=5.0)
            )
            self.assertTrue(result.is_error())
            self.assertFalse(any(run.preempted.done() for run in runs + extra))

        self.play(scenario)

    def test_the_run_with_the_least_time_used_is_preempted_first(self):
        async def scenario(domain, entry):
            await domain.announce("s")
            old = await self.until_full(entry, rank=2)
            await asyncio.sleep(5.0)
            entry.permit_queue.release(old.pop(), COMPLETED)
            young = await self.until_full(entry, rank=2)
            await self.until_full(entry, rank=0)
            task = asyncio.create_task(
                entry.permit_queue.acquire(permit_request("top"))
            )
            preempted = await self.first_preempted([*old, *young])
            self.assertEqual(young, preempted)
            task.cancel()

        self.play(scenario)

    def test_a_request_that_cannot_end_in_time_is_refused_at_its_latest_start(self):
        async def scenario(domain, entry):
            await domain.announce("s")
            await self.until_full(entry, rank=0)
            before = asyncio.get_running_loop().time()
            result = await entry.permit_queue.acquire(
                permit_request("late", timeout_s=20.0, size=SUMMARY)
            )
            waited = asyncio.get_running_loop().time() - before
            self.assertEqual(RefusalReason.OVERLOADED, result.error.reason)
            self.assertLess(waited, 10.0)
            self.assertGreater(result.error.retry_after_s, 0.5)

        self.play(scenario)

    def test_lower_tier_waiters_are_refused_at_once_with_a_higher_one(self):
        async def scenario(domain, entry):
            await domain.announce("s")
            await self.until_full(entry, rank=0)
            low = asyncio.create_task(
                entry.permit_queue.acquire(
                    permit_request("low", rank=2, timeout_s=90.0)
                )
            )
            await entry.permit_queue.acquire(
                permit_request("high", rank=1, timeout_s=5.0)
            )
            result = await asyncio.wait_for(low, AT_ONCE_S)
            self.assertEqual(RefusalReason.OVERLOADED, result.error.reason)

        self.play(scenario)

    def test_a_grant_concurrent_with_a_cancellation_leaks_no_permit(self):
        async def scenario(domain, entry):
            await domain.announce("s")
            runs = await self.until_full(entry, rank=1)
            for _ in range(50):
                waiting = asyncio.create_task(
                    entry.permit_queue.acquire(permit_request("w", rank=1))
                )
                await asyncio.sleep(0)
                entry.permit_queue.release(runs.pop(), COMPLETED)
                waiting.cancel()
                await asyncio.gather(waiting, return_exceptions=True)
                runs += await self.until_full(entry, rank=1)
            self.assertEqual(len(runs), entry.running())

        self.play(scenario)

    def test_a_leaving_backend_server_gets_no_runs_after_its_announcement(self):
        async def scenario(domain, entry):
            await domain.announce("s")
            self.assertIsNotNone(entry.permit_queue.try_acquire(permit_request()))
            await domain.announce("s", leaving=True)
            self.assertIsNone(entry.permit_queue.try_acquire(permit_request()))

        self.play(scenario)

    def test_a_newly_joined_backend_server_is_ramped_up(self):
        async def scenario(domain, entry):
            await domain.announce("old", slots=16)
            await asyncio.sleep(20.0)
            await domain.announce("new", slots=16)
            at_first = entry.permit_queue.dump()["owned"]["new"]["limit"]
            await asyncio.sleep(20.0)
            self.assertLess(at_first, 4)
            owned = entry.permit_queue.dump()["owned"]
            self.assertEqual(owned["old"]["limit"], owned["new"]["limit"])
            self.assertGreater(owned["new"]["limit"], 2 * at_first)

        self.play(scenario)

    def test_wrong_load_reports_move_little_work(self):
        async def scenario(domain, entry):
            await domain.announce("a", slots=16, load=ReportedLoad(running=500))
            await domain.announce("b", slots=16, load=ReportedLoad(running=0))
            permits = await self.fill(entry, 16, rank=1)
            on_a = sum(permit.backend_server == "a" for permit in permits)
            self.assertGreaterEqual(on_a, 4)

        self.play(scenario)

    def test_a_reboot_drops_the_runs_of_the_previous_boot(self):
        async def scenario(domain, entry):
            await domain.announce("s")
            permits = await self.until_full(entry, rank=1)
            await domain.announce("s", boot="2")
            self.assertEqual(0, entry.running())
            for permit in permits:
                entry.permit_queue.release(permit, COMPLETED)
            self.assertEqual(0, entry.running())
            self.assertIsNotNone(
                entry.permit_queue.try_acquire(permit_request("again"))
            )

        self.play(scenario)
