"""Each check fails for a replay against an entry with the matching fault."""

from unittest import mock

import msgspec

from fuchsiacroft.model.trace import Arrival
from fuchsiacroft.replay import expectations, player
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


class ExpectationsTests(SocketTestCase):
    """The checks pass for a correct entry and fail for a faulty one."""

    async def violations(self, fault: EntryFault, expected: Expectations) -> list[str]:
        entry = FaultyEntry(fault)
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
            entries = [EntryAddress(address, "d")]
            caller = Player(entries, {"w": "k"}, {0: "high", 1: "low"}, 1)
            outcomes = await caller.play(trace)
        finally:
            await listener.stop()
        return expectations.violations(expected, outcomes, entry.log)

    async def test_a_correct_system_meets_all_expectations(self):
        expected = Expectations(goodput={"0": 0.7, "1": 1.0}, cut=0)
        self.assertEqual([], await self.violations(EntryFault.NONE, expected))

    async def test_each_check_detects_its_fault(self):
        expected = {
            EntryFault.LOSES_CONNECTION: "ended",
            EntryFault.TRUNCATES: "short",
            EntryFault.MIXES_RESPONSES: "mixed",
            EntryFault.RUNS_TWICE: "doubled",
            EntryFault.RUNS_RESENDS: "doubled",
            EntryFault.CLAIMS_NOT_RUN: "false_not_run",
            EntryFault.SHEDS_HIGHER_TIER: "inversions",
            EntryFault.ABORTS_STREAM: "cut",
        }
        for fault, name in expected.items():
            with self.subTest(fault=fault):
                messages = await self.violations(fault, Expectations(cut=0))
                self.assertTrue(
                    any(text.startswith(f"{name}:") for text in messages), messages
                )

    async def test_silence_until_the_timeout_counts_as_lost(self):
        with mock.patch.object(player, "TIMEOUT_GRACE_S", 0.1):
            messages = await self.violations(EntryFault.STAYS_SILENT, Expectations())
        self.assertTrue(any(text.startswith("lost:") for text in messages), messages)

    async def test_only_requests_that_did_not_run_count_as_shed(self):
        lower = Outcome("l", "m", 1, "d", True, End.COMPLETE, 0, 9, 9, first_token_s=1)
        for ran, shed in (("no", 1), ("maybe", 0), ("yes", 0)):
            with self.subTest(ran=ran):
                higher = Outcome(
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
                self.assertEqual(shed, expectations.count_inversions([lower, higher]))

    async def test_goodput_below_the_expected_share_is_reported(self):
        expected = Expectations(goodput={"0": 0.9})
        messages = await self.violations(EntryFault.CLAIMS_NOT_RUN, expected)
        self.assertTrue(any("goodput of rank 0" in text for text in messages), messages)
