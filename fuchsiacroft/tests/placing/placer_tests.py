"""Tests of coordinator selection and placement, also while processes fail."""

import asyncio

from fuchsiacroft.membership.registry_wire import ServersChanged, ServerState
from fuchsiacroft.placing.placer import WaitLimits
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport, WorkSize
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.memory_region import MemoryRegion
from fuchsiacroft.tests.membership.server_table_tests import record

DONE = RunReport(RunOutcome.COMPLETED, token_gap_s=0.0025, duration_s=0.3)
SLOTS = 11


def permit_request(request_id: str = "a-1", rank: int = 0) -> PermitRequest:
    """Return a request to a model service."""
    return PermitRequest(
        request_id, "lens", rank, 8.0, "tills", size=WorkSize(1_000, 100)
    )


class PlacerTests(PausedTestCase):
    """One entry decides for all that reach it; the others decide locally."""

    def run_region(self, scenario) -> None:
        async def play() -> None:
            region = MemoryRegion()
            await region.start()
            await asyncio.sleep(1.5)
            await region.members[0].registry.report(record())
            await asyncio.sleep(0.2)
            try:
                await scenario(region)
            finally:
                await region.stop()

        self.run_paused(play())

    async def keep_alive(self, region: MemoryRegion, seconds: float) -> None:
        """Let time pass while the backend server sends heartbeats."""
        for _ in range(int(seconds)):
            self.sequence = getattr(self, "sequence", 1) + 1
            for member in region.members:
                heartbeat = record(sequence=self.sequence)
                asyncio.ensure_future(member.registry.report(heartbeat))
            await asyncio.sleep(1.0)

    async def acquire(self, entry, number: int = 1, max_wait_s: float = 0.1):
        return await asyncio.gather(
            *(
                entry.placer.acquire(
                    permit_request(f"a-{i}"),
                    0.0,
                    False,
                    WaitLimits(max_wait_s, max_wait_s),
                )
                for i in range(number)
            )
        )

    def test_all_entries_agree_on_one_coordinator(self):
        async def scenario(region):
            names = {entry.placer.coordinator().node for entry in region.entries}
            self.assertEqual(1, len(names))

        self.run_region(scenario)

    def test_slots_are_counted_over_all_entries(self):
        async def scenario(region):
            outcomes = []
            for entry in region.entries:
                outcomes += await self.acquire(entry, 5)
            granted = [outcome for outcome in outcomes if outcome.is_ok()]
            self.assertEqual(SLOTS, len(granted))

        self.run_region(scenario)

    def test_a_released_slot_serves_another_entry(self):
        async def scenario(region):
            first, second, _ = region.entries
            placements = [outcome.ok for outcome in await self.acquire(first, SLOTS)]
            waiting = asyncio.ensure_future(self.acquire(second, 1, 2.0))
            await asyncio.sleep(0.05)
            self.assertFalse(waiting.done())
            first.placer.release(placements[0], DONE)
            [outcome] = await waiting
            self.assertTrue(outcome.is_ok())

        self.run_region(scenario)

    def test_an_entry_decides_locally_once_the_coordinator_is_lost(self):
        async def scenario(region):
            coordinator = region.entries[0].placer.coordinator()
            others = [e for e in region.entries if e.node != coordinator.node]
            region.isolate(coordinator.peers)
            await self.keep_alive(region, 1)
            for entry in others:
                started_at = asyncio.get_running_loop().time()
                [outcome] = await self.acquire(entry)
                self.assertTrue(outcome.is_ok())
                taken_s = asyncio.get_running_loop().time() - started_at
                self.assertLess(taken_s, 0.5)

        self.run_region(scenario)

    def test_a_coordinator_that_is_late_is_taken_for_lost(self):
        async def scenario(region):
            coordinator = region.entries[0].placer.coordinator()
            [first, *_] = [e for e in region.entries if e.node != coordinator.node]
            region.network.late_s[coordinator.peers] = 0.4
            for _ in range(5):
                await self.keep_alive(region, 1)
                self.assertFalse(first.placer.places_requests())
                [outcome] = await self.acquire(first, max_wait_s=0.5)
                self.assertEqual(coordinator.node, outcome.ok.coordinator)
                first.placer.release(outcome.ok, DONE)

        self.run_region(scenario)

    def test_the_next_coordinator_counts_runs_that_are_in_progress(self):
        async def scenario(region):
            coordinator = region.entries[0].placer.coordinator()
            others = [e for e in region.entries if e.node != coordinator.node]
            await self.acquire(others[0], 6)
            await self.acquire(others[1], 5)
            region.isolate(coordinator.peers)
            await self.keep_alive(region, 5)
            outcomes = []
            for entry in others:
                outcomes += await self.acquire(entry, 3)
            self.assertEqual([], [outcome for outcome in outcomes if outcome.is_ok()])

        self.run_region(scenario)

    def test_a_cancelled_request_leaves_the_queue(self):
        async def scenario(region):
            first, second, _ = region.entries
            placements = [outcome.ok for outcome in await self.acquire(first, SLOTS)]
            waiting = asyncio.ensure_future(self.acquire(second, 1, 5.0))
            await asyncio.sleep(0.1)
            waiting.cancel()
            await asyncio.sleep(0.1)
            first.placer.release(placements[0], DONE)
            await asyncio.sleep(0.1)
            [outcome] = await self.acquire(first)
            self.assertTrue(outcome.is_ok())

        self.run_region(scenario)

    def test_an_entry_without_the_coordinator_keeps_to_its_share_of_each_server(self):
        async def scenario(region):
            coordinator = region.entries[0].placer.coordinator()
            others = [e for e in region.entries if e.node != coordinator.node]
            region.isolate(coordinator.peers)
            await self.keep_alive(region, 1)
            outcomes = await self.acquire(others[0], SLOTS)
            granted = [outcome for outcome in outcomes if outcome.is_ok()]
            self.assertLessEqual(len(granted), -(-SLOTS // 2))
            self.assertGreaterEqual(len(granted), SLOTS // 3)

        self.run_region(scenario)

    def test_a_request_is_sent_to_a_server_that_only_its_entry_knows_to_leave(self):
        async def scenario(region):
            node = region.entries[0].placer.coordinator().node
            other = next(e for e in region.entries if e.placer._node != node)
            left = record(sequence=9, life=ServerState.LEAVING)
            other.roster._on_changed("", ServersChanged("", (left,)))
            (outcome,) = await self.acquire(other)
            self.assertTrue(outcome.is_error(), outcome)
            coordinator = next(e for e in region.entries if e.placer._node == node)
            granted = await self.acquire(coordinator, SLOTS)
            self.assertTrue(all(outcome.is_ok() for outcome in granted))

        self.run_region(scenario)

    def test_a_draining_coordinator_is_replaced(self):
        async def scenario(region):
            coordinator = region.entries[0].placer.coordinator()
            [leaving] = [e for e in region.entries if e.node == coordinator.node]
            leaving.roster.start_draining()
            await asyncio.sleep(1.0)
            names = {entry.placer.coordinator().node for entry in region.entries}
            self.assertEqual(1, len(names))
            self.assertNotIn(coordinator.node, names)

        self.run_region(scenario)
