"""Tests that streams go on while an entry that keeps their origin is cut off."""

import asyncio

from fuchsiacroft.membership.rendezvous import choose_owners
from fuchsiacroft.streams.origin import stream_key
from fuchsiacroft.tests.fakes import versioned_streams
from fuchsiacroft.tests.fakes.platform_region import PlatformRegion, config
from fuchsiacroft.tests.fakes.versioned_streams import READ_BEFORE_BREAK, Stream
from fuchsiacroft.tests.platform.stream_versions_tests import StreamVersionsTestCase

WORKSPACE = "paysandu"
CUT_S = 2.5
TIMEOUT_MS = 30_000
"""An origin is kept for the time of its route, which a slow test must not exceed."""
KNOWN_S = 0.4
"""The others have noticed a cut by then."""


class CutOriginsTestCase(StreamVersionsTestCase):
    """Entries whose links can be cut; servers of two versions in the first domain."""

    zones = ("mvd-cordon",)
    entry_count = 4

    def create_region(self) -> PlatformRegion:
        """Return a region with links."""
        return PlatformRegion(self.entry_count, has_links=True, zones=self.zones)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        document = config(version=2)
        document["routes"][-1]["timeoutMs"] = TIMEOUT_MS
        self.assertEqual(200, await self.region.put_config(document))
        await self.add_servers("v1")
        await self.add_servers("v1.1")

    def cut(self, *entries: int) -> asyncio.Task:
        """Cut entries off from all others, but not from each other."""
        ips = [self.region.entries[number] for number in entries]
        return asyncio.ensure_future(self.region.links.cut_group(ips, CUT_S))

    def stream_owned_by(self, *entries: int) -> Stream:
        """Return a new stream for whose key these entries are ranked first."""
        wanted = [f"node-{self.region.entries[number]}" for number in entries]
        domain = [
            f"node-{ip}"
            for number, ip in enumerate(self.region.entries)
            if number % len(self.zones) == entries[0] % len(self.zones)
        ]
        while True:
            stream = versioned_streams.new_stream(self.region)
            key = stream_key(WORKSPACE, stream.first_id)
            if choose_owners(key, domain, len(wanted)) == wanted:
                return stream

    async def begin(self, stream: Stream, entry: int):
        """Read a stream's first events."""
        await versioned_streams.read_events(
            self.region,
            stream,
            entry,
            attempt_id=stream.first_id,
            most=READ_BEFORE_BREAK,
        )

    async def take_up(self, stream: Stream, entry: int):
        """Take a stream up."""
        await versioned_streams.take_up(self.region, stream, entry)

    def assert_all_go_on(self, streams: list[Stream]):
        """Check that each stream was completed at the version that began it."""
        self.assertEqual([], versioned_streams.mixed(streams))
        self.assertEqual([[200, 200]] * len(streams), [s.statuses for s in streams])


class OneDomainTests(CutOriginsTestCase):
    """All entries are in one failure domain; some of them are cut off."""

    async def test_a_stream_whose_owner_is_cut_off_is_unknown_to_the_others(self):
        cut = self.cut(3)
        await asyncio.sleep(KNOWN_S)
        streams = [self.stream_owned_by(3) for _ in range(6)]
        for number, stream in enumerate(streams):
            await self.begin(stream, number % 3)
        for number, stream in enumerate(streams):
            await self.take_up(stream, (number + 1) % 3)
        self.assert_all_go_on(streams)
        await cut

    async def test_a_stream_is_unknown_to_its_owner_after_it_was_cut_off(self):
        cut = self.cut(3)
        await asyncio.sleep(KNOWN_S)
        streams = [self.stream_owned_by(3) for _ in range(6)]
        for number, stream in enumerate(streams):
            await self.begin(stream, number % 3)
        await cut
        await asyncio.sleep(1.0)
        for stream in streams:
            await self.take_up(stream, 3)
        self.assert_all_go_on(streams)

    async def test_a_stream_is_unknown_while_two_entries_are_cut_off(self):
        cut = self.cut(2, 3)
        await asyncio.sleep(KNOWN_S)
        streams = [self.stream_owned_by(2, 3) for _ in range(4)]
        for number, stream in enumerate(streams):
            await self.begin(stream, number % 2)
        for number, stream in enumerate(streams):
            await self.take_up(stream, (number + 1) % 2)
        self.assert_all_go_on(streams)
        await cut


class CutDomainTests(CutOriginsTestCase):
    """A whole failure domain is cut off, with the servers that began its streams."""

    zones = ("mvd-cordon", "mvd-pocitos", "mvd-carrasco")
    entry_count = 6

    async def test_a_stream_is_unknown_if_its_entry_stops_in_the_middle_of_a_cut(self):
        cut = self.cut(0, 3)
        await asyncio.sleep(KNOWN_S)
        streams = [self.stream_owned_by(0) for _ in range(4)]
        for stream in streams:
            await self.begin(stream, 0)
        await self.region.kernels.pop(self.region.entries[0]).stop()
        for stream in streams:
            await self.take_up(stream, 3)
        self.assert_all_go_on(streams)
        await cut
