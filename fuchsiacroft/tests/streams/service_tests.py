"""Tests of finding out what began a stream, in a region in memory."""

import asyncio

from expression import Error, Ok

from fuchsiacroft.membership.server_notices import NO_START, ServerInstance
from fuchsiacroft.streams.begun_streams import MAX_SKEW_S
from fuchsiacroft.streams.lookup import OriginError
from fuchsiacroft.streams.origin import StreamOrigin
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.memory_region import DOMAINS, Entry, MemoryRegion
from fuchsiacroft.tests.membership.server_table_tests import record
from fuchsiacroft.utils.clock import wall_time

V1 = StreamOrigin("lens", "v1")
V2 = StreamOrigin("lens", "v2")
UNKNOWN = Error(OriginError.UNKNOWN)
DISCOVERY_S = 2.0
TOLD_S = 0.05
KEPT_S = 4.0
SERVER = ServerInstance("i-1", NO_START)
LONG_S = 5.0
"""Longer than a stream may last."""
MAX_REFUSAL_S = 0.6


class StreamOriginsTests(PausedTestCase):
    """Two entries in each of three failure domains."""

    def play(self, scenario) -> None:
        async def run() -> None:
            self.region = MemoryRegion(DOMAINS * 2)
            await self.region.start()
            try:
                await asyncio.sleep(DISCOVERY_S)
                await scenario()
            finally:
                await self.region.stop()

        self.run_paused(run())

    def begin(
        self,
        entry: Entry,
        origin: StreamOrigin = V1,
        name: str = "r",
        server: ServerInstance = SERVER,
        kept_s: float = KEPT_S,
    ) -> None:
        entry.origins.record("tills", name, origin, kept_s, server)

    async def find(
        self,
        entry: Entry,
        workspace: str = "tills",
        name: str = "r",
        services: tuple[str, ...] = ("lens",),
    ):
        return await entry.origins.find(workspace, name, services, KEPT_S)

    async def announce(self, *versions: str) -> None:
        for number, version in enumerate(versions):
            server = record(
                f"i-{version}", version=version, address=f"10.9.0.{number}:80"
            )
            for member in self.region.members:
                await member.registry.report(server)
        await asyncio.sleep(0.5)

    def test_another_entry_does_not_know_what_began_a_stream(self):
        async def scenario():
            self.begin(self.region.entries[0])
            await asyncio.sleep(TOLD_S)
            for entry in self.region.entries:
                self.assertEqual(Ok(V1), await self.find(entry))

        self.play(scenario)

    def test_a_stream_taken_up_at_once_overtakes_its_origin(self):
        async def scenario():
            finding = [
                asyncio.ensure_future(self.find(entry))
                for entry in self.region.entries[1:]
            ]
            await asyncio.sleep(0.01)
            self.begin(self.region.entries[0])
            self.assertEqual([Ok(V1)] * 5, await asyncio.gather(*finding))

        self.play(scenario)

    def test_an_origin_is_lost_with_its_entry_and_failure_domain(self):
        async def scenario():
            entries = self.region.entries
            self.begin(entries[0])
            await asyncio.sleep(TOLD_S)
            for entry in (entries[0], entries[3]):
                self.region.isolate(entry.address)
            for entry in (entries[1], entries[2], entries[4], entries[5]):
                self.assertEqual(Ok(V1), await self.find(entry))

        self.play(scenario)

    def test_a_domain_that_is_cut_off_does_not_know_what_began_its_streams(self):
        async def scenario():
            entries = self.region.entries
            self.begin(entries[0])
            await asyncio.sleep(TOLD_S)
            inside = {entries[0].address, entries[3].address}
            for address in tuple(self.region.network.buses):
                for own in inside - {address}:
                    if address not in inside:
                        self.region.network.partition(address, own)
            self.assertEqual(Ok(V1), await self.find(entries[3]))
            self.assertEqual(Ok(V1), await self.find(entries[1]))

        self.play(scenario)

    async def restart(self, version: str, age_s: float) -> ServerInstance:
        """Announce a start of the server that began `age_s` ago by its clock."""
        born_ms = round((wall_time() - age_s) * 1000)
        for member in self.region.members:
            await member.registry.report(record(born_ms=born_ms, version=version))
        await asyncio.sleep(0.5)
        return ServerInstance("i-1", str(born_ms))

    async def find_after_idle_restart(self, version: str, age_s: float = 0.5) -> set:
        """Begin a stream before another start of its server is known."""
        server = await self.restart("v1", 60.0)
        self.begin(self.region.entries[0], server=server)
        await asyncio.sleep(TOLD_S)
        await self.restart(version, age_s)
        found = [await self.find(entry) for entry in self.region.entries]
        return set(map(repr, found))

    def test_a_stream_that_an_unknown_start_may_have_begun_has_a_certain_origin(self):
        async def scenario():
            ambiguous = repr(Error(OriginError.AMBIGUOUS))
            self.assertEqual({ambiguous}, await self.find_after_idle_restart("v2"))

        self.play(scenario)

    def test_a_message_about_a_stream_is_later_than_the_heartbeat_of_its_server(self):
        async def scenario():
            server = await self.restart("v1", 60.0)
            await self.restart("v2", 0.5)
            self.begin(self.region.entries[0], server=server)
            await asyncio.sleep(TOLD_S)
            ambiguous = Error(OriginError.AMBIGUOUS)
            for entry in self.region.entries:
                self.assertEqual(ambiguous, await self.find(entry))

        self.play(scenario)

    def test_an_entry_that_knows_only_the_earlier_start_doubts_the_later_one(self):
        async def scenario():
            await self.restart("v1", 60.0)
            later = ServerInstance("i-1", str(round(wall_time() * 1000)))
            self.begin(self.region.entries[0], V2, server=later)
            await asyncio.sleep(TOLD_S)
            for entry in self.region.entries:
                self.assertEqual(Ok(V2), await self.find(entry))

        self.play(scenario)

    def test_a_restart_at_the_same_version_makes_an_origin_uncertain(self):
        async def scenario():
            known = repr(Ok(V1))
            self.assertEqual({known}, await self.find_after_idle_restart("v1"))

        self.play(scenario)

    def test_a_later_start_makes_the_origin_of_an_older_stream_uncertain(self):
        async def scenario():
            server = await self.restart("v1", 60.0)
            self.begin(self.region.entries[0], server=server, kept_s=60.0)
            await asyncio.sleep(MAX_SKEW_S + 1.0)
            await self.restart("v2", 0.0)
            for entry in self.region.entries:
                self.assertEqual(Ok(V1), await self.find(entry))

        self.play(scenario)

    def test_one_workspace_learns_of_the_streams_of_another(self):
        async def scenario():
            self.begin(self.region.entries[0])
            await asyncio.sleep(TOLD_S)
            for entry in self.region.entries:
                self.assertEqual(UNKNOWN, await self.find(entry, "kits"))

        self.play(scenario)

    def test_an_id_used_twice_tells_one_of_two_origins(self):
        async def scenario():
            entries = self.region.entries
            self.begin(entries[0], V1)
            self.begin(entries[1], V2)
            await asyncio.sleep(TOLD_S)
            ambiguous = Error(OriginError.AMBIGUOUS)
            self.assertEqual(ambiguous, await self.find(entries[5]))

        self.play(scenario)

    def test_a_stream_of_unknown_origin_is_refused_beside_one_version(self):
        async def scenario():
            await self.announce("v1")
            await asyncio.sleep(LONG_S)
            for entry in self.region.entries:
                self.assertEqual(Ok(V1), await self.find(entry))

        self.play(scenario)

    def test_a_version_is_guessed_beside_another_one(self):
        async def scenario():
            await self.announce("v1", "v2")
            await asyncio.sleep(LONG_S)
            self.assertEqual(UNKNOWN, await self.find(self.region.entries[0]))

        self.play(scenario)

    def test_one_of_two_services_of_the_same_version_is_guessed(self):
        async def scenario():
            await self.announce("v1")
            await asyncio.sleep(LONG_S)
            entry = self.region.entries[0]
            self.assertEqual(UNKNOWN, await self.find(entry, services=("lens", "till")))

        self.play(scenario)

    def test_a_version_is_guessed_by_an_entry_that_is_cut_off(self):
        async def scenario():
            await self.announce("v1")
            await asyncio.sleep(LONG_S)
            entry = self.region.entries[0]
            self.region.isolate(entry.address)
            self.assertEqual(UNKNOWN, await self.find(entry))
            await asyncio.sleep(LONG_S)
            self.assertEqual(UNKNOWN, await self.find(entry))

        self.play(scenario)

    def test_a_refusal_takes_long(self):
        async def scenario():
            entry = self.region.entries[0]
            self.region.isolate(entry.address)
            async with asyncio.timeout(MAX_REFUSAL_S):
                self.assertEqual(UNKNOWN, await self.find(entry))

        self.play(scenario)
