"""Tests of standby members, which are not listed in the settings."""

import asyncio

from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.consensus_group import ConsensusGroup


class StandbyTestCase(PausedTestCase):
    """Runs a group that admits members that are not listed."""

    def run_group(self, scenario, size: int = 3, wanted: int = 3) -> None:
        async def run() -> None:
            group = ConsensusGroup(size, wanted_voters=wanted)
            await group.start()
            await group.wait_leader()
            try:
                await scenario(group)
            finally:
                await group.stop()

        self.run_paused(run())

    async def write(self, group: ConsensusGroup, *values: int) -> None:
        await group.wait_leader()
        outcomes = await group.write(group.leader(), *values)
        self.assertTrue(all(outcome.is_ok() for outcome in outcomes))

    async def wait_voters(self, group: ConsensusGroup, *names: str) -> None:
        def is_reached() -> bool:
            return group.leader() is not None and group.voters() == set(names)

        await group.wait_until(is_reached, 15.0)


class StandbyTests(StandbyTestCase):
    """Three members vote; others that join can replace one of them."""

    def test_a_permanently_lost_voter_is_replaced_by_a_standby_at_another_address(self):
        async def scenario(group):
            await self.write(group, *range(20))
            lost = next(node for node in group.nodes if not node.is_leader)
            await lost.kill()
            standby = await group.add()
            rest = [node for node in group.nodes[:3] if node is not lost]
            await self.wait_voters(group, standby.name, *(n.name for n in rest))
            # Losing another voter right after leaves a majority with all entries.
            await next(node for node in rest if node.is_leader).kill()
            await self.write(group, 20)
            await group.leader().log.read_barrier(5)
            values = group.leader().machine.values
            self.assertEqual(list(range(21)), sorted(values))

        self.run_group(scenario)

    def test_a_standby_that_joined_in_advance_replaces_a_lost_voter(self):
        async def scenario(group):
            standby = await group.add()
            await asyncio.sleep(2.0)
            self.assertNotIn(standby.name, group.voters())
            leaving = group.leader()
            await leaving.kill()
            rest = [node.name for node in group.nodes[:3] if node is not leaving]
            await self.wait_voters(group, standby.name, *rest)
            await self.write(group, 1)

        self.run_group(scenario)

    def test_standbys_are_promoted_until_the_wanted_number_of_voters_is_reached(self):
        async def scenario(group):
            for _ in range(3):
                await group.add()
            await group.wait_until(
                lambda: group.leader() is not None and len(group.voters()) == 5, 15.0
            )
            for node in [node for node in group.nodes if not node.is_leader][:2]:
                await node.kill()
            await self.write(group, 1)

        self.run_group(scenario, wanted=5)

    def test_a_short_network_partition_replaces_no_voter(self):
        async def scenario(group):
            await group.add()
            await asyncio.sleep(1.0)
            before = group.voters()
            partitioned = next(node for node in group.nodes[:3] if not node.is_leader)
            for other in group.nodes:
                if other is not partitioned:
                    group.network.partition(partitioned.address, other.address)
            await asyncio.sleep(1.5)
            group.network.heal()
            await asyncio.sleep(3.0)
            self.assertEqual(before, group.voters())

        self.run_group(scenario)

    def test_empty_disks_form_no_group_after_the_first_start(self):
        async def scenario(group):
            await self.write(group, 1)
            group.may_form_group = False
            for node in group.nodes:
                await node.lose_disk()
            for node in group.nodes:
                await node.start()
            await asyncio.sleep(10.0)
            self.assertIsNone(group.leader())

        self.run_group(scenario)


class ReplacedTests(StandbyTestCase):
    """A process whose member was replaced exits, so that the platform restarts it."""

    expects_failures = True

    def test_a_member_replaced_while_partitioned_exits_and_rejoins_after_a_restart(
        self,
    ):
        async def scenario(group):
            standby = await group.add()
            cut = next(node for node in group.nodes[:3] if not node.is_leader)
            for other in group.nodes:
                if other is not cut:
                    group.network.partition(cut.address, other.address)
            rest = [node.name for node in group.nodes[:3] if node is not cut]
            await self.wait_voters(group, standby.name, *rest)
            group.network.heal()
            await group.wait_until(lambda: cut.log.member.halted is not None, 15.0)
            await cut.restart()
            await asyncio.sleep(3.0)
            members = group.leader().log.member.configuration.members
            self.assertIn(cut.name, {member.node for member in members})

        self.run_group(scenario)
