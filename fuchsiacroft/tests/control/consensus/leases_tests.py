"""Tests of elections, the leader lease and a partitioned leader."""

import asyncio

from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.consensus.messages import (
    AppendReply,
    AppendRequest,
    VoteReply,
    VoteRequest,
)
from fuchsiacroft.control.log import ProposeError
from fuchsiacroft.control.records import Entry
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.consensus_group import ConsensusGroup, Node
from fuchsiacroft.utils import clock

FAILOVER_S = 2.0
LEADER_WAIT_S = 30.0


class LeaseTests(PausedTestCase):
    """A leader serves only while its lease is valid and is replaced afterwards."""

    def run_group(self, scenario, size: int = 3, seed: int = 0) -> None:
        """Run a scenario on a group that has a leader."""

        async def run():
            group = ConsensusGroup(size, seed)
            await group.start()
            await scenario(group, await group.wait_leader())
            await group.stop()

        self.run_paused(run())

    def test_a_dead_leader_is_replaced_within_two_seconds(self):
        async def scenario(group, leader):
            await leader.kill()
            await group.wait_leader(FAILOVER_S)

        for seed in range(10):
            self.run_group(scenario, seed=seed)

    def test_a_partitioned_leader_stops_serving_when_its_lease_ends(self):
        for directions in (("out",), ("in",), ("in", "out")):
            with self.subTest(directions=directions):
                self.run_group(
                    lambda group, leader, d=directions: self.partition_leader(
                        group, leader, d
                    )
                )

    async def partition_leader(
        self, group: ConsensusGroup, leader: Node, directions: tuple[str, ...]
    ) -> None:
        """Partition the leader for a long time and check what it committed."""
        await group.write(leader, 1, 2, 3)
        cut_at = clock.now()
        self.cut_links(group, leader, directions)
        lost = asyncio.ensure_future(group.write(leader, 666, timeout=60))
        new = await self.wait_other_leader(group, leader)
        self.assertLess(clock.now() - cut_at, 2 * timing.ELECTION_TIMEOUT_MAX_S + 1)
        outcome = (await group.write(leader, 667, timeout=0.5))[0]
        self.assertIn(outcome.error, (ProposeError.NO_QUORUM, ProposeError.UNKNOWN))
        await group.write(new, 4, 5)
        await asyncio.sleep(120)
        group.network.heal()
        await group.wait_until(lambda: leader.machine.values == new.machine.values)
        await asyncio.sleep(5)
        self.assertEqual([1, 2, 3, 4, 5], leader.machine.values)
        self.assertTrue((await lost)[0].is_error())

    def cut_links(
        self, group: ConsensusGroup, node: Node, directions: tuple[str, ...]
    ) -> None:
        """Drop the messages that a member sends ("out") or receives ("in")."""
        for other in group.nodes:
            if "out" in directions:
                group.network.cut_links.add((node.address, other.address))
            if "in" in directions:
                group.network.cut_links.add((other.address, node.address))

    async def wait_other_leader(self, group: ConsensusGroup, old: Node) -> Node:
        """Wait for a new leader; at no time may two members serve as leader."""
        deadline = clock.now() + LEADER_WAIT_S
        while clock.now() < deadline:
            leaders = [node for node in group.nodes if node.is_leader]
            self.assertLessEqual(len(leaders), 1)
            if leaders and leaders[0] is not old:
                return leaders[0]
            await asyncio.sleep(0.002)
        raise AssertionError(f"no new leader within {LEADER_WAIT_S} s")

    def test_the_lease_is_shorter_than_the_election_timeout(self):
        self.assertLess(timing.LEASE_S, timing.ELECTION_TIMEOUT_MIN_S)

    def test_a_minority_rejects_writes_immediately(self):
        async def scenario(group, leader):
            self.cut_links(group, leader, ("in", "out"))
            await asyncio.sleep(10)
            began = clock.now()
            outcome = (await group.write(leader, 1, timeout=30))[0]
            self.assertEqual(ProposeError.NO_QUORUM, outcome.error)
            self.assertLess(clock.now() - began, 0.1)

        self.run_group(scenario)

    def test_a_partitioned_follower_does_not_depose_the_leader(self):
        async def scenario(group, leader):
            term = leader.log.term
            follower = next(node for node in group.nodes if node is not leader)
            for direction in ("in", "out"):
                self.cut_links(group, follower, (direction,))
                await asyncio.sleep(20)
                group.network.heal()
                await asyncio.sleep(5)
            self.assertTrue(leader.is_leader)
            self.assertEqual(term, leader.log.term)

        self.run_group(scenario)

    def test_a_voter_in_contact_with_a_leader_grants_no_vote(self):
        async def scenario(group, leader):
            candidate, voter = [node for node in group.nodes if node is not leader]
            reply = await self.request_vote(candidate, voter, leader.log.term + 1)
            self.assertFalse(reply.granted)
            self.assertEqual(leader.log.term, voter.log.term)

        self.run_group(scenario)

    def test_a_candidate_with_a_shorter_log_gets_no_vote(self):
        async def scenario(group, leader):
            candidate, voter = [node for node in group.nodes if node is not leader]
            await candidate.kill()
            await group.write(leader, 1)
            await leader.kill()
            await candidate.start()
            await group.wait_until(lambda: candidate.log.member.verified)
            await asyncio.sleep(timing.ELECTION_TIMEOUT_MIN_S)
            reply = await self.request_vote(candidate, voter, voter.log.term + 5)
            self.assertFalse(reply.granted)
            await group.wait_until(lambda: voter.is_leader)

        self.run_group(scenario)

    def test_a_restarted_voter_waits_before_it_votes(self):
        async def scenario(group, leader):
            candidate, voter = [node for node in group.nodes if node is not leader]
            await voter.restart()
            await group.wait_until(lambda: voter.log.member.verified)
            group.network.partition(leader.address, voter.address)
            reply = await self.request_vote(candidate, voter, leader.log.term + 1)
            self.assertFalse(reply.granted)

        self.run_group(scenario)

    def test_a_group_elects_a_leader_before_leases_end_after_a_restart_of_all_members(
        self,
    ):
        async def scenario(group, leader):
            await group.write(leader, 1, 2)
            for node in group.nodes:
                await node.kill()
            began = clock.now()
            for node in group.nodes:
                await node.start()
            new = await group.wait_leader()
            self.assertLess(clock.now() - began, 0.8 * timing.ELECTION_TIMEOUT_MIN_S)
            await group.write(new, 3)
            self.assertEqual([1, 2, 3], new.machine.values)

        for seed in range(10):
            self.run_group(scenario, seed=seed)

    def test_one_member_at_a_time_campaigns_after_a_simultaneous_start(self):
        async def scenario(group, leader):
            term = max(node.log.term for node in group.nodes)
            for node in group.nodes:
                await node.kill()
            for node in group.nodes:
                await node.start()
            new = await group.wait_leader()
            self.assertEqual(term + 1, new.log.term)

        for seed in range(30):
            self.run_group(scenario, seed=seed)

    def test_restarted_voters_wait_for_the_lease_of_an_unreachable_leader(self):
        async def scenario(group, leader):
            others = [node for node in group.nodes if node is not leader]
            self.cut_links(group, leader, ("in", "out"))
            for node in others:
                await node.restart()
            while leader.is_leader:
                self.assertFalse(any(node.is_leader for node in others))
                await asyncio.sleep(0.002)
            await group.wait_until(lambda: any(node.is_leader for node in others))

        for seed in range(10):
            self.run_group(scenario, seed=seed)

    def test_a_restarted_voter_votes_early_only_if_no_voter_is_leader(self):
        async def scenario(group, leader):
            candidate, voter = [node for node in group.nodes if node is not leader]
            identities = [node.log.member.identity for node in group.nodes]
            all_but_leader = [i for i in identities if i != leader.log.member.identity]
            for unled, granted in ((all_but_leader, False), (identities, True)):
                await voter.restart()
                await group.wait_until(lambda: voter.log.member.verified)
                group.network.partition(leader.address, voter.address)
                term = voter.log.term + 1
                reply = await self.request_vote(candidate, voter, term, tuple(unled))
                self.assertEqual(granted, reply.granted)

        self.run_group(scenario)

    def test_a_vote_is_durable_before_it_is_granted(self):
        async def scenario(group, leader):
            candidate, voter = [node for node in group.nodes if node is not leader]
            await leader.kill()
            await asyncio.sleep(timing.ELECTION_TIMEOUT_MIN_S)
            voter.disk.latency = 0.2
            term = candidate.log.term + 5
            began = clock.now()
            reply = await self.request_vote(candidate, voter, term)
            self.assertTrue(reply.granted)
            self.assertGreaterEqual(clock.now() - began, 0.1)
            voter.disk.latency = 0.001
            await voter.restart()
            self.assertEqual(candidate.log.member.identity, voter.log.member.vote)
            self.assertEqual(term, voter.log.term)

        self.run_group(scenario)

    def test_entries_are_durable_before_they_are_acknowledged(self):
        async def scenario(group, leader):
            follower = next(node for node in group.nodes if node is not leader)
            follower.disk.latency = 0.2
            last = follower.log.member.log.last
            member = leader.log.member
            msg = AppendRequest(
                member.configuration.group,
                member.identity,
                follower.log.member.identity,
                member.term,
                last.index,
                last.term,
                0,
                [Entry(last.index + 1, member.term, "", b"")],
                [],
            )
            began = clock.now()
            result = await leader.bus.request(follower.address, msg, 5)
            self.assertIsInstance(result.ok, AppendReply)
            self.assertTrue(result.ok.matched)
            self.assertGreaterEqual(clock.now() - began, 0.1)

        self.run_group(scenario)

    def test_a_leader_counts_its_own_entry_once_it_is_durable(self):
        async def scenario(group, leader):
            follower, other_follower = [
                node for node in group.nodes if node is not leader
            ]
            await other_follower.kill()
            leader.disk.latency = 0.5
            began = clock.now()
            await group.write(leader, 1)
            self.assertGreaterEqual(clock.now() - began, 0.2)

        self.run_group(scenario)

    def test_an_older_terms_entry_is_not_counted(self):
        async def scenario(group, leader):
            leadership = leader.log.leadership
            commit = leader.log.member.commit_index
            leader.log.member.log.append(
                Entry(commit + 1, leader.log.term - 1, "", b"")
            )
            leadership._durable_index = commit + 1
            for peer in leadership.peers.values():
                peer.match_index = commit + 1
            leadership.update_commit_index()
            self.assertEqual(commit, leader.log.member.commit_index)

        self.run_group(scenario)

    async def request_vote(
        self, candidate: Node, voter: Node, term: int, unled: tuple[str, ...] = ()
    ) -> VoteReply:
        """Request a member's vote on behalf of another member."""
        member = candidate.log.member
        last = member.log.last
        msg = VoteRequest(
            member.configuration.group,
            member.identity,
            voter.log.member.identity,
            term,
            last.index,
            last.term,
            False,
            unled,
        )
        return (await candidate.bus.request(voter.address, msg, 5)).ok
