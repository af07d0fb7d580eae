"""Tests that an entry's route table is the newest and never goes back."""

import asyncio
import zlib

from expression import Error, Ok

from fuchsiacroft.config import route_table
from fuchsiacroft.config.published_feed import FetchPublishedUpdate, PublishedUpdate
from fuchsiacroft.config.published_follower import START_PATIENCE_S, PublishedFollower
from fuchsiacroft.config.route_table import CallerLimits
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.bus import MemoryNetwork

CONTROLS = ("10.1.0.1:7600", "10.1.0.2:7600")


def decode(body: bytes):
    """Read a body that is a version, or a fault."""
    if not body.isdigit():
        return Error(["unreadable"])
    return Ok(route_table.create_route_table(int(body), (), (), (), CallerLimits()))


class FixedRoster(Service):
    """Names two control members."""

    name = "roster"
    control_addresses = CONTROLS

    def on_control_members_change(self, listener) -> None:
        """Never call the listener."""


class Control:
    """Answers fetches with the version that a test sets."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.news = PublishedUpdate(0)
        bus = network.bus(address, address)
        bus.register_handler(FetchPublishedUpdate, self._on_fetch)

    def hold(self, version: int, confirmed: bool = True, body: bytes = b"") -> None:
        text = body or str(version).encode()
        self.news = PublishedUpdate(version, zlib.compress(text), confirmed)

    async def _on_fetch(
        self, sender: str, msg: FetchPublishedUpdate
    ) -> PublishedUpdate:
        if msg.version < self.news.version:
            return self.news
        await asyncio.sleep(min(msg.wait_s, 0.05))
        return PublishedUpdate(self.news.version, b"", self.news.confirmed)


class PublishedFollowerTests(PausedTestCase):
    """Two control members, of which one may be behind."""

    def played(self, scenario) -> None:
        async def play() -> None:
            network = MemoryNetwork()
            controls = [Control(network, address) for address in CONTROLS]
            follower = PublishedFollower(decode)
            kernel = Kernel()
            roster = FixedRoster()
            follower_bus = network.bus("edge-1", "10.2.0.1:7601")
            kernel.add(follower_bus)
            kernel.add(roster)
            kernel.add(follower)
            # The roster's type is a protocol here: the follower looks it up by name.
            kernel.get = lambda name, kind: {"bus": follower_bus, "roster": roster}[
                name
            ]
            await follower.start(kernel)
            try:
                await scenario(follower, controls)
            finally:
                await follower.stop()

        self.run_paused(play())

    def test_the_highest_version_of_all_members_is_in_force(self):
        async def scenario(follower, controls):
            controls[0].hold(3)
            controls[1].hold(5)
            await asyncio.sleep(1.0)
            self.assertEqual(5, follower.version)
            controls[0].hold(7)
            await asyncio.sleep(0.5)
            self.assertEqual(7, follower.version)

        self.played(scenario)

    def test_a_member_that_is_behind_takes_nothing_back(self):
        async def scenario(follower, controls):
            controls[0].hold(5)
            await asyncio.sleep(1.0)
            controls[0].hold(2)
            controls[1].hold(4)
            await asyncio.sleep(2.0)
            self.assertEqual(5, follower.version)

        self.played(scenario)

    def test_a_start_waits_for_a_version_that_a_quorum_confirms(self):
        async def scenario(follower, controls):
            controls[0].hold(3, confirmed=False)
            await asyncio.sleep(1.0)
            self.assertIsNone(follower.table)
            self.assertIsNotNone(follower.not_ready_reason())
            controls[1].hold(4)
            await asyncio.sleep(0.5)
            self.assertEqual(4, follower.version)
            self.assertIsNone(follower.not_ready_reason())

        self.played(scenario)

    def test_a_start_without_a_quorum_does_with_what_there_is(self):
        async def scenario(follower, controls):
            controls[0].hold(3, confirmed=False)
            await asyncio.sleep(START_PATIENCE_S + 0.5)
            self.assertEqual(3, follower.version)

        self.played(scenario)

    def test_a_body_that_cannot_be_read_changes_nothing(self):
        async def scenario(follower, controls):
            controls[0].hold(3)
            await asyncio.sleep(1.0)
            controls[1].hold(4, body=b"what?")
            await asyncio.sleep(1.0)
            self.assertEqual(3, follower.version)

        self.played(scenario)
