"""Tests of members that look for their group at addresses that change."""

import asyncio

from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership.control_members import ControlMembers
from fuchsiacroft.tests.control.consensus.standby_tests import StandbyTestCase
from fuchsiacroft.tests.fakes.consensus_group import ConsensusGroup, Node

DOWN = "10.9.0.1:7000"


class ContactsTests(StandbyTestCase):
    """Members whose settings name machines that are down, or replaced since."""

    expects_failures = True

    async def replace(
        self, group: ConsensusGroup, replaced: Node, cut: Node | None = None
    ) -> Node:
        """Kill a voter and wait until a standby has replaced it; return the standby.

        The standby reaches all members but `cut`; that one isn't killed.
        """
        standby = await group.add()
        if cut is not None:
            for other in group.nodes:
                if other is not cut:
                    group.network.partition(cut.address, other.address)
        if replaced is not cut:
            await group.wait_until(lambda: self.is_in_group(group, standby))
            await replaced.kill()

        def has_replaced() -> bool:
            if group.leader() is None:
                return False
            voters = group.voters()
            return standby.name in voters and replaced.name not in voters

        await group.wait_until(has_replaced, 30.0)
        return standby

    def is_in_group(self, group: ConsensusGroup, node: Node) -> bool:
        leader = group.leader()
        if leader is None or not node.is_running:
            return False
        configuration = leader.log.member.configuration
        return configuration.find(node.log.member.identity) is not None

    def test_a_member_never_joins_after_its_seeds_were_down_at_its_start(self):
        async def scenario(group):
            listed = group.listed
            group.listed = ()
            new = await group.add()
            await asyncio.sleep(5.0)
            self.assertFalse(self.is_in_group(group, new))
            new.log.add_contacts([DOWN, listed[0].address])
            await group.wait_until(lambda: self.is_in_group(group, new), 5.0)

        self.run_group(scenario)

    def test_a_replaced_member_forgets_its_group_with_its_identity(self):
        """Its settings name machines that have all been replaced."""

        async def scenario(group):
            await self.write(group, *range(5))
            cut, first, second = sorted(group.nodes, key=lambda node: node.is_leader)
            known = await self.replace(group, first)
            await self.write(group, 5)
            await group.wait_until(lambda: len(cut.machine.values) == 6, 15.0)
            await self.replace(group, cut, cut)
            await self.replace(group, second, cut)
            self.assertIn(known.name, group.voters())
            group.network.heal()
            await group.wait_until(lambda: self.is_in_group(group, cut), 30.0)

        self.run_group(scenario)

    def test_a_member_without_a_group_forgets_its_first_seeds(self):
        async def scenario(group):
            listed = {node.address for node in group.listed}
            for node in group.nodes:
                await node.kill()
            group.may_form_group = False
            new = await group.add()
            members = ControlMembers(group.settings(new))
            kernel = Kernel()
            kernel.add(new.log)
            await members.start(kernel)
            new.log.add_contacts([DOWN])
            self.assertEqual(tuple(sorted({*listed, DOWN, new.address})), members.all())
            self.assertEqual(0, members.reported_group().index)

        self.run_group(scenario)

    def test_a_group_is_formed_with_a_member_that_the_settings_do_not_list(self):
        async def run() -> None:
            group = ConsensusGroup(3, wanted_voters=3)
            started = group.nodes[:2]
            for node in started:
                await node.start()
            other = await group.add()
            for node in started:
                node.log.add_contacts([other.address])
            await asyncio.sleep(10.0)
            self.assertIsNone(group.leader())
            self.assertFalse(any(node.log.member.is_formed for node in started))
            await group.stop()

        self.run_paused(run())

    def test_members_report_no_committed_change_of_their_group(self):
        async def scenario(group):
            await self.write(group, 1)
            leader = group.leader()
            members = ControlMembers(group.settings(leader))
            kernel = Kernel()
            kernel.add(leader.log)
            await members.start(kernel)
            before = members.reported_group()
            self.assertEqual(leader.log.member.configuration.group, before.group)
            self.assertGreater(before.index, 0)
            standby = await group.add()
            await group.wait_until(lambda: self.is_in_group(group, standby), 15.0)
            await self.write(group, 2)
            after = members.reported_group()
            self.assertGreater(after.index, before.index)
            self.assertIn(standby.address, after.addresses)

        self.run_group(scenario)
