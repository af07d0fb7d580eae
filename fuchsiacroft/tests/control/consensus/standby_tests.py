"""Tests of standby members, which are not listed in the settings."""

import asyncio

from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.consensus.messages import VoteRequest
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.consensus_group import ConsensusGroup, Node


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

    def test_a_group_that_replaced_a_voter_recovers_at_once_from_a_power_loss(self):
        """Guards against a wait for a member that was removed long ago.

        The members elect at once only if every member that can lead says that it does
        not. The removed one never answers, and its identity is still in the log.
        """

        async def scenario(group):
            await self.write(group, 1)
            lost = next(node for node in group.nodes if not node.is_leader)
            await lost.kill()
            standby = await group.add()
            rest = [node for node in group.nodes if node is not lost]
            names = [node.name for node in rest]
            await self.wait_voters(group, *names)
            self.assertIn(standby.name, names)
            for node in rest:
                await node.kill()
                node.boot += 1
            for node in rest:
                await node.start()
            await group.wait_leader(0.9 * timing.ELECTION_TIMEOUT_MIN_S)

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
    """A member that was replaced while it was cut off joins again in its process."""

    expects_failures = True

    async def replace_by_standby(self, group: ConsensusGroup, cut: Node) -> Node:
        """Partition a voter until a standby has replaced it; return the standby."""
        standby = await group.add()
        for other in group.nodes:
            if other is not cut:
                group.network.partition(cut.address, other.address)
        rest = [node.name for node in group.nodes[:3] if node is not cut]
        await self.wait_voters(group, standby.name, *rest)
        return standby

    def test_a_replaced_member_joins_under_a_new_identity_in_the_same_process(self):
        """Guards against a process that ends, or halts, once a standby replaced it."""

        async def scenario(group):
            await self.write(group, *range(20))
            cut = next(node for node in group.nodes[:3] if not node.is_leader)
            process, before = cut.log, cut.log.member.identity
            await self.replace_by_standby(group, cut)
            await self.write(group, 20)
            group.network.heal()

            def has_joined() -> bool:
                identity = cut.log.member.identity
                found = group.leader().log.member.configuration.find(identity)
                return identity != before and found is not None

            await group.wait_until(has_joined, 15.0)
            self.assertIs(process, cut.log)
            self.assertIsNone(cut.log.member.halted)
            self.assertIsNone(group.leader().log.member.configuration.find(before))
            await group.wait_until(lambda: len(cut.machine.values) == 21, 15.0)
            self.assertEqual(group.leader().machine.values, cut.machine.values)

        self.run_group(scenario)

    def test_a_member_that_joined_again_replaces_the_next_lost_voter(self):
        """Guards against a member that joins again and is never of use as a voter."""

        async def scenario(group):
            await self.write(group, *range(5))
            cut = next(node for node in group.nodes[:3] if not node.is_leader)
            standby = await self.replace_by_standby(group, cut)
            group.network.heal()
            await group.wait_until(lambda: len(cut.machine.values) == 5, 15.0)
            rest = [node.name for node in group.nodes[:3] if node is not cut]
            await standby.kill()
            await self.wait_voters(group, cut.name, *rest)
            await self.write(group, 5)

        self.run_group(scenario)

    def test_messages_to_the_old_identity_are_ignored_after_it_was_given_up(self):
        """Guards against votes and entries counted for an identity without a disk."""

        async def scenario(group):
            cut = next(node for node in group.nodes[:3] if not node.is_leader)
            old = cut.log.member
            group_id, term = old.configuration.group, old.term
            await self.replace_by_standby(group, cut)
            group.network.heal()
            await group.wait_until(lambda: cut.log.member.verified, 15.0)
            await group.wait_until(
                lambda: cut.log.member.identity != old.identity, 15.0
            )
            for member in (old, cut.log.member):
                self.assertFalse(member.accepts(group_id, old.identity))
            vote = VoteRequest(
                group_id, "another", old.identity, term + 9, 10**6, term + 9, False
            )
            leader = group.leader()
            reply = await leader.bus.request(cut.address, vote, 1.0)
            self.assertTrue(reply.is_error())

        self.run_group(scenario)

    def test_a_replaced_member_forms_no_group_with_empty_disks(self):
        """Guards against a second group, formed after the first one was lost.

        The replaced member has an empty disk and settings of a first start, and finds
        only empty disks.
        """

        async def scenario(group):
            cut = group.nodes[0]
            if cut.is_leader:
                await cut.restart()
                await group.wait_leader()
            await self.write(group, 1)
            await self.replace_by_standby(group, cut)
            others = group.nodes[1:]
            identity = cut.log.member.identity
            group.network.heal()
            await group.wait_until(
                lambda: cut.log.member.identity not in ("", identity), 15.0
            )
            for node in others:
                await node.lose_disk()
            for node in others:
                await node.start()
            await asyncio.sleep(10.0)
            self.assertFalse(cut.log.member.is_formed)
            self.assertIsNone(group.leader())

        self.run_group(scenario)
