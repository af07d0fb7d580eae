"""Tests of a consensus group without faults."""

import asyncio

from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.consensus_group import ConsensusGroup


class GroupTests(PausedTestCase):
    """Members form a group, replicate commands and survive restarts."""

    def test_all_members_apply_commands_in_the_same_order(self):
        async def scenario():
            group = ConsensusGroup()
            await group.start()
            await group.wait_leader()
            for value, node in enumerate(group.nodes * 3):
                outcomes = await group.write(node, value)
                self.assertEqual(value + 1, outcomes[0].ok.result.length)
            await asyncio.sleep(1)
            for node in group.nodes:
                self.assertEqual(list(range(9)), node.machine.values)
            await group.stop()

        self.run_paused(scenario())

    def test_committed_commands_survive_a_restart_of_all_members(self):
        async def scenario():
            group = ConsensusGroup()
            await group.start()
            leader = await group.wait_leader()
            await group.write(leader, *range(50))
            for node in group.nodes:
                await node.kill()
            await group.start()
            leader = await group.wait_leader()
            await leader.log.read_barrier(5)
            self.assertEqual(list(range(50)), sorted(leader.machine.values))
            await group.stop()

        self.run_paused(scenario())
