"""Tests of the membership of a domain under failures."""

import asyncio
import itertools

from fuchsiacroft.membership.wire import Status
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.membership_domain import MembershipDomain, address_of

CONVERGENCE_S = 10.0
FAILURE_DETECTION_S = 25.0
MAX_REFUTED = 20


class ChangeCounter:
    """Counts the changes of the live entries as seen by any entry."""

    def __init__(self, domain):
        self.changes = 0
        for member in domain.members.values():
            member.on_change(self._count)

    def _count(self, alive):
        self.changes += 1


def counter_total(domain, name, numbers):
    """Return the sum of a counter over some entries."""
    dumps = [domain.members[number].dump() for number in numbers]
    return sum(dump["counts"].get(name, 0) for dump in dumps)


class MembershipTests(PausedTestCase):
    """Entries join through seeds, and only lost ones are removed."""

    def run_scenario(self, scenario, seed=0):
        async def run():
            domain = MembershipDomain(seed)
            try:
                await scenario(domain)
            finally:
                await domain.stop()

        self.run_paused(run())

    def test_entries_join_through_seeds(self):
        async def scenario(domain):
            await domain.start(*range(9))
            await asyncio.sleep(CONVERGENCE_S)
            self.assertTrue(domain.agree_on(*range(9)))

        self.run_scenario(scenario)

    def test_a_dead_entry_is_removed_everywhere(self):
        async def scenario(domain):
            await domain.start(*range(6))
            await asyncio.sleep(CONVERGENCE_S)
            await domain.kill(4)
            await asyncio.sleep(FAILURE_DETECTION_S)
            self.assertTrue(domain.agree_on(0, 1, 2, 3, 5))

        self.run_scenario(scenario)

    def test_the_last_entry_of_two_sees_the_other_die(self):
        async def scenario(domain):
            await domain.start(0, 1)
            await asyncio.sleep(CONVERGENCE_S)
            await domain.kill(0)
            await asyncio.sleep(CONVERGENCE_S)
            self.assertEqual({1}, domain.alive_at(1))

        self.run_scenario(scenario)

    def test_a_leave_is_known_everywhere_and_is_not_a_failure(self):
        async def scenario(domain):
            await domain.start(*range(5))
            await asyncio.sleep(CONVERGENCE_S)
            await domain.members[3].leave()
            self.assertTrue(domain.agree_on(0, 1, 2, 4))
            for number in (0, 1, 2, 4):
                (departed,) = domain.members[number].departed()
                self.assertIs(Status.LEFT, departed.update.status)
            await asyncio.sleep(60)
            self.assertTrue(domain.agree_on(0, 1, 2, 4))

        self.run_scenario(scenario)

    def test_a_whole_domain_restarts_at_once(self):
        async def scenario(domain):
            await domain.start(*range(6))
            await asyncio.sleep(CONVERGENCE_S)
            await domain.stop()
            await domain.start(*range(6))
            await asyncio.sleep(CONVERGENCE_S)
            self.assertTrue(domain.agree_on(*range(6)))

        self.run_scenario(scenario)

    def test_every_entry_but_one_restarts_at_once(self):
        async def scenario(domain):
            await domain.start(*range(6))
            await asyncio.sleep(CONVERGENCE_S)
            for number in range(5):
                await domain.kill(number)
            await domain.start(*range(5))
            await asyncio.sleep(CONVERGENCE_S)
            self.assertTrue(domain.agree_on(*range(6)))
            boots = {(entry.node, entry.boot_id) for entry in domain.members[5].alive()}
            for member in domain.members.values():
                self.assertIn((member.local_entry.node, member.boot_id), boots)

        self.run_scenario(scenario)

    def test_a_partition_of_a_domain_heals(self):
        async def scenario(domain):
            await domain.start(*range(6))
            await asyncio.sleep(CONVERGENCE_S)
            for left, right in itertools.product(range(3), range(3, 6)):
                domain.network.partition(address_of(left), address_of(right))
            await asyncio.sleep(60)
            self.assertTrue(domain.agree_on(0, 1, 2))
            self.assertTrue(domain.agree_on(3, 4, 5))
            domain.network.heal()
            await asyncio.sleep(30)
            self.assertTrue(domain.agree_on(*range(6)))

        self.run_scenario(scenario)

    def test_a_blocked_link_between_two_entries_removes_none(self):
        async def scenario(domain):
            await domain.start(*range(5))
            await asyncio.sleep(CONVERGENCE_S)
            counter = ChangeCounter(domain)
            domain.network.partition(address_of(1), address_of(3))
            await asyncio.sleep(120)
            self.assertEqual(0, counter.changes)
            self.assertEqual(0, counter_total(domain, "suspected", range(5)))

        self.run_scenario(scenario)

    def test_one_way_links_remove_none(self):
        async def scenario(domain):
            await domain.start(*range(5))
            await asyncio.sleep(CONVERGENCE_S)
            counter = ChangeCounter(domain)
            domain.network.cut_links.add((address_of(1), address_of(3)))
            domain.network.cut_links.add((address_of(2), address_of(4)))
            await asyncio.sleep(120)
            self.assertEqual(0, counter.changes)

        self.run_scenario(scenario)

    def test_an_entry_that_cannot_receive_removes_no_other(self):
        async def scenario(domain):
            await domain.start(*range(6))
            await asyncio.sleep(CONVERGENCE_S)
            for number in range(1, 6):
                domain.network.cut_links.add((address_of(number), address_of(0)))
            for _ in range(60):
                await asyncio.sleep(1)
                for number in range(1, 6):
                    self.assertLessEqual({1, 2, 3, 4, 5}, domain.alive_at(number))
            self.assertLess(counter_total(domain, "refuted", range(1, 6)), MAX_REFUTED)

        self.run_scenario(scenario)

    def test_an_entry_back_from_isolation_removes_no_other(self):
        async def scenario(domain):
            await domain.start(*range(6))
            await asyncio.sleep(CONVERGENCE_S)
            for number in range(1, 6):
                domain.network.partition(address_of(number), address_of(0))
            while domain.alive_at(0) != {0}:
                await asyncio.sleep(1)
            domain.network.heal()
            for _ in range(200):
                await asyncio.sleep(0.1)
                for number in range(1, 6):
                    self.assertLessEqual({1, 2, 3, 4, 5}, domain.alive_at(number))
            self.assertTrue(domain.agree_on(*range(6)))

        self.run_scenario(scenario)

    def test_a_flapping_link_removes_none(self):
        async def scenario(domain):
            await domain.start(*range(5))
            await asyncio.sleep(CONVERGENCE_S)
            counter = ChangeCounter(domain)
            for _ in range(40):
                domain.network.partition(address_of(0), address_of(2))
                domain.network.partition(address_of(0), address_of(3))
                await asyncio.sleep(1.7)
                domain.network.heal()
                await asyncio.sleep(0.9)
            self.assertEqual(0, counter.changes)

        self.run_scenario(scenario)

    def test_loss_and_duplicate_messages_remove_none(self):
        async def scenario(domain):
            await domain.start(*range(8))
            await asyncio.sleep(CONVERGENCE_S)
            counter = ChangeCounter(domain)
            domain.network.loss = 0.1
            domain.network.duplication = 0.1
            await asyncio.sleep(200)
            self.assertEqual(0, counter.changes)

        self.run_scenario(scenario)

    def test_two_entries_survive_loss(self):
        async def scenario(domain):
            await domain.start(0, 1)
            await asyncio.sleep(CONVERGENCE_S)
            counter = ChangeCounter(domain)
            domain.network.loss = 0.25
            await asyncio.sleep(300)
            self.assertEqual(0, counter.changes)

        self.run_scenario(scenario)
