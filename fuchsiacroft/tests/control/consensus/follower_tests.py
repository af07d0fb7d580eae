"""Tests of a follower's replies to the leader."""

import xxhash

from fuchsiacroft.control import records
from fuchsiacroft.control.consensus.messages import SnapshotChunk
from fuchsiacroft.control.records import Snapshot
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.consensus_group import ConsensusGroup


class SnapshotChunkTests(PausedTestCase):
    """The leader takes a snapshot as installed once its whole size is acknowledged."""

    def test_a_snapshot_with_a_wrong_checksum_is_not_acknowledged(self):
        """Guards against commits counted on a member that dropped a damaged snapshot.

        A bit of one chunk changes on the way, so the member drops the whole data.
        """

        async def scenario():
            group = ConsensusGroup()
            await group.start()
            leader = await group.wait_leader()
            follower = next(node for node in group.nodes if node is not leader)
            await group.write(leader, *range(5))
            member = leader.log.member
            snapshot = Snapshot(
                member.commit_index + 10,
                member.term,
                member.configurations.index,
                member.configuration,
                {},
            )
            data = records.encode(snapshot)
            chunk = SnapshotChunk(
                member.configuration.group,
                member.identity,
                follower.log.member.identity,
                member.term,
                snapshot.index,
                len(data),
                xxhash.xxh3_64_intdigest(data) ^ 1,
                0,
                data,
            )
            reply = await leader.bus.request(follower.address, chunk, 1.0)
            await group.stop()
            return reply.ok.offset

        self.assertEqual(0, self.run_paused(scenario()))
