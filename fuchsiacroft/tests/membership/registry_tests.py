"""Tests of backend servers that register, leave and time out."""

import asyncio

import msgspec
from loguru import logger

from fuchsiacroft.membership.registry import (
    ENTRY_TIMEOUT_S,
    MAX_MISSED_HEARTBEATS,
    SWEEP_PERIOD_S,
)
from fuchsiacroft.membership.registry_wire import EntryHeartbeat, ServerState
from fuchsiacroft.membership.roster import HEARTBEAT_PERIOD_S
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.memory_region import HEARTBEAT_S, MemoryRegion
from fuchsiacroft.tests.membership.server_table_tests import record
from fuchsiacroft.utils.clock import wall_time


def leaving_nodes(roster) -> list[str]:
    """Return the nodes that a roster lists as leaving."""
    return [entry.node for entry in roster.entries() if entry.leaving]


class RegistryTests(PausedTestCase):
    """Every entry applies the reports that any control member receives."""

    def run_scenario(self, scenario) -> None:
        async def run() -> None:
            region = MemoryRegion()
            await region.start()
            await asyncio.sleep(1.5)
            try:
                await scenario(region)
            finally:
                await region.stop()

        self.run_paused(run())

    def test_a_server_is_known_everywhere_soon(self):
        async def scenario(region):
            await region.members[0].registry.report(record())
            await asyncio.sleep(0.1)
            for entry in region.entries:
                self.assertEqual(["i-1"], [r.name for r in entry.roster.servers()])

        self.run_scenario(scenario)

    def test_a_report_that_no_message_can_carry_keeps_the_others_from_being_sent(self):
        async def scenario(region):
            registry = region.members[0].registry
            for name, sequence in (("i-1", 1), ("i-2", 2**64), ("i-1", 2)):
                bad = record(name, sequence=sequence, address=f"10.0.0.{name[2]}:80")
                outcome = await registry.report(bad)
                self.assertEqual(name == "i-1", outcome.is_ok())
            await asyncio.sleep(2 * SWEEP_PERIOD_S)
            for entry in region.entries:
                self.assertEqual(["i-1"], [r.name for r in entry.roster.servers()])

        self.run_scenario(scenario)

    def test_a_leave_is_confirmed_only_once_every_entry_has_applied_it(self):
        async def scenario(region):
            registry = region.members[1].registry
            await registry.report(record())
            await asyncio.sleep(0.1)
            outcome = await registry.report(
                record(sequence=2, life=ServerState.LEAVING)
            )
            self.assertTrue(outcome.is_ok())
            for entry in region.entries:
                self.assertEqual((), entry.roster.servers())

        self.run_scenario(scenario)

    def test_a_leave_is_not_confirmed_while_an_entry_does_not_answer(self):
        async def scenario(region):
            registry = region.members[1].registry
            await registry.report(record())
            await asyncio.sleep(0.1)
            region.isolate(region.entries[2].address)
            leaving = record(sequence=2, life=ServerState.LEAVING)
            self.assertTrue((await registry.report(leaving)).is_error())
            # Once the entry has timed out, the next report is confirmed.
            await asyncio.sleep(2.0)
            again = record(sequence=3, life=ServerState.LEAVING)
            self.assertTrue((await registry.report(again)).is_ok())

        self.run_scenario(scenario)

    def test_a_member_that_is_cut_off_acknowledges_a_leave_that_no_entry_knows(self):
        async def scenario(region):
            member = region.members[1]
            await member.registry.report(record())
            await asyncio.sleep(0.1)
            region.isolate(member.address)
            await asyncio.sleep(ENTRY_TIMEOUT_S + 2 * SWEEP_PERIOD_S)
            leaving = record(sequence=2, life=ServerState.LEAVING)
            self.assertTrue((await member.registry.report(leaving)).is_error())

        self.run_scenario(scenario)

    def test_a_leave_waits_for_a_member_that_is_lost(self):
        async def scenario(region):
            registry = region.members[1].registry
            await registry.report(record())
            await asyncio.sleep(0.1)
            region.isolate(region.members[2].address)
            leaving = record(sequence=2, life=ServerState.LEAVING)
            began_at = asyncio.get_running_loop().time()
            self.assertTrue((await registry.report(leaving)).is_ok())
            self.assertLess(asyncio.get_running_loop().time() - began_at, 0.2)

        self.run_scenario(scenario)

    def test_an_entry_that_stops_delays_no_leave(self):
        async def scenario(region):
            registry = region.members[1].registry
            await registry.report(record())
            await asyncio.sleep(0.1)
            await region.entries[2].kernel.stop()
            began_at = asyncio.get_running_loop().time()
            leaving = record(sequence=2, life=ServerState.LEAVING)
            self.assertTrue((await registry.report(leaving)).is_ok())
            taken_s = asyncio.get_running_loop().time() - began_at
            self.assertLess(taken_s, 0.1)

        self.run_scenario(scenario)

    def test_a_report_is_answered_within_a_second_if_an_entry_does_not_reply(self):
        async def scenario(region):
            registry = region.members[1].registry
            await registry.report(record())
            await asyncio.sleep(0.1)
            region.isolate(region.entries[2].address)
            began_at = asyncio.get_running_loop().time()
            await registry.report(record(sequence=2, life=ServerState.LEAVING))
            taken_s = asyncio.get_running_loop().time() - began_at
            self.assertLess(taken_s, 0.9)

        self.run_scenario(scenario)

    def test_an_entry_that_was_isolated_learns_of_the_leave(self):
        async def scenario(region):
            registry = region.members[0].registry
            entry = region.entries[2]
            await registry.report(record())
            await asyncio.sleep(0.1)
            region.isolate(entry.address)
            await registry.report(record(sequence=2, life=ServerState.LEAVING))
            self.assertEqual(1, len(entry.roster.servers()))
            region.network.heal()
            await asyncio.sleep(1.5)
            self.assertEqual((), entry.roster.servers())

        self.run_scenario(scenario)

    def test_a_control_member_that_has_just_started_confirms_no_leave(self):
        async def scenario(region):
            del region
            new_region = MemoryRegion()
            await new_region.start()
            leaving = record(sequence=2, life=ServerState.LEAVING)
            outcome = await new_region.members[0].registry.report(leaving)
            self.assertTrue(outcome.is_error())
            await new_region.stop()

        self.run_scenario(scenario)

    def test_a_server_without_heartbeats_is_removed(self):
        async def scenario(region):
            await region.members[0].registry.report(record())
            await asyncio.sleep(0.1)
            await asyncio.sleep(8 * HEARTBEAT_S)
            for entry in region.entries:
                self.assertEqual((), entry.roster.servers())

        self.run_scenario(scenario)

    def test_a_server_with_heartbeats_is_kept(self):
        async def scenario(region):
            for sequence in range(1, 15):
                registry = region.members[sequence % 3].registry
                await registry.report(record(sequence=sequence))
                await asyncio.sleep(HEARTBEAT_S)
            for entry in region.entries:
                self.assertEqual(1, len(entry.roster.servers()))

        self.run_scenario(scenario)

    def test_servers_are_retained_while_no_control_member_replies(self):
        async def scenario(region):
            await region.members[0].registry.report(record())
            await asyncio.sleep(0.5)
            for address in region.controls:
                region.isolate(address)
            await asyncio.sleep(20.0)
            for entry in region.entries:
                self.assertEqual(1, len(entry.roster.servers()))

        self.run_scenario(scenario)

    def test_entries_are_listed_as_last_reported(self):
        async def scenario(region):
            leaver, other = region.entries[0].roster, region.entries[1].roster
            self.assertEqual(len(region.entries), len(other.entries()))
            leaver.start_draining()
            self.assertEqual([leaver.local_entry.node], leaving_nodes(leaver))
            self.assertEqual([], leaving_nodes(other))
            await asyncio.sleep(1.0)
            self.assertEqual([leaver.local_entry.node], leaving_nodes(other))
            await region.entries[0].kernel.stop()
            await asyncio.sleep(1.0)
            self.assertNotIn(leaver.local_entry.node, [e.node for e in other.entries()])

        self.run_scenario(scenario)

    def test_entries_are_unknown_while_all_control_members_start_again(self):
        async def scenario(region):
            nodes = {entry.node for entry in region.entries}
            for entry in region.entries[:2]:
                await region.kill(entry)
                await asyncio.sleep(HEARTBEAT_PERIOD_S / 3)
                await region.start_again(entry)
            await asyncio.sleep(2 * ENTRY_TIMEOUT_S)
            await region.restart_members()
            for _ in range(40):
                await asyncio.sleep(0.05)
                for entry in region.entries:
                    listed = {found.node for found in entry.roster.entries()}
                    self.assertEqual(nodes, listed)
            await region.kill(region.entries[2])
            await asyncio.sleep(ENTRY_TIMEOUT_S + 4 * SWEEP_PERIOD_S)
            self.assertEqual(2, len(region.entries[0].roster.entries()))

        self.run_scenario(scenario)

    def test_a_change_is_transferred_to_an_entry_once(self):
        """Guards against transfers that grow with entries times members.

        Every member learns of a new backend server and tells the entries' digests.
        """

        async def scenario(region):
            sent = []
            for member in region.members:
                self.count_tables(member, sent)
            await region.members[0].registry.report(record())
            await asyncio.sleep(2.0)
            for entry in region.entries:
                self.assertEqual(1, len(entry.roster.servers()))
            self.assertLessEqual(len(sent), len(region.entries))
            await region.entries[0].kernel.stop()
            await asyncio.sleep(2.0)
            self.assertLessEqual(len(sent), 2 * len(region.entries))

        self.run_scenario(scenario)

    def count_tables(self, member, sent: list) -> None:
        """Append to `sent` each reply of a member that holds a table."""
        answer = member.registry._on_heartbeat

        def on_heartbeat(sender, msg):
            reply = answer(sender, msg)
            if reply.records is not None or reply.entries is not None:
                sent.append(reply)
            return reply

        member.bus.register_handler(EntryHeartbeat, on_heartbeat)

    def test_a_heartbeat_that_arrives_after_the_stop_changes_nothing(self):
        """Guards against an entry that is listed although it has stopped."""

        async def scenario(region):
            registry = region.members[0].registry
            entry = region.entries[0].roster.local_entry
            await region.entries[0].kernel.stop()
            registry._on_heartbeat(entry.node, EntryHeartbeat(entry, 0, 0))
            self.assertNotIn(entry.node, registry.dump()["entries"])
            again = msgspec.structs.replace(entry, started_ms=entry.started_ms + 1)
            registry._on_heartbeat(entry.node, EntryHeartbeat(again, 0, 0))
            self.assertIn(entry.node, registry.dump()["entries"])

        self.run_scenario(scenario)

    def test_entries_are_retained_for_a_time_while_no_control_member_replies(self):
        async def scenario(region):
            roster = region.entries[1].roster
            for member in region.members:
                region.isolate(member.address)
            await asyncio.sleep(10.0)
            self.assertEqual(len(region.entries), len(roster.entries()))
            await asyncio.sleep(10.0)
            self.assertEqual(
                [roster.local_entry.node], [e.node for e in roster.entries()]
            )

        self.run_scenario(scenario)

    def test_a_late_leave_of_an_earlier_life_is_ignored(self):
        async def scenario(region):
            registry = region.members[0].registry
            await registry.report(record(born_ms=2_000))
            await registry.leave("i-1", born_ms=1_000)
            await asyncio.sleep(0.1)
            self.assertEqual(1, len(region.entries[0].roster.servers()))
            await registry.leave("i-1", born_ms=2_000)
            self.assertEqual((), region.entries[0].roster.servers())

        self.run_scenario(scenario)

    async def check_late_heartbeat(self, region, number: int = 1) -> None:
        """Check that a heartbeat from before the leave brings nothing back."""
        left_ms = round(wall_time() * 1000)
        late = record(sequence=3, born_ms=left_ms - 60_000)
        self.assertTrue((await region.members[number].registry.report(late)).is_ok())
        await asyncio.sleep(2.0)
        for member in region.members:
            self.assertNotIn("serving", str(member.registry.dump()["servers"]))
        for entry in region.entries:
            self.assertEqual((), entry.roster.servers())
        again = record(born_ms=left_ms + 60_000)
        await region.members[number].registry.report(again)
        await asyncio.sleep(0.5)
        for entry in region.entries:
            self.assertEqual((again,), entry.roster.servers())

    async def register_and_forget(self, region) -> None:
        born_ms = round(wall_time() * 1000) - 60_000
        await region.members[0].registry.report(record(born_ms=born_ms))
        await asyncio.sleep(8 * HEARTBEAT_S)
        self.assertEqual((), region.entries[0].roster.servers())

    def test_a_late_heartbeat_brings_a_forgotten_server_back_that_has_left(self):
        async def scenario(region):
            await self.register_and_forget(region)
            outcome = await region.members[0].registry.leave("i-1", None)
            self.assertTrue(outcome.is_ok())
            await self.check_late_heartbeat(region)

        self.run_scenario(scenario)

    def test_a_late_heartbeat_brings_back_a_server_that_left_in_its_own_words(self):
        async def scenario(region):
            await self.register_and_forget(region)
            born_ms = round(wall_time() * 1000) - 50_000
            outcome = await region.members[0].registry.leave("i-1", born_ms)
            self.assertTrue(outcome.is_ok())
            await self.check_late_heartbeat(region)

        self.run_scenario(scenario)

    def test_a_leave_is_forgotten_with_all_control_members(self):
        async def scenario(region):
            await self.register_and_forget(region)
            await region.members[0].registry.leave("i-1", None)
            await region.restart_members()
            await asyncio.sleep(2.0)
            await self.check_late_heartbeat(region)

        self.run_scenario(scenario)

    def test_a_leave_at_a_member_that_was_cut_off_is_unknown_to_the_others(self):
        async def scenario(region):
            await self.register_and_forget(region)
            await region.members[0].registry.leave("i-1", None)
            await self.check_late_heartbeat(region, 2)

        self.run_scenario(scenario)

    def test_the_leave_of_a_server_that_was_never_known_hides_others(self):
        async def scenario(region):
            for name in ("i-7", "i-8", "x" * 200, "a b"):
                outcome = await region.members[0].registry.leave(name, None)
                self.assertTrue(outcome.is_ok())
            self.assertFalse(region.members[0].registry.lacks_start(record(born_ms=0)))
            await region.members[0].registry.report(record())
            await asyncio.sleep(0.1)
            for entry in region.entries:
                self.assertEqual(["i-1"], [r.name for r in entry.roster.servers()])

        self.run_scenario(scenario)


class StoodStillTests(PausedTestCase):
    """A control member that stood still has not read the heartbeats of that time."""

    def test_a_member_that_stood_still_forgets_entries_and_servers(self):
        lines: list[str] = []
        sink = logger.add(lines.append, level="INFO", format="{message}")
        self.addCleanup(logger.remove, sink)

        async def scenario():
            region = MemoryRegion()
            await region.start()
            await asyncio.sleep(1.5)
            await region.members[0].registry.report(record())
            await asyncio.sleep(0.1)
            lines.clear()
            asyncio.get_running_loop().stand_still(2 * MAX_MISSED_HEARTBEATS)
            await asyncio.sleep(SWEEP_PERIOD_S)
            await region.stop()

        self.run_paused(scenario())
        silent = [line for line in lines if "_silent" in line or "_forgotten" in line]
        self.assertEqual([], silent)

    def test_a_silent_server_is_kept_after_a_member_stood_still(self):
        async def scenario():
            region = MemoryRegion()
            await region.start()
            await region.members[0].registry.report(record())
            asyncio.get_running_loop().stand_still(2 * MAX_MISSED_HEARTBEATS)
            await asyncio.sleep(MAX_MISSED_HEARTBEATS * HEARTBEAT_S + 1.0)
            self.assertEqual({}, region.members[0].registry.dump()["servers"])
            await region.stop()

        self.run_paused(scenario())
