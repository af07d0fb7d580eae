"""Tests of forced recovery after the loss of a majority."""

import asyncio
import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from fuchsiacroft.commands import recover
from fuchsiacroft.control.consensus.forced_recovery import force_single_voter
from fuchsiacroft.control.storage import Storage
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.consensus_group import ConsensusGroup
from fuchsiacroft.tests.fakes.folder import MemoryFolder


class ForcedRecoveryTests(PausedTestCase):
    """One surviving member forms a new group; others rejoin with empty disks."""

    def test_the_surviving_member_recovers_and_emptied_members_rejoin(self):
        async def scenario():
            group = ConsensusGroup()
            await group.start()
            leader = await group.wait_leader()
            await group.write(leader, *range(20))
            await asyncio.sleep(1)
            last, *lost = group.nodes
            for node in group.nodes:
                await node.kill()
            images = [node.disk.copy() for node in lost]
            storage = Storage(MemoryFolder(last.disk), last.name, f"boot-{last.boot}")
            self.assertTrue((await force_single_voter(storage)).is_ok())
            await storage.close()
            await last.start()
            await group.wait_until(lambda: last.is_leader)
            self.assertEqual(20, len(last.machine.values))
            for node in lost:
                await node.lose_disk()
                await node.start()
            await group.wait_until(lambda: len(self.voters(last)) == 3, 30)
            outcome = (await group.write(lost[0], 20))[0]
            self.assertTrue(outcome.is_ok())
            await lost[0].kill(disk=images[0])
            await lost[0].start()
            await asyncio.sleep(3)
            self.assertIsNotNone(
                lost[0].log.member.halted, "the member belongs to the old group"
            )
            await group.stop()

        self.run_paused(scenario())

    def voters(self, node):
        """Return the voters in a member's configuration."""
        return node.log.member.configuration.voters()


class RecoverTests(unittest.TestCase):
    """The command refuses folders that it can't recover from."""

    def test_a_folder_without_a_group_is_refused(self):
        err = io.StringIO()
        with tempfile.TemporaryDirectory() as path, contextlib.redirect_stderr(err):
            self.assertEqual(1, recover.recover(path))
            self.assertEqual(2, recover.recover(str(Path(path) / "none")))
        self.assertIn("was not a voter of the group", err.getvalue())
