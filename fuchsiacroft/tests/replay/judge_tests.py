"""Each judge fails a replay against an entry that is broken in its way."""

import msgspec

from fuchsiacroft.model.trace import Arrival
from fuchsiacroft.replay import stated
from fuchsiacroft.replay.outcome import End, Outcome
from fuchsiacroft.replay.player import Door, Player
from fuchsiacroft.replay.stated import Stated
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.broken_entry import TOKENS, Broken, BrokenEntry
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

    async def judged(self, broken: Broken, wanted: Stated) -> list[str]:
        entry = BrokenEntry(broken)
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
            doors = [Door(address, "d")]
            player = Player(doors, {"w": "k"}, {0: "high", 1: "low"}, 1)
            outcomes = await player.play(trace)
        finally:
            await listener.stop()
        return stated.judge(wanted, outcomes, entry.log)

    async def test_a_whole_system_is_as_stated(self):
        wanted = Stated(goodput={"0": 0.7, "1": 1.0}, cut=0)
        self.assertEqual([], await self.judged(Broken.NOTHING, wanted))

    async def test_every_judge_catches_the_build_that_is_broken_in_its_way(self):
        expected = {
            Broken.LOSES: "lost",
            Broken.CUTS_SHORT: "short",
            Broken.MIXES: "mixed",
            Broken.RUNS_TWICE: "doubled",
            Broken.RUNS_RESENDS: "doubled",
            Broken.LIES: "false_not_run",
            Broken.SHEDS_THE_HIGHER: "inversions",
            Broken.BREAKS_OFF: "cut",
        }
        for broken, name in expected.items():
            with self.subTest(broken=broken):
                wrong = await self.judged(broken, Stated(cut=0))
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
                self.assertEqual(shed, stated.count_inversions([low, high]))

    async def test_goodput_below_the_stated_share_is_caught(self):
        wanted = Stated(goodput={"0": 0.9})
        wrong = await self.judged(Broken.LIES, wanted)
        self.assertTrue(any("goodput of rank 0" in w for w in wrong), wrong)
