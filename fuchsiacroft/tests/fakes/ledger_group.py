"""A consensus group that replicates the ledger, with ledger clients of entries."""

import random

from fuchsiacroft.config.settings import Addresses, Member, Settings
from fuchsiacroft.control import consensus, ledger_service
from fuchsiacroft.control.ledger import LedgerState
from fuchsiacroft.control.storage import Storage
from fuchsiacroft.entry import ledger_client
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.tests.fakes.consensus_group import ConsensusGroup, Node
from fuchsiacroft.tests.fakes.folder import MemoryFolder


class LedgerNode(Node):
    """A control member whose state machine is the ledger."""

    async def start(self) -> None:
        """Start a new process that uses the disk."""
        self.state = LedgerState()
        self.folder = MemoryFolder(self.disk)
        self.bus = self.group.network.bus(self.name, self.address)
        storage = Storage(self.folder, self.name, f"boot-{self.boot}")
        rng = random.Random(self.group.random.randrange(1 << 30))
        log = consensus.create(self.group.settings(self), self.bus, storage, rng)
        log.register_state_machine("ledger", self.state)
        self.log = log
        self.service = ledger_service.create(self.state)
        kernel = Kernel()
        for service in (self.bus, log, self.service):
            kernel.add(service)
        await kernel.start()

    async def kill(self, power_loss: bool = True) -> None:
        """Kill the process; with `power_loss`, its unsynced data is lost."""
        if self.is_running:
            await self.service.stop()
        await super().kill(power_loss)


class LedgerGroup(ConsensusGroup):
    """Three control members, and ledger clients at numbered addresses."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(3, seed)
        self.nodes = [LedgerNode(self, number) for number in (1, 2, 3)]
        self._clients = []

    async def client(self, number: int) -> ledger_client.LedgerClient:
        """Start the ledger client of a new entry and return it."""
        address = self.client_address(number)
        settings = Settings(
            node=f"entry-{number}",
            failure_domain="hall-lausanne",
            region="ch",
            addresses=Addresses("10.0.0.1:1", peers=address),
            control=[Member(n.name, "hall-lausanne", n.address) for n in self.nodes],
        )
        client = ledger_client.create(settings, random.Random(number))
        kernel = Kernel()
        kernel.add(self.network.bus(settings.node, address))
        kernel.add(client)
        await kernel.start()
        self._clients.append(client)
        return client

    def client_address(self, number: int) -> str:
        """Return the address of an entry's ledger client."""
        return f"10.0.1.{number}:7000"

    async def stop(self) -> None:
        """Stop every client and member."""
        for client in self._clients:
            await client.stop()
        await super().stop()
