"""A group of control members in one loop, with faults, for tests."""

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
    """Append a value to the list of the test machine."""

    value: int


@codec.message("test.written")
class Written(msgspec.Struct, frozen=True):
    """The length of the list after the write."""

    length: int


class ListMachine(StateMachine):
    """A list of the values written, in order."""

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
    """One member's process: started, killed and started again on its disk."""

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
        """Tell whether the process is started."""
        return self.log is not None

    @property
    def is_leader(self) -> bool:
        """Tell whether this member leads and its lease holds."""
        return self.is_running and self.log.is_leader

    async def start(self) -> None:
        """Start a new process on the disk."""
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
        """Stop the process at once; with a power loss unsynced bytes go.

        With `disk` the machine starts again with that disk.
        """
        self.boot += disk is not None
        log, bus, self.log = self.log, self.bus, None
        old, self.disk = self.disk, disk or self.disk
        if log is None:
            return
        if not self.folder.is_closed:
            self.folder.is_closed = True
            if power_loss:
                old.lose_unsynced_data()
        await bus.stop()
        await log.stop()

    async def restart(self) -> None:
        """Kill the process and start it on the same disk."""
        await self.kill()
        await self.start()

    async def lose_disk(self) -> None:
        """Kill the process and replace its disk by an empty one."""
        await self.kill(disk=MemoryDisk(self.group.random.randrange(1 << 30)))


class ConsensusGroup:
    """The members named in one list of settings."""

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
        """Return the settings of one member."""
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
        """Start a member with an empty disk that no settings list."""
        self.may_form_group = False
        node = Node(self, len(self.nodes) + 1)
        self.nodes.append(node)
        await node.start()
        return node

    def voters(self) -> set[str]:
        """Return the names of those who vote, as the leader knows them."""
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
        """Return the member that leads, if any."""
        for node in self.nodes:
            if node.is_leader:
                return node
        return None

    async def wait_leader(self, timeout: float = 10.0) -> Node:
        """Return the leader once there is one."""
        await self.wait_until(lambda: self.leader() is not None, timeout)
        return self.leader()

    async def wait_until(self, condition, timeout: float = 10.0) -> None:
        """Wait until a condition holds."""
        deadline = clock.now() + timeout
        while not condition():
            if clock.now() >= deadline:
                dumps = [node.log.dump() for node in self.nodes if node.is_running]
                raise AssertionError(f"not within {timeout} s: {dumps}")
            await asyncio.sleep(0.01)

    async def write(self, node: Node, *values: int, timeout: float = 5.0) -> list:
        """Propose values at once and return the outcomes."""
        return await asyncio.gather(
            *(node.log.propose(Write(value), timeout) for value in values)
        )
