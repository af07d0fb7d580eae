"""Tests of members that no settings list, and stand by for one that is lost."""

import asyncio

from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.consensus_group import ConsensusGroup


class StandbyTestCase(PausedTestCase):
    """Plays a group that admits members that are not listed."""

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
        def are_they() -> bool:
            return group.leader() is not None and group.voters() == set(names)

        await group.wait_until(are_they, 15.0)


class StandbyTests(StandbyTestCase):
    """Three vote; whoever greets besides them is ready to take a place."""

    def test_one_lost_for_good_is_replaced_at_another_address(self):
        async def scenario(group):
            await self.write(group, *range(20))
            lost = next(node for node in group.nodes if not node.is_leader)
            await lost.kill()
            fresh = await group.add()
            rest = [node for node in group.nodes[:3] if node is not lost]
            await self.wait_voters(group, fresh.name, *(n.name for n in rest))
            # Another loss right after leaves a majority that knows everything.
            await next(node for node in rest if node.is_leader).kill()
            await self.write(group, 20)
            await group.leader().log.read_barrier(5)
            values = group.leader().machine.values
            self.assertEqual(list(range(21)), sorted(values))

        self.run_group(scenario)

    def test_a_planned_replacement_comes_first_and_takes_the_place_later(self):
        async def scenario(group):
            fresh = await group.add()
            await asyncio.sleep(2.0)
            self.assertNotIn(fresh.name, group.voters())
            leaving = group.leader()
            await leaving.kill()
            rest = [node.name for node in group.nodes[:3] if node is not leaving]
            await self.wait_voters(group, fresh.name, *rest)
            await self.write(group, 1)

        self.run_group(scenario)

    def test_more_than_are_listed_come_to_vote_if_so_many_are_wanted(self):
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

    def test_a_short_silence_replaces_nobody(self):
        async def scenario(group):
            await group.add()
            await asyncio.sleep(1.0)
            before = group.voters()
            frozen = next(node for node in group.nodes[:3] if not node.is_leader)
            for other in group.nodes:
                if other is not frozen:
                    group.network.partition(frozen.address, other.address)
            await asyncio.sleep(1.5)
            group.network.heal()
            await asyncio.sleep(3.0)
            self.assertEqual(before, group.voters())

        self.run_group(scenario)

    def test_disks_that_are_empty_form_no_group_after_the_first_start(self):
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
    """A process that was replaced ends, so that its platform starts it again."""

    expects_failures = True

    def test_one_that_was_replaced_while_cut_off_stops_to_join_anew(self):
        async def scenario(group):
            fresh = await group.add()
            cut = next(node for node in group.nodes[:3] if not node.is_leader)
            for other in group.nodes:
                if other is not cut:
                    group.network.partition(cut.address, other.address)
            rest = [node.name for node in group.nodes[:3] if node is not cut]
            await self.wait_voters(group, fresh.name, *rest)
            group.network.heal()
            await group.wait_until(lambda: cut.log.member.halted is not None, 15.0)
            await cut.restart()
            await asyncio.sleep(3.0)
            members = group.leader().log.member.configuration.members
            self.assertIn(cut.name, {member.node for member in members})

        self.run_group(scenario)
