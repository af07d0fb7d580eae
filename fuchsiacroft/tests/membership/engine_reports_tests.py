"""Tests of the engine reports that entries send to the leader."""

import asyncio

from fuchsiacroft.config import current_document
from fuchsiacroft.config.document import Document, ServiceSpec
from fuchsiacroft.config.settings import Addresses, Member, Settings
from fuchsiacroft.control import inventory
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership import (
    backend_servers,
    engine_reports,
    ownership,
    service,
)
from fuchsiacroft.membership.announcement import (
    Announcement,
    Offer,
    RelayedAnnouncement,
)
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.bus import MemoryNetwork
from fuchsiacroft.tests.fakes.replicated_log import FakeLogGroup

ENTRY = "10.0.0.1:1"
CONTROL = ("10.0.0.8:1", "10.0.0.9:1")
REPORT_SETTLING_S = 20.0
SETTINGS = Settings(
    node="entry",
    failure_domain="d",
    region="r",
    addresses=Addresses("127.0.0.1:1", peers=ENTRY),
    control=[Member(f"control-{at}", "d", at) for at in CONTROL],
)


def announcement(name, *offers):
    return Announcement(
        name,
        "b",
        "d",
        "10.0.0.2:1",
        tuple(Offer(service_name) for service_name in offers),
        8,
    )


class ReportingDomain:
    """One entry, two control members, and announcing backend servers."""

    def __init__(self):
        self.network = MemoryNetwork()
        self.group = FakeLogGroup()
        self.logs = []
        self.inventories = []
        self.announcements = []
        self.kernels = []

    async def start(self):
        for address in CONTROL:
            await self.add(address, self.group.member(), inventory.create())
        self.logs = self.group.members
        document = current_document.create()
        document.document = Document(
            [], [ServiceSpec("m", "model"), ServiceSpec("p", "plain")], []
        )
        document._build_indexes()
        table = ownership.create(SETTINGS)
        directory = backend_servers.create(SETTINGS)
        directory.listeners.announced.append(lambda server: table.watch(server.name))
        await self.add(
            ENTRY,
            service.create(SETTINGS),
            table,
            document,
            directory,
            engine_reports.create(SETTINGS),
        )
        self.announcing = asyncio.create_task(self.announce())

    async def add(self, address, *services):
        kernel = Kernel()
        kernel.add(self.network.bus(address, address))
        for added in services:
            kernel.add(added)
            if isinstance(added, inventory.ReportedInventory):
                self.inventories.append(added)
        await kernel.start()
        self.kernels.append(kernel)

    async def announce(self):
        bus = self.network.bus("crowd", "10.0.0.3:1")
        while True:
            for sent in self.announcements:
                bus.send(ENTRY, RelayedAnnouncement(sent))
            await asyncio.sleep(1)

    async def stop(self):
        self.announcing.cancel()
        for kernel in self.kernels:
            await kernel.stop()

    def known_engines(self, member):
        return {
            engine.name: set(engine.models)
            for engine in self.inventories[member].engines()
        }


class EngineReportsTests(PausedTestCase):
    """The leader knows the engines, and a new leader gets a full report."""

    def run_scenario(self, scenario):
        async def run():
            domain = ReportingDomain()
            await domain.start()
            domain.announcements = [
                announcement("gpu-1", "m"),
                announcement("app", "p"),
            ]
            await asyncio.sleep(REPORT_SETTLING_S)
            try:
                await scenario(domain)
            finally:
                await domain.stop()

        self.run_paused(run())

    def test_engines_are_known_and_plain_backend_servers_are_not(self):
        async def scenario(domain):
            self.assertEqual({"d/gpu-1": {"m"}}, domain.known_engines(0))

        self.run_scenario(scenario)

    def test_a_change_and_a_departure_are_reported(self):
        async def scenario(domain):
            domain.announcements = [announcement("gpu-1")]
            await asyncio.sleep(10)
            self.assertEqual({"d/gpu-1": set()}, domain.known_engines(0))
            domain.announcements = []
            await asyncio.sleep(15)
            self.assertEqual({}, domain.known_engines(0))

        self.run_scenario(scenario)

    def test_a_new_leader_gets_a_full_report(self):
        async def scenario(domain):
            domain.group.elect(domain.logs[1])
            await asyncio.sleep(REPORT_SETTLING_S)
            self.assertEqual({"d/gpu-1": {"m"}}, domain.known_engines(1))

        self.run_scenario(scenario)

    def test_reports_of_an_isolated_entry_expire(self):
        async def scenario(domain):
            for address in CONTROL:
                domain.network.partition(ENTRY, address)
            await asyncio.sleep(inventory.REPORT_TTL_S + 5)
            self.assertEqual({}, domain.known_engines(0))

        self.run_scenario(scenario)
