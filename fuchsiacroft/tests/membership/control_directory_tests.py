"""Tests of which control members an entry knows, and when it forgets one."""

import asyncio
import random

from fuchsiacroft.membership.control_directory import (
    REPORT_TTL_S,
    RETENTION_S,
    ControlDirectory,
    ReportedGroup,
)
from fuchsiacroft.membership.roster import HEARTBEAT_TIMEOUT_S
from fuchsiacroft.tests.base import PausedTestCase, TestCase
from fuchsiacroft.tests.fakes.memory_region import MemoryRegion

SEEDS = frozenset({"a", "b", "c"})
DOWN = ("x", "y", "z")


def reported(index: int, addresses: str, group: str = "g") -> ReportedGroup:
    """Return a report of members with names of one letter."""
    return ReportedGroup(group, index, frozenset(addresses))


class ControlDirectoryTests(TestCase):
    """An address is forgotten only if a current report doesn't name it."""

    def setUp(self):
        super().setUp()
        self.directory = ControlDirectory(SEEDS)

    def assert_known(self, addresses: str):
        self.assertEqual(tuple(sorted(addresses)), self.directory.addresses())

    def test_changed_seeds_make_it_forget_members_that_reply(self):
        self.directory.record_reply("a", reported(5, "abc"), 1.0)
        self.directory.set_seeds(DOWN, 2.0)
        self.directory.record_reply("a", reported(5, "abc"), 100.0)
        self.directory.remove_expired(100.0)
        self.assert_known("abcxyz")
        self.assertEqual(SEEDS, self.directory.members())

    def test_seeds_that_were_never_reached_are_forgotten_before_any_report(self):
        self.directory.set_seeds(DOWN, 1.0)
        self.directory.set_seeds("x", 2.0)
        self.directory.remove_expired(1000.0)
        self.assert_known("abcxyz")

    def test_a_cut_makes_it_forget_addresses(self):
        self.directory.record_reply("a", reported(5, "abc"), 1.0)
        self.directory.set_seeds(DOWN, 1.0)
        self.directory.set_seeds((), 1.0)
        self.directory.remove_expired(1.0 + RETENTION_S + REPORT_TTL_S + 0.1)
        self.assert_known("abcxyz")

    def test_an_older_report_makes_it_forget_a_newer_member(self):
        self.directory.record_reply("a", reported(9, "abd"), 1.0)
        self.directory.set_seeds((), 1.0)
        for second in range(2, 100):
            self.directory.record_reply("b", reported(5, "abc"), float(second))
            self.directory.remove_expired(float(second))
        self.assert_known("abcd")
        self.assertEqual(frozenset("abd"), self.directory.members())

    def test_a_member_without_a_group_makes_it_forget_the_group(self):
        self.directory.record_reply("a", reported(9, "abc"), 1.0)
        self.directory.set_seeds("n", 1.0)
        for second in range(2, 100):
            self.directory.record_reply("n", reported(0, "nx", ""), float(second))
            self.directory.remove_expired(float(second))
        self.assert_known("abcnx")
        self.assertEqual(SEEDS, self.directory.members())

    def test_a_replaced_member_is_never_forgotten(self):
        self.directory.record_reply("a", reported(5, "abc"), 1.0)
        self.directory.set_seeds("abd", 1.0)
        for at in (2.0, 1.0 + RETENTION_S):
            self.directory.record_reply("a", reported(9, "abd"), at)
            self.directory.remove_expired(at)
        self.assert_known("abcd")
        self.directory.record_reply("a", reported(9, "abd"), 3.0 + RETENTION_S)
        self.directory.remove_expired(3.0 + RETENTION_S)
        self.assert_known("abd")

    def test_a_replaced_member_that_replies_is_forgotten(self):
        self.directory.record_reply("c", reported(5, "abc"), 1.0)
        self.directory.set_seeds("a", 1.0)
        for second in range(2, 100):
            self.directory.record_reply("a", reported(9, "abd"), float(second))
            self.directory.record_reply("c", reported(5, "c"), float(second))
            self.directory.remove_expired(float(second))
        self.assert_known("abcd")

    def test_a_group_that_was_formed_anew_is_never_believed(self):
        self.directory.record_reply("a", reported(90, "abc"), 1.0)
        self.directory.record_reply("a", reported(1, "ade", "new"), 2.0)
        self.assertEqual(SEEDS, self.directory.members())
        later = 2.0 + RETENTION_S
        self.directory.record_reply("a", reported(1, "ade", "new"), later)
        self.assertEqual(frozenset("ade"), self.directory.members())


class ChangedSeedsTests(PausedTestCase):
    """The seeds of entries change while control members are reached or cut off."""

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

    def test_entries_forget_members_when_their_seeds_change_to_ones_that_are_down(self):
        async def scenario(region):
            for entry in region.entries:
                entry.roster.set_seeds(("10.9.0.1:7600", "10.9.0.2:7600"))
            await asyncio.sleep(60.0)
            for entry in region.entries:
                addresses = set(entry.roster.control_addresses)
                self.assertLessEqual(set(region.controls), addresses)
                self.assertTrue(entry.roster.reaches_most_controls)
                self.assertIsNone(entry.roster.not_ready_reason())

        self.run_scenario(scenario)

    def test_seeds_that_are_down_count_as_members_that_are_lost(self):
        async def scenario(region):
            region.isolate(region.controls[0])
            down = tuple(f"10.9.0.{number}:7600" for number in range(3))
            region.entries[0].roster.set_seeds(down)
            await asyncio.sleep(5.0)
            self.assertTrue(region.entries[0].roster.reaches_most_controls)
            region.isolate(region.controls[1])
            await asyncio.sleep(5.0)
            self.assertFalse(region.entries[0].roster.reaches_most_controls)

        self.run_scenario(scenario)

    def test_some_order_of_changes_reloads_and_cuts_makes_an_entry_forget(self):
        async def scenario(region):
            rng = random.Random(4)
            roster = region.entries[0].roster
            hosts = [*region.controls, *(f"10.9.0.{n}:7600" for n in range(4))]
            for _ in range(60):
                seeds = tuple(rng.sample(hosts, rng.randrange(4)))
                match rng.randrange(4):
                    case 0:
                        region.isolate(rng.choice(region.controls))
                    case 1:
                        region.isolate(region.entries[0].address)
                    case 2:
                        region.network.heal()
                    case 3:
                        roster.set_seeds(seeds)
                await asyncio.sleep(rng.choice((0.1, 1.0, 3.0, 30.0)))
                known = set(roster.control_addresses)
                self.assertLessEqual(set(region.controls), known)
            region.network.heal()
            await asyncio.sleep(2 * HEARTBEAT_TIMEOUT_S)
            self.assertTrue(roster.reaches_most_controls)

        self.run_scenario(scenario)

    def test_entries_stay_with_members_that_were_replaced(self):
        async def scenario(region):
            replaced, *kept = region.controls
            region.isolate(replaced)
            for member in region.members[1:]:
                member.members.reported = ReportedGroup("region", 7, frozenset(kept))
            for entry in region.entries:
                entry.roster.set_seeds(tuple(kept))
            await asyncio.sleep(RETENTION_S + 2.0)
            for entry in region.entries:
                self.assertEqual(tuple(kept), entry.roster.control_addresses)

        self.run_scenario(scenario)
