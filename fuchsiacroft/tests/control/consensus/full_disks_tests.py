"""Tests of members whose disks are full for some seconds, one after another."""

import asyncio
from unittest import mock

from fuchsiacroft.control.consensus import timing
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.consensus_group import ConsensusGroup, Node

FULL_S = 3.0
RECOVERY_S = 5.0
WRITE_PERIOD_S = 0.1
SMALL_SNAPSHOTS = {"SNAPSHOT_INTERVAL_ENTRIES": 8, "RETAINED_ENTRIES": 2}


class Writer:
    """Writes values to the members in turn, and keeps those that were accepted."""

    def __init__(self, group: ConsensusGroup) -> None:
        self._group = group
        self._next = 0
        self.accepted: list[int] = []

    async def write(self) -> bool:
        """Write the next value; return whether it was accepted."""
        self._next += 1
        running = [node for node in self._group.nodes if node.is_running]
        node = running[self._next % len(running)]
        outcome = (await self._group.write(node, self._next, timeout=2.0))[0]
        if outcome.is_ok():
            self.accepted.append(self._next)
        return outcome.is_ok()

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self.write()
            await asyncio.sleep(WRITE_PERIOD_S)


class FullDisksTests(PausedTestCase):
    """Never two disks are full at once; other members fail meanwhile."""

    def play(self, disturb, size: int = 3, rounds: int = 2) -> None:
        """Fill each disk in turn, call `disturb(group, node)` meanwhile, and check."""

        async def scenario() -> None:
            group = ConsensusGroup(size, wanted_voters=3 if size == 3 else 5)
            await group.start()
            await group.wait_leader()
            writer = Writer(group)
            writing = asyncio.ensure_future(writer.run())
            for number in range(rounds * size):
                node = group.nodes[number % size]
                node.disk.torn_bytes = 7 * number
                node.disk.refuses_changes = True
                disturbing = asyncio.ensure_future(disturb(group, node))
                await asyncio.sleep(FULL_S)
                node.disk.refuses_changes = False
                await disturbing
            await asyncio.sleep(RECOVERY_S)
            writing.cancel()
            await self.check(group, writer)
            await group.stop()

        with mock.patch.multiple(timing, **SMALL_SNAPSHOTS):
            self.run_paused(scenario())

    async def check(self, group: ConsensusGroup, writer: Writer) -> None:
        """Check that changes are accepted by all members, and that none is lost."""
        await group.wait_leader()
        outcomes = [await writer.write() for _ in group.nodes]
        self.assertEqual([True] * len(group.nodes), outcomes)
        for node in group.nodes:
            await node.kill(power_loss=True)
        for node in group.nodes:
            await node.start()
        leader = await group.wait_leader()
        self.assertTrue((await leader.log.read_barrier(5)).is_ok())
        self.assertLessEqual(set(writer.accepted), set(leader.machine.values))

    def other(self, group: ConsensusGroup, node: Node) -> Node:
        """Return a member whose disk is not full, the leader if it is one."""
        others = [each for each in group.nodes if each is not node]
        return next((each for each in others if each.is_leader), others[0])

    def test_changes_are_refused_after_disks_were_full_in_turn(self):
        async def nothing(group, node):
            return

        self.play(nothing)

    def test_a_member_that_restarts_on_a_full_disk_never_comes_back(self):
        async def restart(group, node):
            await asyncio.sleep(FULL_S / 2)
            await node.restart()

        self.play(restart)

    def test_a_restart_of_another_member_leaves_the_group_without_quorum(self):
        async def restart(group, node):
            await asyncio.sleep(FULL_S / 3)
            await self.other(group, node).restart()

        self.play(restart)

    def test_a_cut_of_another_member_leaves_the_group_without_quorum(self):
        async def cut(group, node):
            address = self.other(group, node).address
            for each in group.nodes:
                group.network.cut_links.add((address, each.address))
                group.network.cut_links.add((each.address, address))
            await asyncio.sleep(FULL_S / 2)
            group.network.cut_links.clear()

        self.play(cut)

    def test_five_members_refuse_changes_after_disks_were_full_in_turn(self):
        async def restart(group, node):
            await asyncio.sleep(FULL_S / 3)
            await self.other(group, node).restart()

        self.play(restart, size=5, rounds=1)

    def test_a_member_that_joins_on_a_full_disk_never_votes(self):
        async def scenario() -> None:
            group = ConsensusGroup(3, wanted_voters=3)
            await group.start()
            await group.wait_leader()
            writer = Writer(group)
            for _ in range(20):
                await writer.write()
            lost = self.other(group, group.leader())
            await lost.lose_disk()
            lost.disk.refuses_changes = True
            starting = asyncio.ensure_future(lost.start())
            await asyncio.sleep(FULL_S)
            self.assertTrue(await writer.write())
            lost.disk.refuses_changes = False
            await starting
            await group.wait_until(lambda: group.leader() is not None)
            await group.wait_until(
                lambda: (
                    lost.log.member.configuration.find(lost.log.member.identity)
                    is not None
                ),
                15.0,
            )
            await self.check(group, writer)
            await group.stop()

        with mock.patch.multiple(timing, **SMALL_SNAPSHOTS):
            self.run_paused(scenario())
