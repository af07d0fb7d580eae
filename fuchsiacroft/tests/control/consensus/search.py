"""Randomized, seeded fault injection test of a consensus group.

Run `python -m fuchsiacroft.tests.control.consensus.search --first=1 --seeds=200`
for a long run; each line of output gives the seed that reproduces the run.
"""

import asyncio
import random
import sys
import time
from contextlib import ExitStack
from unittest import mock

from absl import app, flags

from fuchsiacroft.control.consensus import timing
from fuchsiacroft.tests.control.consensus.checker import Checker, ViolationError
from fuchsiacroft.tests.fakes import virtual_time
from fuchsiacroft.tests.fakes.consensus_group import ConsensusGroup, Node, Write
from fuchsiacroft.utils import clock, logs
from fuchsiacroft.utils.tasks import BackgroundTasks

FLAGS = flags.FLAGS

LEASE_CHECK_PERIOD_S = 0.005
FAULT_PHASE_S = 30.0
RECOVERY_TIMEOUT_S = 60.0

SMALL_LIMITS = {
    "SNAPSHOT_INTERVAL_ENTRIES": 25,
    "RETAINED_ENTRIES": 5,
    "SNAPSHOT_CHUNK_BYTES": 64,
    "MAX_BATCH_ENTRIES": 4,
}


class Search:
    """One run of a group under the faults generated from a seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.group = ConsensusGroup(self.random.choice((3, 3, 3, 5)), seed)
        self.checker = Checker(self.group)
        self.tasks = BackgroundTasks("search")
        self.values = iter(range(1, 1_000_000))
        self.impaired: set[str] = set()
        self.images: dict[str, object] = {}
        self.faults: dict[str, int] = {}

    async def run(self) -> None:
        """Read and write under faults, remove the faults, and compare the states."""
        group = self.group
        await group.start()
        for node in group.nodes:
            self.tasks.spawn(self._write_forever(node))
            self.tasks.spawn(self._read_forever(node))
        self.tasks.spawn(self._check_leases_forever())
        end = clock.now() + FAULT_PHASE_S
        while clock.now() < end:
            await asyncio.sleep(self.random.uniform(0.05, 2.0))
            await self._inject_fault()
            self._raise_violation()
        await self._heal()
        await self._verify_recovery()
        self._raise_violation()
        await self.tasks.cancel()
        await group.stop()

    def _raise_violation(self) -> None:
        if self.checker.violation is not None:
            raise ViolationError(self.checker.violation)

    async def _write_forever(self, node: Node) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(0, 0.3))
            if node.is_running:
                count = self.random.choice((1, 1, 3))
                await asyncio.gather(*(self._write(node) for _ in range(count)))

    async def _write(self, node: Node) -> None:
        value = next(self.values)
        began_after = self.checker.last_acknowledged
        timeout = self.random.uniform(0.2, 3.0)
        outcome = await node.log.propose(Write(value), timeout)
        self.checker.record_outcome(value, began_after, outcome)

    async def _read_forever(self, node: Node) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(0, 0.3))
            if node.is_running:
                began_after = self.checker.last_acknowledged
                outcome = await node.log.read_barrier(self.random.uniform(0.1, 1))
                self.checker.record_read(node, began_after, outcome)

    async def _check_leases_forever(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_PERIOD_S)
            self.checker.check_leases()

    async def _inject_fault(self) -> None:
        faults = (
            self._restart,
            self._restart,
            self._restart_all,
            self._isolate,
            self._lose_power_at_sync,
            self._cut_one_way,
            self._isolate,
            self._degrade_network,
            self._heal_network,
            self._heal_network,
            self._lose_disk,
            self._lose_disk_and_power,
            self._take_image,
            self._restore_image,
            self._fill_disk,
        )
        fault = self.random.choice(faults)
        if await fault():
            name = fault.__name__.strip("_")
            self.faults[name] = self.faults.get(name, 0) + 1

    async def _restart(self) -> bool:
        node = self._pick_node()
        await node.kill(power_loss=self.random.random() < 0.7)
        self.tasks.spawn(self._start_later(node))
        return True

    async def _start_later(self, node: Node) -> None:
        node.boot += self.random.random() < 0.5
        await asyncio.sleep(self.random.uniform(0.01, 2.0))
        if not node.is_running:
            await node.start()

    async def _lose_power_at_sync(self) -> bool:
        node = self._pick_node()
        if not node.is_running:
            return False
        node.disk.lose_power_at = node.disk.syncs + self.random.randint(1, 12)
        node.disk.on_power_loss = lambda: self.tasks.spawn(self._restart_later(node))
        return True

    async def _restart_later(self, node: Node) -> None:
        await node.kill()
        await self._start_later(node)

    async def _cut_one_way(self) -> bool:
        one, other = self.random.sample(self.group.nodes, 2)
        self.group.network.cut_links.add((one.address, other.address))
        return True

    async def _isolate(self) -> bool:
        one = self._pick_node()
        direction = self.random.choice(("in", "out", "both"))
        for other in self.group.nodes:
            if direction != "in":
                self.group.network.cut_links.add((one.address, other.address))
            if direction != "out":
                self.group.network.cut_links.add((other.address, one.address))
        return True

    async def _degrade_network(self) -> bool:
        network = self.group.network
        network.loss = self.random.choice((0.0, 0.05, 0.3))
        network.duplication = self.random.choice((0.0, 0.1, 0.5))
        network.delay_probability = self.random.choice((0.0, 0.05, 0.2))
        network.delay = self.random.choice(((0.001, 0.002), (0.001, 0.1)))
        return True

    async def _heal_network(self) -> bool:
        self.group.network.heal()
        network = self.group.network
        network.loss = network.duplication = network.delay_probability = 0.0
        network.delay = (0.001, 0.002)
        return True

    async def _lose_disk(self) -> bool:
        node = self._pick_node()
        if not self._can_lose_disk():
            return False
        await node.lose_disk()
        self.images.pop(node.name, None)
        self.tasks.spawn(self._start_later(node))
        return True

    async def _lose_disk_and_power(self) -> bool:
        """Lose one disk, and at the same moment the power of all other members.

        Any of them may lag behind, and reads and writes may be under way.
        """
        if not self._is_repaired():
            return False
        node = self._pick_node()
        others = [other for other in self.group.nodes if other is not node]
        for other in others:
            await other.kill(power_loss=True)
        await node.lose_disk()
        self.images.clear()
        for member in (node, *others):
            self.tasks.spawn(self._start_later(member))
        return True

    async def _take_image(self) -> bool:
        node = self._pick_node()
        self.images[node.name] = node.disk.copy()
        return True

    async def _restore_image(self) -> bool:
        node = self._pick_node()
        image = self.images.pop(node.name, None)
        if image is None or not self._can_lose_disk():
            return False
        await node.kill(disk=image)
        self.tasks.spawn(self._start_later(node))
        return True

    async def _fill_disk(self) -> bool:
        node = self._pick_node()
        node.disk.free_bytes = self.random.randint(0, 500)
        self.tasks.spawn(self._free_disk(node))
        return True

    async def _free_disk(self, node: Node) -> None:
        disk = node.disk
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        disk.free_bytes = None

    def _pick_node(self) -> Node:
        """Return the leader with probability 1/2, else a random member."""
        leader = self.group.leader()
        if leader is not None and self.random.random() < 0.5:
            return leader
        return self.random.choice(self.group.nodes)

    async def _restart_all(self) -> bool:
        for node in self.group.nodes:
            await node.kill(power_loss=self.random.random() < 0.8)
        for node in self.group.nodes:
            self.tasks.spawn(self._start_later(node))
        return True

    def _can_lose_disk(self) -> bool:
        """Return whether every member is a voter with all committed entries.

        A group tolerates the loss of one disk at a time; the next one may be lost
        once the previous one has been repaired.
        """
        if not self._is_repaired():
            return False
        leader = self.group.leader()
        peers = leader.log.leadership.peers.values()
        return all(peer.match_index >= leader.log.member.commit_index for peer in peers)

    def _is_repaired(self) -> bool:
        """Return whether every member runs and is a voter by a committed change."""
        leader = self.group.leader()
        if leader is None or not all(node.is_running for node in self.group.nodes):
            return False
        member = leader.log.member
        voters = {voter.identity for voter in member.configuration.voters()}
        if member.configurations.index > member.commit_index:
            return False
        return voters == {node.log.member.identity for node in self.group.nodes}

    async def _heal(self) -> None:
        await self._heal_network()
        for node in self.group.nodes:
            node.disk.free_bytes = None
            node.disk.lose_power_at = None

    async def _verify_recovery(self) -> None:
        """Wait until all members are running voters; check that states are equal."""
        await self.group.wait_until(self._is_fully_replicated, RECOVERY_TIMEOUT_S)
        await self.group.wait_until(
            lambda: not self._is_any_disk_full(), RECOVERY_TIMEOUT_S
        )
        node = self.random.choice(self.group.nodes)
        outcome = await node.log.propose(Write(next(self.values)), 5.0)
        self.checker.require(
            outcome.is_ok(), f"a write after recovery failed: {outcome}"
        )
        await self.tasks.cancel()
        for node in self.group.nodes:
            barrier = await node.log.read_barrier(5.0)
            self.checker.require(
                barrier.is_ok(), "a read barrier after recovery failed"
            )
        await asyncio.sleep(1.0)
        self.checker.check_states()

    def _is_any_disk_full(self) -> bool:
        return any(node.log.member.storage.is_full for node in self.group.nodes)

    def _is_fully_replicated(self) -> bool:
        leader = self.group.leader()
        if leader is None or not all(node.is_running for node in self.group.nodes):
            return False
        if not all(node.log.leader_peer for node in self.group.nodes):
            return False
        voters = leader.log.member.configuration.voters()
        identities = {node.log.member.identity for node in self.group.nodes}
        return {voter.identity for voter in voters} == identities


def run_seed(seed: int) -> Search:
    """Run one seed; a violated invariant raises `ViolationError`."""
    with ExitStack() as stack:
        for name, value in SMALL_LIMITS.items():
            stack.enter_context(mock.patch.object(timing, name, value))
        search = Search(seed)
        virtual_time.run(search.run())
    return search


def main(argv: list[str]) -> None:
    """Run the seeds and print a line for each."""
    logs.configure(FLAGS.level)
    failed = 0
    for seed in range(FLAGS.first, FLAGS.first + FLAGS.seeds):
        started = time.monotonic()
        try:
            search = run_seed(seed)
            text = f"holds {search.checker.counts} {search.faults}"
        except Exception as exc:
            failed += 1
            text = f"FAILS {exc!r}"[:2000]
        print(f"seed={seed} took={time.monotonic() - started:.1f}s {text}", flush=True)
    print(f"{FLAGS.seeds - failed} hold, {failed} fail")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    flags.DEFINE_integer("first", 1, "The first seed.")
    flags.DEFINE_integer("seeds", 20, "How many seeds to run.")
    flags.DEFINE_string("level", "CRITICAL", "The lowest level of events shown.")
    app.run(main)
