"""Tests of group formation, lost disks and membership changes."""

import asyncio
from unittest import mock

from fuchsiacroft.control.consensus import timing
from fuchsiacroft.control.log import ProposeError
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.consensus_group import ConsensusGroup, Node


def all_disks_vote(group: ConsensusGroup) -> bool:
    """Return whether the voters are exactly the disks in use."""
    leader = group.leader()
    if leader is None:
        return False
    voters = leader.log.member.configuration.voters()
    running = {node.log.member.identity for node in group.nodes if node.is_running}
    return {voter.identity for voter in voters} == running


class MembersTests(PausedTestCase):
    """A disk that lost acknowledged state never votes without it."""

    def run_group(self, scenario, size: int = 3) -> None:
        """Run a scenario on a group that has a leader."""

        async def run():
            group = ConsensusGroup(size)
            await group.start()
            leader = await group.wait_leader()
            await scenario(group, leader)
            await group.stop()

        self.run_paused(run())

    def test_no_group_forms_until_every_member_has_started(self):
        async def scenario():
            group = ConsensusGroup()
            await group.nodes[0].start()
            await group.nodes[1].start()
            await asyncio.sleep(20)
            for node in group.nodes[:2]:
                self.assertFalse(node.log.member.is_formed)
            await group.nodes[2].start()
            await group.wait_leader()
            await group.stop()

        self.run_paused(scenario())

    def test_empty_disks_form_no_second_group(self):
        async def scenario(group, leader):
            await group.write(leader, 1, 2, 3)
            others = [node for node in group.nodes if node is not leader]
            await leader.kill()
            for node in others:
                await node.lose_disk()
                await node.start()
            await asyncio.sleep(20)
            for node in others:
                self.assertFalse(node.log.member.is_formed)
            await leader.start()
            await asyncio.sleep(20)
            self.assertIsNone(group.leader())
            for node in others:
                self.assertFalse(node.log.member.is_formed)
                outcome = (await group.write(node, 4, timeout=1))[0]
                self.assertEqual(ProposeError.NO_QUORUM, outcome.error)

        self.run_group(scenario)

    def test_losing_a_second_disk_right_after_a_repair_loses_no_data(self):
        for seed in range(3):
            for follower in (0, 1):

                async def scenario(group, leader, n=follower):
                    others = [node for node in group.nodes if node is not leader]
                    await self.replace_disks_in_turn(group, leader, others[n])

                with self.subTest(seed=seed, follower=follower):
                    self.run_group(scenario)

    async def replace_disks_in_turn(
        self, group: ConsensusGroup, first: Node, second: Node
    ):
        """Replace one disk after another, each once all disks vote again."""
        await group.write(first, *range(100))
        for node in (first, second, first):
            await node.lose_disk()
            await node.start()
            await group.wait_until(lambda: all_disks_vote(group), 30)
        await group.wait_leader()
        node = group.leader()
        self.assertTrue((await node.log.read_barrier(5)).is_ok())
        self.assertEqual(list(range(100)), sorted(node.machine.values))

    def test_a_member_with_an_empty_disk_does_not_vote_until_it_has_caught_up(self):
        async def scenario(group, leader):
            follower, other_follower = [
                node for node in group.nodes if node is not leader
            ]
            await other_follower.kill()
            await group.write(leader, *range(50))
            await follower.lose_disk()
            await leader.kill()
            await follower.start()
            await other_follower.start()
            await asyncio.sleep(30)
            self.assertIsNone(
                group.leader(), "a leader was elected without committed entries"
            )
            await leader.start()
            await group.wait_until(lambda: all_disks_vote(group), 30)
            await group.wait_until(lambda: len(follower.machine.values) == 50)

        self.run_group(scenario)

    def test_a_restored_older_disk_rejoins_under_a_new_identity(self):
        async def scenario(group, leader):
            follower, other_follower = [
                node for node in group.nodes if node is not leader
            ]
            await group.write(leader, *range(10))
            image = follower.disk.copy()
            await group.write(leader, *range(10, 20))
            await other_follower.kill()
            await group.write(leader, *range(20, 30))
            identity = follower.log.member.identity
            await follower.kill(disk=image)
            await follower.start()
            await other_follower.start()
            await group.wait_until(
                lambda: follower.log.member.identity not in ("", identity)
            )
            await group.wait_until(lambda: all_disks_vote(group), 30)
            await group.wait_until(lambda: len(follower.machine.values) == 30)

        self.run_group(scenario)

    def test_a_restored_older_disk_never_votes_without_acknowledged_entries(self):
        async def scenario(group, leader):
            follower, other_follower = [
                node for node in group.nodes if node is not leader
            ]
            image = follower.disk.copy()
            await other_follower.kill()
            await group.write(leader, *range(20))
            await follower.kill(disk=image)
            await leader.kill()
            await other_follower.start()
            await follower.start()
            await asyncio.sleep(30)
            await leader.start()
            await group.wait_until(lambda: len(leader.machine.values) == 20, 30)
            await group.wait_leader()
            self.assertEqual(list(range(20)), sorted(leader.machine.values))

        self.run_group(scenario)

    def test_a_machine_may_restart_during_the_repair_of_another(self):
        async def scenario(group, leader):
            follower, other_follower = [
                node for node in group.nodes if node is not leader
            ]
            await group.write(leader, *range(10))
            await follower.lose_disk()
            await other_follower.kill()
            other_follower.boot += 1
            await follower.start()
            await other_follower.start()
            await group.wait_until(lambda: all_disks_vote(group), 30)
            await group.wait_until(lambda: len(follower.machine.values) == 10)

        self.run_group(scenario)

    def test_all_machines_restart_at_once(self):
        async def scenario(group, leader):
            await group.write(leader, *range(10))
            for node in group.nodes:
                await node.kill()
                node.boot += 1
            await group.start()
            new = await group.wait_leader()
            self.assertTrue((await new.log.read_barrier(5)).is_ok())
            self.assertEqual(list(range(10)), sorted(new.machine.values))
            await asyncio.sleep(2)
            for node in group.nodes:
                self.assertTrue(node.log.member.storage.is_same_boot)

        self.run_group(scenario)

    def test_a_member_moves_to_a_new_address(self):
        async def scenario(group, leader):
            await group.write(leader, *range(10))
            moved = next(node for node in group.nodes if node is not leader)
            old = moved.log.member.identity
            await moved.lose_disk()
            moved.address = "10.0.0.9:7000"
            for node in group.nodes:
                if node is not moved:
                    await node.restart()
                    await group.wait_leader()
            await moved.start()
            await group.wait_until(lambda: all_disks_vote(group), 30)
            members = group.leader().log.member.configuration
            self.assertIsNone(members.find(old))
            self.assertEqual(3, len(members.members))

        self.run_group(scenario)

    def test_two_changes_are_never_pending_at_once(self):
        async def scenario(group, leader):
            others = [node for node in group.nodes if node is not leader]
            for node in others[:2]:
                await node.lose_disk()
            seen = []
            member = leader.log.member
            append_entry = member.configurations.append_entry

            def record_entry(entry):
                if entry.kind == "configuration":
                    seen.append((member.configurations.index, member.commit_index))
                append_entry(entry)

            member.configurations.append_entry = record_entry
            for node in group.nodes:
                node.disk.latency = 0.3
            for node in others[:2]:
                await node.start()
            await group.wait_until(lambda: all_disks_vote(group), 60)
            self.assertGreaterEqual(len(seen), 6)
            for index, commit in seen:
                self.assertLessEqual(index, commit)

        self.run_group(scenario, size=5)

    def test_successive_configurations_differ_by_at_most_one_voter(self):
        async def scenario(group, leader):
            follower = next(node for node in group.nodes if node is not leader)
            seen = [leader.log.member.configuration]
            append_entry = leader.log.member.configurations.append_entry

            def record_entry(entry):
                append_entry(entry)
                if entry.kind == "configuration":
                    seen.append(leader.log.member.configuration)

            leader.log.member.configurations.append_entry = record_entry
            await follower.lose_disk()
            await follower.start()
            await group.wait_until(lambda: all_disks_vote(group), 30)
            for before, after in zip(seen, seen[1:], strict=False):
                voters = [{v.identity for v in c.voters()} for c in (before, after)]
                self.assertLessEqual(len(voters[0] ^ voters[1]), 1)

        self.run_group(scenario)

    def test_a_learner_is_promoted_only_once_it_has_all_committed_entries(self):
        async def scenario(group, leader):
            follower = next(node for node in group.nodes if node is not leader)
            await follower.lose_disk()
            await group.write(leader, *range(100))
            await follower.start()
            member = leader.log.member

            def is_voter():
                found = member.configuration.find(follower.log.member.identity)
                return found is not None and found.voter

            def is_learner():
                found = member.configuration.find(follower.log.member.identity)
                return found is not None

            await group.wait_until(is_learner, 30)
            follower.disk.latency = 3.0
            await asyncio.sleep(2)
            self.assertFalse(is_voter())
            follower.disk.latency = 0.001
            await group.wait_until(is_voter, 30)

        self.run_group(scenario)


class SnapshotTests(PausedTestCase):
    """A member that is far behind receives a snapshot in chunks."""

    def test_a_member_catches_up_with_a_snapshot_in_chunks(self):
        limits = {
            "SNAPSHOT_INTERVAL_ENTRIES": 100,
            "RETAINED_ENTRIES": 10,
            "SNAPSHOT_CHUNK_BYTES": 100,
        }

        async def scenario():
            group = ConsensusGroup()
            await group.start()
            leader = await group.wait_leader()
            follower = next(node for node in group.nodes if node is not leader)
            await follower.kill()
            await group.write(leader, *range(1000))
            group.network.loss = 0.1
            await follower.start()
            await group.wait_until(
                lambda: follower.machine.values == leader.machine.values, 60
            )
            group.network.loss = 0.0
            await group.write(leader, *range(1000, 1010))
            for node in group.nodes:
                await node.kill()
            await group.start()
            leader = await group.wait_leader()
            self.assertTrue((await leader.log.read_barrier(5)).is_ok())
            self.assertEqual(1010, len(leader.machine.values))
            await group.stop()

        with mock.patch.multiple(timing, **limits):
            self.run_paused(scenario())

    def test_the_snapshot_transfer_is_rate_limited(self):
        limits = {
            "SNAPSHOT_INTERVAL_ENTRIES": 100,
            "RETAINED_ENTRIES": 10,
            "SNAPSHOT_CHUNK_BYTES": 100,
            "SNAPSHOT_BYTES_PER_S": 500,
        }

        async def scenario():
            group = ConsensusGroup()
            await group.start()
            leader = await group.wait_leader()
            follower = next(node for node in group.nodes if node is not leader)
            await follower.kill()
            await group.write(leader, *range(1000))
            began = asyncio.get_running_loop().time()
            await follower.start()
            await group.wait_until(
                lambda: follower.machine.values == leader.machine.values, 60
            )
            took = asyncio.get_running_loop().time() - began
            self.assertGreater(took, 2.0)
            await group.stop()

        with mock.patch.multiple(timing, **limits):
            self.run_paused(scenario())


class FullDiskTests(PausedTestCase):
    """Members with a full disk reject writes and lose no data."""

    def test_a_group_with_full_disks_rejects_proposals_and_still_serves_reads(self):
        async def scenario():
            group = ConsensusGroup()
            await group.start()
            leader = await group.wait_leader()
            await group.write(leader, 1, 2)
            for node in group.nodes:
                node.disk.free_bytes = 0
            await group.write(leader, 3, timeout=2)
            outcome = (await group.write(leader, 4, timeout=2))[0]
            self.assertEqual(ProposeError.NO_QUORUM, outcome.error)
            self.assertTrue((await leader.log.read_barrier(2)).is_ok())
            for node in group.nodes:
                node.disk.free_bytes = None
            await asyncio.sleep(3)
            self.assertTrue((await group.write(leader, 5))[0].is_ok())
            self.assertEqual([1, 2, 3, 5], leader.machine.values)
            await group.stop()

        self.run_paused(scenario())

    def test_a_leader_with_a_full_disk_steps_down(self):
        async def scenario():
            group = ConsensusGroup()
            await group.start()
            leader = await group.wait_leader()
            leader.disk.free_bytes = 0
            await group.write(leader, 1, timeout=2)
            await group.wait_until(lambda: group.leader() not in (None, leader))
            outcome = (await group.write(leader, 2))[0]
            self.assertTrue(outcome.is_ok())
            await group.stop()

        self.run_paused(scenario())
