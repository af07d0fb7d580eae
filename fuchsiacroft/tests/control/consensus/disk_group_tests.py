"""Tests of a group over real sockets and real disks, in one process."""

import asyncio
import tempfile
from pathlib import Path

from fuchsiacroft.config.settings import Addresses, Member, Settings
from fuchsiacroft.control import consensus, storage
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.consensus_group import ListMachine, Write
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.transport import zmq_bus

SIZE = 3
TIMEOUT_S = 10.0

ELECTION_WAIT_S = 60.0
POLL_S = 0.05


class DiskGroupTests(SocketTestCase):
    """Committed commands survive a restart of all members."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.addresses = [free_address() for _ in range(SIZE)]

    async def start_group(self):
        members = [
            Member(f"control-{n}", "hall-lausanne", address)
            for n, address in enumerate(self.addresses)
        ]
        started = []
        for number, address in enumerate(self.addresses):
            name = f"control-{number}"
            addresses = Addresses(address, peers=address)
            settings = Settings(name, "hall-lausanne", "ch", addresses, members)
            bus = zmq_bus.create(name, address)
            log = consensus.create(
                settings, bus, storage.create(self.folder / name, name)
            )
            machine = ListMachine()
            log.register_state_machine("list", machine)
            await bus.start(Kernel())
            await log.start(Kernel())
            started.append((bus, log, machine))
        self.addAsyncCleanup(self.stop_group, started)
        await self.wait_leader(started)
        return started

    async def wait_leader(self, started):
        """Wait for an election; its duration depends on the machine's disks."""
        async with asyncio.timeout(ELECTION_WAIT_S):
            while not all(log.leader_peer for _, log, _ in started):
                await asyncio.sleep(POLL_S)

    async def stop_group(self, started):
        for bus, log, _ in started:
            await log.stop()
            await bus.stop()

    async def test_commands_are_committed_and_survive_a_restart(self):
        started = await self.start_group()
        outcomes = await asyncio.gather(
            *(log.propose(Write(n), TIMEOUT_S) for n, (_, log, _) in enumerate(started))
        )
        self.assertTrue(all(outcome.is_ok() for outcome in outcomes))
        await self.stop_group(started)
        started = await self.start_group()
        for _, log, machine in started:
            barrier = await log.read_barrier(TIMEOUT_S)
            self.assertTrue(barrier.is_ok())
            self.assertEqual(list(range(SIZE)), sorted(machine.values))
        await self.stop_group(started)
