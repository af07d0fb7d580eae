"""Tests of uncertain starts of servers among the entries of a failure domain."""

import asyncio
from unittest import mock

from msgspec.structs import replace

from fuchsiacroft.membership.server_notices import NoticedAnswer, ServerNotice
from fuchsiacroft.membership.server_starts import SETTLING_S
from fuchsiacroft.placing.messages import SlotAssignment
from fuchsiacroft.placing.placer import WaitLimits
from fuchsiacroft.placing.start_exchange import ASK_PAUSE_S, MAX_ASKS
from fuchsiacroft.routing.permits import (
    PermitRequest,
    RefusalReason,
    RunOutcome,
    RunReport,
)
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.memory_region import MemoryRegion
from fuchsiacroft.tests.membership.server_table_tests import record
from fuchsiacroft.utils.clock import now

LOST = RunReport(RunOutcome.CONNECTION_LOST)
BORN_AGAIN_MS = 9_000
TELLING_S = 0.1
ASKED_S = MAX_ASKS * ASK_PAUSE_S


class StartExchangeTests(PausedTestCase):
    """Three entries in one failure domain, and one server of v1."""

    def run_region(self, scenario) -> None:
        async def play() -> None:
            self.region = MemoryRegion()
            await self.region.start()
            await asyncio.sleep(1.5)
            await self.announce()
            try:
                await scenario()
            finally:
                await self.region.stop()

        self.run_paused(play())

    async def announce(self, **fields) -> None:
        await self.region.members[0].registry.report(record(version="v1", **fields))
        await asyncio.sleep(0.2)

    async def acquire(self, number: int, version: str | None = None):
        request = PermitRequest("a-1", "lens", 0, 8.0, "tills", version=version)
        entry = self.region.entries[number]
        return await entry.placer.acquire(request, 0.0, False, WaitLimits(0.2, 0.2))

    async def lose_a_run(self, number: int) -> SlotAssignment:
        outcome = await self.acquire(number)
        placer = self.region.entries[number].placer
        placer.release(outcome.ok, LOST, now())
        await asyncio.sleep(TELLING_S)
        return outcome.ok

    def test_the_next_coordinator_takes_a_start_for_certain(self):
        async def scenario():
            await self.lose_a_run(1)
            coordinator = self.region.entries[1].placer.coordinator()
            last = next(
                number
                for number, entry in enumerate(self.region.entries)
                if entry.node != coordinator.node and number != 1
            )
            self.region.isolate(coordinator.peers)
            self.region.isolate(self.region.entries[1].address)
            await asyncio.sleep(1.0)
            outcome = await self.acquire(last, "v1")
            self.assertIs(RefusalReason.TIMED_OUT, outcome.error.reason)

        self.run_region(scenario)

    def test_a_server_that_goes_on_at_another_entry_stays_uncertain(self):
        async def scenario():
            going_on = (await self.acquire(2)).ok
            sent_at = now()
            await asyncio.sleep(2 * SETTLING_S)
            await self.lose_a_run(1)
            await asyncio.sleep(2 * SETTLING_S)
            self.assertTrue((await self.acquire(0, "v1")).is_error())
            self.region.entries[2].placer.record_progress(going_on, sent_at)
            await asyncio.sleep(TELLING_S)
            for number in range(3):
                self.assertTrue((await self.acquire(number, "v1")).is_ok())

        self.run_region(scenario)

    def test_a_server_that_goes_on_stays_uncertain_without_a_long_run(self):
        async def scenario():
            placed = await self.lose_a_run(1)
            self.region.told_starts["i-1"] = placed.start
            self.region.entries[1].placer.ask_start(placed)
            await asyncio.sleep(TELLING_S)
            for number in range(3):
                self.assertTrue((await self.acquire(number, "v1")).is_ok())

        self.run_region(scenario)

    def test_a_server_that_tells_another_start_is_taken_for_the_same(self):
        async def scenario():
            placed = await self.lose_a_run(1)
            self.region.told_starts["i-1"] = str(BORN_AGAIN_MS)
            self.region.entries[1].placer.ask_start(placed)
            await asyncio.sleep(ASKED_S)
            for number in range(3):
                self.assertTrue((await self.acquire(number, "v1")).is_error())

        self.run_region(scenario)

    def test_an_answer_proves_the_start_for_a_run_from_after_the_question(self):
        async def scenario():
            placed = await self.lose_a_run(1)
            placer = self.region.entries[1].placer
            exchange, proven = placer._start_exchange, []
            exchange.on_proven = proven.append
            server = placer.availability.instance(placed)
            answers = [placed.start]

            async def ask(name, address):
                exchange.ask(server, "late")
                return answers.pop() if answers else None

            exchange._probe = mock.Mock(ask=ask)
            exchange.ask(server, "early")
            await asyncio.sleep(2 * ASKED_S)
            self.assertEqual(["early"], proven)

        self.run_region(scenario)

    def test_a_pause_that_a_restarted_server_asked_for_ends_with_its_heartbeat(self):
        async def scenario():
            placed = await self.lose_a_run(1)
            placer = self.region.entries[1].placer
            answer = NoticedAnswer(
                placer.availability.instance(placed),
                ServerNotice(retry_after="5", limit="2"),
                "a-2",
                now(),
                8.0,
            )
            placer.record_answer(placed, answer)
            await asyncio.sleep(TELLING_S)
            await self.announce(born_ms=BORN_AGAIN_MS)
            self.assertTrue((await self.acquire(1)).is_error())
            limits = [
                entry.placer.dump()["server_limits"] for entry in self.region.entries
            ]
            self.assertIn({"i-1": 2.0}, limits)

        self.run_region(scenario)

    def test_a_pause_from_before_the_loss_holds_for_a_restarted_server(self):
        async def scenario():
            placer = self.region.entries[1].placer
            placed = (await self.acquire(1)).ok
            answer = NoticedAnswer(
                placer.availability.instance(placed),
                ServerNotice(retry_after="5"),
                "a-2",
                now(),
                8.0,
            )
            placer.record_answer(placed, answer)
            await asyncio.sleep(2 * SETTLING_S)
            placer.release(placed, LOST, now())
            await self.announce(born_ms=BORN_AGAIN_MS)
            self.assertTrue((await self.acquire(1)).is_ok())

        self.run_region(scenario)

    def test_a_stream_that_begins_during_a_doubt_has_no_origin_for_good(self):
        async def scenario():
            going_on = (await self.acquire(2)).ok
            sent_at = now()
            await asyncio.sleep(2 * SETTLING_S)
            await self.lose_a_run(1)
            await asyncio.sleep(2 * SETTLING_S)
            placer = self.region.entries[0].placer
            begun, begun_at = (await self.acquire(0)).ok, now()
            self.assertIsNone(placer.certain_version(begun, "lens", begun_at))
            self.region.entries[2].placer.record_progress(going_on, sent_at)
            await asyncio.sleep(TELLING_S)
            self.assertEqual("v1", placer.certain_version(begun, "lens", begun_at))

        self.run_region(scenario)

    def test_a_stream_has_an_origin_though_only_its_coordinator_doubts_the_start(self):
        async def scenario():
            placer = self.region.entries[0].placer
            placed = replace((await self.acquire(0)).ok, is_start_certain=False)
            self.assertIsNone(placer.certain_version(placed, "lens", now()))

        self.run_region(scenario)
