"""Tests that an entry's route table is the newest and is never reverted."""

import asyncio
import zlib
from unittest import mock

from expression import Error, Ok

from fuchsiacroft.config import published_feed, route_table
from fuchsiacroft.config.published_feed import FetchPublishedUpdate, PublishedUpdate
from fuchsiacroft.config.published_follower import START_GRACE_S, PublishedFollower
from fuchsiacroft.config.route_table import CallerLimits
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.tests.fakes.bus import MemoryNetwork

SMALL_BODY_BYTES = 1_000
CONTROLS = ("10.1.0.1:7600", "10.1.0.2:7600")


def decode(body: bytes):
    """Decode a body that is a version number, or return an error."""
    if not body.isdigit():
        return Error(["unreadable"])
    return Ok(route_table.create_route_table(int(body), (), (), (), CallerLimits()))


class FixedRoster(Service):
    """A roster with two control members."""

    name = "roster"
    control_addresses = CONTROLS

    def on_control_members_change(self, listener) -> None:
        """Ignore the listener, as the control members never change."""


class FakeControlMember:
    """A control member that replies with the version set by a test."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.update = PublishedUpdate(0)
        bus = network.bus(address, address)
        bus.register_handler(FetchPublishedUpdate, self._on_fetch)

    def set_version(
        self, version: int, confirmed: bool = True, body: bytes = b""
    ) -> None:
        text = body or str(version).encode()
        self.update = PublishedUpdate(version, zlib.compress(text), confirmed)

    async def _on_fetch(
        self, sender: str, msg: FetchPublishedUpdate
    ) -> PublishedUpdate:
        if msg.version < self.update.version:
            return self.update
        await asyncio.sleep(min(msg.wait_s, 0.05))
        return PublishedUpdate(self.update.version, b"", self.update.confirmed)


class PublishedFollowerTests(PausedTestCase):
    """Two control members, one of which may have an older version."""

    def run_scenario(self, scenario) -> None:
        async def play() -> None:
            network = MemoryNetwork()
            controls = [FakeControlMember(network, address) for address in CONTROLS]
            follower = PublishedFollower(decode)
            kernel = Kernel()
            roster = FixedRoster()
            follower_bus = network.bus("edge-1", "10.2.0.1:7601")
            kernel.add(follower_bus)
            kernel.add(roster)
            kernel.add(follower)
            # FixedRoster is no Roster, so the type check of Kernel.get is replaced.
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
            controls[0].set_version(3)
            controls[1].set_version(5)
            await asyncio.sleep(1.0)
            self.assertEqual(5, follower.version)
            controls[0].set_version(7)
            await asyncio.sleep(0.5)
            self.assertEqual(7, follower.version)

        self.run_scenario(scenario)

    def test_a_body_that_is_not_compressed_ends_the_process(self):
        async def scenario(follower, controls):
            too_large = zlib.compress(bytes(SMALL_BODY_BYTES + 1))
            for body in (b"plain", zlib.compress(b"8")[:-3], too_large):
                controls[0].update = PublishedUpdate(9, body, True)
                controls[1].set_version(5)
                await asyncio.sleep(1.0)
                self.assertEqual(5, follower.version)
            controls[0].set_version(10)
            await asyncio.sleep(1.0)
            self.assertEqual(10, follower.version)

        with mock.patch.object(published_feed, "MAX_BODY_BYTES", SMALL_BODY_BYTES):
            self.run_scenario(scenario)

    def test_a_member_with_an_older_version_reverts_nothing(self):
        async def scenario(follower, controls):
            controls[0].set_version(5)
            await asyncio.sleep(1.0)
            controls[0].set_version(2)
            controls[1].set_version(4)
            await asyncio.sleep(2.0)
            self.assertEqual(5, follower.version)

        self.run_scenario(scenario)

    def test_a_starting_entry_waits_for_a_version_that_a_quorum_confirms(self):
        async def scenario(follower, controls):
            controls[0].set_version(3, confirmed=False)
            await asyncio.sleep(1.0)
            self.assertIsNone(follower.table)
            self.assertIsNotNone(follower.not_ready_reason())
            controls[1].set_version(4)
            await asyncio.sleep(0.5)
            self.assertEqual(4, follower.version)
            self.assertIsNone(follower.not_ready_reason())

        self.run_scenario(scenario)

    def test_a_starting_entry_without_a_quorum_uses_an_unconfirmed_version(self):
        async def scenario(follower, controls):
            controls[0].set_version(3, confirmed=False)
            await asyncio.sleep(START_GRACE_S + 0.5)
            self.assertEqual(3, follower.version)

        self.run_scenario(scenario)

    def test_the_age_of_a_version_does_not_count_a_suspension(self):
        async def scenario(follower, controls):
            controls[0].set_version(3)
            await asyncio.sleep(1.0)
            self.assertLess(follower.age_s, 1.0)
            asyncio.get_running_loop().suspend(5.0)
            self.assertGreaterEqual(follower.age_s, 5.0)

        self.run_scenario(scenario)

    def test_an_undecodable_body_changes_nothing(self):
        async def scenario(follower, controls):
            controls[0].set_version(3)
            await asyncio.sleep(1.0)
            controls[1].set_version(4, body=b"what?")
            await asyncio.sleep(1.0)
            self.assertEqual(3, follower.version)

        self.run_scenario(scenario)
