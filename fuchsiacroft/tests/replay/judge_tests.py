"""Each judge fails a replay against an entry that is broken in its way."""

import msgspec

from fuchsiacroft.model.trace import Arrival
from fuchsiacroft.replay import expectations
from fuchsiacroft.replay.expectations import Expectations
from fuchsiacroft.replay.outcome import End, Outcome
from fuchsiacroft.replay.player import EntryAddress, Player
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.faulty_entry import TOKENS, EntryFault, FaultyEntry
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.utils.http import Listener


def arrival(number: int, rank: int, at_s: float, **more) -> Arrival:
    return Arrival(
        at_s=at_s,
        request_id=f"t{number}",
        kind="test",
        service="model",
        rank=rank,
        workspace="w",
        share=1.0,
        timeout_s=5.0,
        prompt_tokens=10,
        output_tokens=TOKENS,
        **more,
    )


class JudgeTests(SocketTestCase):
    """A judge says nothing of a whole system and catches a broken one."""

    async def judged(self, broken: EntryFault, wanted: Expectations) -> list[str]:
        entry = FaultyEntry(broken)
        address = free_address()
        listener = Listener(entry.app(), address)
        await listener.start()
        trace = [arrival(1, 1, 0.0), arrival(2, 0, 0.8), arrival(3, 0, 0.8)]
        trace.append(arrival(4, 0, 0.8, idempotent=False))
        resend = msgspec.structs.replace(
            trace[-1], request_id="t4-again", resend_of="t4", at_s=0.9
        )
        trace.append(resend)
        try:
            doors = [EntryAddress(address, "d")]
            player = Player(doors, {"w": "k"}, {0: "high", 1: "low"}, 1)
            outcomes = await player.play(trace)
        finally:
            await listener.stop()
        return expectations.violations(wanted, outcomes, entry.log)

    async def test_a_whole_system_is_as_stated(self):
        wanted = Expectations(goodput={"0": 0.7, "1": 1.0}, cut=0)
        self.assertEqual([], await self.judged(EntryFault.NONE, wanted))

    async def test_every_judge_catches_the_build_that_is_broken_in_its_way(self):
        expected = {
            EntryFault.LOSES_CONNECTION: "lost",
            EntryFault.TRUNCATES: "short",
            EntryFault.MIXES_RESPONSES: "mixed",
            EntryFault.RUNS_TWICE: "doubled",
            EntryFault.RUNS_RESENDS: "doubled",
            EntryFault.CLAIMS_NOT_RUN: "false_not_run",
            EntryFault.SHEDS_HIGHER_TIER: "inversions",
            EntryFault.ABORTS_STREAM: "cut",
        }
        for broken, name in expected.items():
            with self.subTest(broken=broken):
                wrong = await self.judged(broken, Expectations(cut=0))
                self.assertTrue(any(w.startswith(f"{name}:") for w in wrong), wrong)

    async def test_only_what_did_not_run_was_shed(self):
        low = Outcome("l", "m", 1, "d", True, End.WHOLE, 0, 9, 9, first_token_s=1)
        for ran, shed in (("no", 1), ("maybe", 0), ("yes", 0)):
            with self.subTest(ran=ran):
                high = Outcome(
                    "h",
                    "m",
                    0,
                    "d",
                    True,
                    End.REFUSED,
                    2,
                    5,
                    3,
                    "",
                    504,
                    ran,
                    "timed_out",
                )
                self.assertEqual(shed, expectations.count_inversions([low, high]))

    async def test_goodput_below_the_stated_share_is_caught(self):
        wanted = Expectations(goodput={"0": 0.9})
        wrong = await self.judged(EntryFault.CLAIMS_NOT_RUN, wanted)
        self.assertTrue(any("goodput of rank 0" in w for w in wrong), wrong)
