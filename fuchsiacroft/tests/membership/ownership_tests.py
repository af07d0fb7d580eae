"""Tests of the ownership of backend servers under failures."""

import asyncio
import itertools
import random
from collections import Counter

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.membership import ownership
from fuchsiacroft.membership.lease import OWNERSHIP_LEASE_S
from fuchsiacroft.membership.limit_reports import LimitReport
from fuchsiacroft.membership.permits import HeldPermit, PermitHolder
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.membership_domain import (
    MembershipDomain,
    address_of,
    settings_of,
)

NAMES = tuple(f"gpu-{i}" for i in range(12))
OWNERSHIP_SETTLING_S = 12.0
POLL_PERIOD_S = 0.05


class FakePermitHolder(PermitHolder):
    """Permits of one entry, by backend server."""

    def __init__(self):
        self.local_permits = {}
        self.replaced_permits = {}
        self.local_limits = {}
        self.received_limits = ()

    def held_permits(self, backend_server):
        return self.local_permits.get(backend_server, ())

    def replace_held_permits(self, backend_server, permits):
        self.replaced_permits[backend_server] = permits

    def known_limits(self, backend_servers):
        return tuple(
            report
            for name, report in self.local_limits.items()
            if name in backend_servers
        )

    def record_limits(self, reports):
        self.received_limits += reports


class OwnershipDomain(MembershipDomain):
    """Entries that own backend servers."""

    def __init__(self, seed=0):
        super().__init__(seed)
        self.tables = {}
        self.holders = {}

    def services(self, number, member):
        cfg: Settings = settings_of(number)
        table = ownership.create(cfg)
        self.tables[number] = table
        self.holders[number] = FakePermitHolder()
        table.set_permit_holder(self.holders[number])
        for name in NAMES:
            table.watch(name)
        return (table,)

    def ready_owners(self, name):
        return [n for n in self.members if self.tables[n].is_ready(name)]

    def all_ready(self):
        return all(len(self.ready_owners(name)) == 1 for name in NAMES)

    async def assert_single_owner_for(self, test, seconds):
        """Check that no backend server ever has two owners that are ready."""
        for _ in range(int(seconds / POLL_PERIOD_S)):
            await asyncio.sleep(POLL_PERIOD_S)
            for name in NAMES:
                test.assertLessEqual(len(self.ready_owners(name)), 1, name)

    async def wait_until_ready(self):
        while not self.all_ready():
            await asyncio.sleep(POLL_PERIOD_S)

    def add_permit(self, number, name):
        """Add a permit that an entry holds."""
        member = self.members[number]
        permit = HeldPermit(
            f"p{number}-{name}", name, member.local_entry.node, member.boot_id
        )
        self.holders[number].local_permits[name] = (permit,)
        return permit


class OwnershipTests(PausedTestCase):
    """At most one owner is ready, and it knows every held permit."""

    def run_scenario(self, scenario, seed=0):
        async def run():
            domain = OwnershipDomain(seed)
            try:
                async with asyncio.timeout(3600):
                    await scenario(domain)
            finally:
                await domain.stop()

        self.run_paused(run())

    def test_each_backend_server_has_one_ready_owner(self):
        async def scenario(domain):
            await domain.start(*range(5))
            await domain.assert_single_owner_for(self, OWNERSHIP_SETTLING_S)
            self.assertTrue(domain.all_ready())
            owners = Counter(domain.ready_owners(name)[0] for name in NAMES)
            self.assertGreater(len(owners), 2)

        self.run_scenario(scenario)

    def test_no_owner_is_ready_before_earlier_leases_expire(self):
        async def scenario(domain):
            await domain.start(0, 1)
            await asyncio.sleep(OWNERSHIP_LEASE_S - POLL_PERIOD_S)
            self.assertFalse(any(domain.ready_owners(name) for name in NAMES))

        self.run_scenario(scenario)

    def test_an_owner_that_wakes_from_a_suspension_is_ready_without_its_lease(self):
        async def scenario(domain):
            await domain.start(0, 1)
            await domain.wait_until_ready()
            asyncio.get_running_loop().suspend(OWNERSHIP_LEASE_S)
            self.assertFalse(any(domain.ready_owners(name) for name in NAMES))
            await domain.wait_until_ready()

        self.run_scenario(scenario)

    def test_a_joining_entry_takes_over_with_the_permits_of_others(self):
        async def scenario(domain):
            await domain.start(0, 1, 2)
            await domain.wait_until_ready()
            permits = {name: domain.add_permit(1, name) for name in NAMES}
            await domain.start(3)
            await domain.assert_single_owner_for(self, OWNERSHIP_SETTLING_S)
            self.assertTrue(domain.all_ready())
            taken_over = [name for name in NAMES if domain.ready_owners(name) == [3]]
            self.assertTrue(taken_over)
            for name in taken_over:
                self.assertEqual(
                    (permits[name],), domain.holders[3].replaced_permits[name], name
                )

        self.run_scenario(scenario)

    def test_a_new_owner_does_not_hear_of_the_limits_of_its_servers(self):
        async def scenario(domain):
            await domain.start(0, 1, 2)
            await domain.wait_until_ready()
            limits = {name: LimitReport(name, "1", 2.0, 1.0, 0.5) for name in NAMES}
            domain.holders[1].local_limits = limits
            await domain.start(3)
            await domain.assert_single_owner_for(self, OWNERSHIP_SETTLING_S)
            taken_over = {name for name in NAMES if domain.ready_owners(name) == [3]}
            self.assertTrue(taken_over)
            self.assertEqual(
                {limits[name] for name in taken_over},
                set(domain.holders[3].received_limits),
            )

        self.run_scenario(scenario)

    def test_a_leaving_entry_hands_over_without_delay(self):
        async def scenario(domain):
            await domain.start(0, 1, 2)
            await domain.wait_until_ready()
            moved = [name for name in NAMES if domain.ready_owners(name) == [2]]
            permits = {name: domain.add_permit(2, name) for name in moved}
            await domain.members[2].leave()
            await domain.assert_single_owner_for(self, 0.5)
            self.assertTrue(domain.all_ready())
            for name in moved:
                (owner,) = domain.ready_owners(name)
                counted = domain.holders[owner].replaced_permits[name]
                self.assertEqual((permits[name],), counted)

        self.run_scenario(scenario)

    def test_an_isolated_owner_stops_before_its_successor_starts(self):
        async def scenario(domain):
            await domain.start(*range(4))
            await domain.wait_until_ready()
            for number in range(1, 4):
                domain.network.partition(address_of(0), address_of(number))
            for _ in range(int(40 / POLL_PERIOD_S)):
                await asyncio.sleep(POLL_PERIOD_S)
                alone = domain.alive_at(0) == {0}
                for name in NAMES:
                    ready = domain.ready_owners(name)
                    if not alone:
                        self.assertLessEqual(len(ready), 1, name)
            domain.network.heal()
            await asyncio.sleep(OWNERSHIP_SETTLING_S)
            await domain.assert_single_owner_for(self, OWNERSHIP_SETTLING_S)
            self.assertTrue(domain.all_ready())

        self.run_scenario(scenario)

    def test_a_dead_owner_is_replaced_within_its_lease_of_its_removal(self):
        async def scenario(domain):
            await domain.start(*range(4))
            await domain.wait_until_ready()
            await domain.kill(1)
            while domain.alive_at(0) != {0, 2, 3}:
                await asyncio.sleep(POLL_PERIOD_S)
            await domain.assert_single_owner_for(self, OWNERSHIP_LEASE_S)
            self.assertTrue(domain.all_ready())

        self.run_scenario(scenario)

    def test_one_way_links_and_loss_never_result_in_two_owners(self):
        async def scenario(domain):
            await domain.start(*range(4))
            await domain.wait_until_ready()
            rng = random.Random(7)
            for _ in range(12):
                domain.network.loss = rng.choice((0.0, 0.2))
                source, target = rng.sample(range(4), 2)
                domain.network.cut_links.add((address_of(source), address_of(target)))
                await domain.assert_single_owner_for(self, rng.uniform(1, 12))
                if rng.random() < 0.5:
                    domain.network.heal()
            domain.network.heal()
            domain.network.loss = 0.0
            await domain.assert_single_owner_for(self, 30)
            self.assertTrue(domain.all_ready())

        self.run_scenario(scenario)

    def test_restarts_and_departures_never_result_in_two_owners(self):
        async def scenario(domain):
            await domain.start(*range(5))
            await domain.wait_until_ready()
            rng = random.Random(3)
            for _ in range(8):
                number = rng.choice(sorted(domain.members))
                if rng.random() < 0.5:
                    await domain.members[number].leave()
                await domain.kill(number)
                await domain.assert_single_owner_for(self, rng.uniform(0.1, 6))
                await domain.start(number)
            await domain.assert_single_owner_for(self, 30)
            self.assertTrue(domain.all_ready())

        self.run_scenario(scenario)

    def test_the_sides_of_a_partition_share_a_limit(self):
        async def scenario(domain):
            await domain.start(*range(5))
            await domain.wait_until_ready()
            for left, right in itertools.product((0, 1), (2, 3, 4)):
                domain.network.partition(address_of(left), address_of(right))
            for _ in range(int(90 / POLL_PERIOD_S)):
                await asyncio.sleep(POLL_PERIOD_S)
                for name in NAMES:
                    shares = [
                        domain.tables[n].limit_share(name)
                        for n in domain.ready_owners(name)
                    ]
                    self.assertLessEqual(sum(shares), 1.0 if len(shares) > 1 else 2.0)
            self.assertEqual(
                [2, 2], [len(domain.ready_owners(name)) for name in NAMES[:2]]
            )

        self.run_scenario(scenario)

    def test_a_side_that_gets_every_announcement_has_the_whole_limit(self):
        async def scenario(domain):
            await domain.start(0, 1)
            await domain.wait_until_ready()
            await domain.kill(0)
            while domain.alive_at(1) != {1}:
                await asyncio.sleep(POLL_PERIOD_S)
            table = domain.tables[1]
            self.assertEqual(0.5, table.limit_share("all-received"))
            for i in range(24):
                table.record_announcement("all-received")
                if i % 2:
                    table.record_announcement("half-received")
                await asyncio.sleep(1)
            self.assertEqual(1.0, table.limit_share("all-received"))
            self.assertEqual(0.5, table.limit_share("half-received"))
            await domain.start(0)
            await asyncio.sleep(OWNERSHIP_SETTLING_S)
            self.assertEqual(1.0, table.limit_share("half-received"))

        self.run_scenario(scenario)
