"""A consensus group of control members in one event loop, with fault injection."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from fuchsiacroft.config.settings import Addresses, Member, Settings
from fuchsiacroft.control import consensus
from fuchsiacroft.control.log import StateMachine
from fuchsiacroft.control.storage import Storage
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.tests.fakes.folder import MemoryDisk, MemoryFolder
from fuchsiacroft.tests.fakes.reordering_network import ReorderingNetwork
from fuchsiacroft.transport import codec
from fuchsiacroft.utils import clock


@codec.message("test.write")
class Write(msgspec.Struct, frozen=True):
    """Command that appends a value to the list of the test state machine."""

    value: int


@codec.message("test.written")
class Written(msgspec.Struct, frozen=True):
    """Result of a write: the length of the list after it."""

    length: int


class ListMachine(StateMachine):
    """State machine that stores the written values in order."""

    def __init__(self, on_apply: Callable[[int, int], None] | None = None) -> None:
        self.values: list[int] = []
        self._on_apply = on_apply

    @property
    def commands(self):
        return (Write,)

    def apply(self, index, command):
        self.values.append(command.value)
        if self._on_apply is not None:
            self._on_apply(index, command.value)
        return Written(len(self.values))

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.values)

    def restore(self, data: bytes) -> None:
        self.values = msgspec.msgpack.decode(data, type=list[int])


class Node:
    """The process of one member, which can be killed and restarted on its disk."""

    def __init__(self, group: "ConsensusGroup", number: int) -> None:
        self.group = group
        self.name = f"control-{number}"
        self.address = f"10.0.0.{number}:7000"
        self.disk = MemoryDisk(group.random.randrange(1 << 30))
        self.boot = 0
        self.machine = ListMachine()
        self.log: consensus.ConsensusLog | None = None
        self.bus = None
        self.folder: MemoryFolder | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.log is not None

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader and its lease is valid."""
        return self.is_running and self.log.is_leader

    async def start(self) -> None:
        """Start a new process that uses the disk."""
        self.machine = ListMachine(self.group.on_apply)
        self.folder = MemoryFolder(self.disk)
        self.bus = self.group.network.bus(self.name, self.address)
        storage = Storage(self.folder, self.name, f"boot-{self.boot}")
        rng = random.Random(self.group.random.randrange(1 << 30))
        log = consensus.create(self.group.settings(self), self.bus, storage, rng)
        log.register_state_machine("list", self.machine)
        self.log = log
        self.group.on_start(self)
        await log.start(Kernel())

    async def kill(
        self, power_loss: bool = True, disk: MemoryDisk | None = None
    ) -> None:
        """Kill the process; with `power_loss`, its unsynced data is lost.

        With `disk`, that disk replaces the present one, and the next start counts as a
        new boot of the machine.
        """
        self.boot += disk is not None
        log, bus, self.log = self.log, self.bus, None
        previous_disk, self.disk = self.disk, disk or self.disk
        if log is None:
            return
        if not self.folder.is_closed:
            self.folder.is_closed = True
            if power_loss:
                previous_disk.lose_unsynced_data()
        await bus.stop()
        await log.stop()

    async def restart(self) -> None:
        """Kill the process and start a new one on the same disk."""
        await self.kill()
        await self.start()

    async def lose_disk(self) -> None:
        """Kill the process and replace its disk with an empty one."""
        await self.kill(disk=MemoryDisk(self.group.random.randrange(1 << 30)))


class ConsensusGroup:
    """Control members on an in-memory network; settings list those of the start."""

    def __init__(
        self, size: int = 3, seed: int = 0, wanted_voters: int | None = None
    ) -> None:
        self.wanted_voters = wanted_voters
        self.may_form_group = True
        self.random = random.Random(seed)
        self.network = ReorderingNetwork(self.random.randrange(1 << 30))
        self.on_apply: Callable[[int, int], None] | None = None
        self.on_start: Callable[[Node], None] = lambda node: None
        self.nodes = [Node(self, number) for number in range(1, size + 1)]
        self.listed = tuple(self.nodes)

    def settings(self, node: Node) -> Settings:
        """Return the settings of a member."""
        members = [Member(n.name, "hall-lausanne", n.address) for n in self.listed]
        addresses = Addresses("10.0.0.1:1", peers=node.address)
        return Settings(
            node.name,
            "hall-lausanne",
            "ch",
            addresses,
            members,
            may_form_group=self.may_form_group,
            wanted_voters=self.wanted_voters,
        )

    async def add(self) -> Node:
        """Start a member with an empty disk that is not listed in the settings."""
        self.may_form_group = False
        node = Node(self, len(self.nodes) + 1)
        self.nodes.append(node)
        await node.start()
        return node

    def voters(self) -> set[str]:
        """Return the names of the voters in the leader's configuration."""
        voters = self.leader().log.member.configuration.voters()
        return {voter.node for voter in voters}

    async def start(self) -> None:
        """Start every member."""
        for node in self.nodes:
            await node.start()

    async def stop(self) -> None:
        """Stop every member."""
        for node in self.nodes:
            await node.kill(power_loss=False)
        await self.network.tasks.cancel()

    def leader(self) -> Node | None:
        """Return the current leader, if there is one."""
        for node in self.nodes:
            if node.is_leader:
                return node
        return None

    async def wait_leader(self, timeout: float = 10.0) -> Node:
        """Wait until a leader is elected and return it."""
        await self.wait_until(lambda: self.leader() is not None, timeout)
        return self.leader()

    async def wait_until(self, condition, timeout: float = 10.0) -> None:
        """Wait until a condition holds; fail after `timeout` seconds."""
        deadline = clock.now() + timeout
        while not condition():
            if clock.now() >= deadline:
                dumps = [node.log.dump() for node in self.nodes if node.is_running]
                raise AssertionError(f"condition not met within {timeout} s: {dumps}")
            await asyncio.sleep(0.01)

    async def write(self, node: Node, *values: int, timeout: float = 5.0) -> list:
        """Propose values concurrently and return the outcomes."""
        return await asyncio.gather(
            *(node.log.propose(Write(value), timeout) for value in values)
        )
