"""Tests of sharing evidence between entries."""

import asyncio

from fuchsiacroft.kernel import Kernel
from fuchsiacroft.quarantine import service
from fuchsiacroft.quarantine.evidence import CONVICTION_S, Treatment
from fuchsiacroft.quarantine.service import COMPARE_PERIOD_S, Quarantine
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.bus import MemoryNetwork

ADDRESSES = tuple(f"10.0.0.{n}:7000" for n in range(5))
IN_TOUCH_S = 3.0
"""An entry that was unreachable must know all evidence this long after its return."""


class QuarantineTests(PausedTestCase):
    """Five entries on a network in memory."""

    def play(self, scenario) -> None:
        async def run() -> None:
            self.network = MemoryNetwork()
            self.kernels: dict[str, Kernel] = {}
            for address in ADDRESSES[:-1]:
                await self.start_entry(address)
            try:
                await scenario()
            finally:
                for kernel in self.kernels.values():
                    await kernel.stop()

        self.run_paused(run())

    async def start_entry(self, address: str) -> None:
        kernel = Kernel()
        peers = tuple(other for other in ADDRESSES if other != address)
        kernel.add(self.network.bus(address, address))
        kernel.add(service.create(lambda: peers))
        self.kernels[address] = kernel
        await kernel.start()

    def quarantine(self, address: str) -> Quarantine:
        return self.kernels[address].get("quarantine", Quarantine)

    def crash_at_two_entries(self) -> None:
        for number, address in enumerate(ADDRESSES[:2]):
            content = {"bad", f"own-{number}"}
            self.quarantine(address).record_crash(f"i-{number}/1", content)

    def treatments(self) -> set[Treatment]:
        return {
            self.quarantine(address).treatment({"bad", "new"})
            for address in self.kernels
        }

    def test_crashes_at_two_entries_convict_at_every_entry(self):
        async def scenario():
            self.crash_at_two_entries()
            await asyncio.sleep(0.05)
            self.assertEqual({Treatment.REFUSED}, self.treatments())

        self.play(scenario)

    def test_an_entry_that_has_just_started_knows_earlier_convictions(self):
        async def scenario():
            self.crash_at_two_entries()
            await asyncio.sleep(5.0)
            await self.start_entry(ADDRESSES[-1])
            await asyncio.sleep(COMPARE_PERIOD_S)
            self.assertEqual({Treatment.REFUSED}, self.treatments())

        self.play(scenario)

    def test_an_entry_that_was_cut_off_learns_of_crashes_when_it_returns(self):
        async def scenario():
            await self.start_entry(ADDRESSES[-1])
            cut = ADDRESSES[3]
            for other in {*ADDRESSES} - {cut}:
                self.network.partition(cut, other)
            self.crash_at_two_entries()
            await asyncio.sleep(2.0)
            treatment = self.quarantine(cut).treatment({"bad"})
            self.assertIs(Treatment.UNRESTRICTED, treatment)
            self.network.heal()
            await asyncio.sleep(IN_TOUCH_S)
            self.assertEqual({Treatment.REFUSED}, self.treatments())

        self.play(scenario)

    def test_entries_do_not_try_convicted_content_all_at_once(self):
        async def scenario():
            self.crash_at_two_entries()
            await asyncio.sleep(CONVICTION_S)
            self.assertEqual({Treatment.REFUSED}, self.treatments())
            while self.treatments() == {Treatment.REFUSED}:
                await asyncio.sleep(0.1)
            self.assertIn(Treatment.REFUSED, self.treatments())
            self.first_trying().record_crash("i-9/1", {"bad", "own-9"})
            await asyncio.sleep(0.05)
            self.assertEqual({Treatment.REFUSED}, self.treatments())

        self.play(scenario)

    def first_trying(self) -> Quarantine:
        quarantines = [self.quarantine(address) for address in self.kernels]
        return next(
            quarantine
            for quarantine in quarantines
            if quarantine.treatment({"bad", "new"}) is Treatment.ISOLATED
        )

    def test_an_answer_at_one_entry_clears_content_at_every_entry(self):
        async def scenario():
            self.crash_at_two_entries()
            await asyncio.sleep(0.05)
            self.quarantine(ADDRESSES[2]).record_answer({"bad"})
            await asyncio.sleep(0.05)
            self.assertEqual({Treatment.UNRESTRICTED}, self.treatments())

        self.play(scenario)

    def test_an_operator_lifts_a_conviction_for_every_entry(self):
        async def scenario():
            self.crash_at_two_entries()
            await asyncio.sleep(0.05)
            self.assertTrue(self.quarantine(ADDRESSES[3]).lift("bad"))
            await asyncio.sleep(0.05)
            self.assertEqual({Treatment.UNRESTRICTED}, self.treatments())
            self.assertFalse(self.quarantine(ADDRESSES[0]).lift("bad"))

        self.play(scenario)

    def test_evidence_reaches_every_entry_although_messages_are_lost(self):
        async def scenario():
            await self.start_entry(ADDRESSES[-1])
            self.network.loss = 0.4
            self.crash_at_two_entries()
            await asyncio.sleep(30.0)
            self.assertEqual({Treatment.REFUSED}, self.treatments())

        self.play(scenario)
