"""Tests for what entries know after their connections have failed."""

import asyncio

from fuchsiacroft.membership.registry import ENTRY_TIMEOUT_S, SWEEP_PERIOD_S
from fuchsiacroft.placing.neighbours import Neighbours
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.platform_region import PlatformRegion, config

CONTACT_S = 3.0
"""An entry counts as in contact again so long after an outage of its links."""
CONVERGE_S = 2.0
"""A version must be in force so long after its acknowledgement."""
DRAIN_S = 2.0
"""A server must get no more requests so long after its leave is acknowledged."""
CHANGE_S = 0.5
"""Time after the start of an outage at which something changes."""


class CoordinatorOutageTests(SocketTestCase):
    """Connections between coordinators fail while new ones still work."""

    async def test_coordinators_with_silent_connections_get_no_more_reports(self):
        zones = ("mvd-cordon", "mvd-pocitos")
        region = PlatformRegion(entries=2, has_links=True, zones=zones)
        await region.start()
        self.addAsyncCleanup(region.stop)
        neighbours = [
            region.kernels[ip].get("neighbours", Neighbours) for ip in region.entries
        ]
        for ip in region.entries:
            region.links.silence_open(ip)
        await asyncio.sleep(CONTACT_S)
        for number, zone in enumerate(reversed(zones)):
            self.assertLess(neighbours[number].dump()[zone]["age_s"], 0.5)


class OutageTests(SocketTestCase):
    """Connections of processes fail while new ones still work."""

    async def asyncSetUp(self):
        self.region = PlatformRegion(entries=3, has_links=True)
        await self.region.start()
        self.addAsyncCleanup(self.region.stop)
        self.clock = asyncio.get_running_loop().time

    def silence(self, *processes):
        """Silence the open connections of processes; return the time."""
        for ip in processes:
            self.region.links.silence_open(ip)
        return self.clock()

    async def acknowledge_new_route(self):
        """Send a version that adds a route until it is acknowledged; return when."""
        document = config(version=2)
        added = document["routes"][0] | {"name": "added", "pathPrefix": "/added/"}
        document["routes"].append(added)
        control = 0
        while await self.region.put_config(document, control % 3) != 200:
            control += 1
            await asyncio.sleep(0.1)
        return self.clock()

    async def acknowledge_leave(self, replica):
        """Report that a server leaves until it is acknowledged; return when."""
        control = 0
        while (
            await self.region.send_heartbeat(replica, "till", "draining", control % 3)
            != 200
        ):
            control += 1
            await asyncio.sleep(0.1)
        return self.clock()

    async def sleep_until(self, at):
        await asyncio.sleep(at - self.clock())

    async def statuses(self, path):
        """Return the status of a request to each entry, sent at the same time."""
        requests = [self.region.send_request(path, entry=n) for n in range(3)]
        return [response.status for response in await asyncio.gather(*requests)]

    async def assert_new_route_is_served_in_time(self, silent_at):
        await asyncio.sleep(CHANGE_S)
        acknowledged_at = await self.acknowledge_new_route()
        await self.sleep_until(max(acknowledged_at + CONVERGE_S, silent_at + CONTACT_S))
        self.assertNotIn(404, await self.statuses("/added/x"))

    async def test_entries_with_silent_connections_miss_a_version(self):
        silent_at = self.silence(*self.region.entries)
        await self.assert_new_route_is_served_in_time(silent_at)

    async def test_a_version_is_missed_where_all_connections_are_silent(self):
        silent_at = self.silence(*self.region.controls, *self.region.entries)
        await self.assert_new_route_is_served_in_time(silent_at)

    async def test_entries_with_silent_connections_miss_a_leave(self):
        replica = await self.region.add_replica("till")
        silent_at = self.silence(*self.region.entries)
        await asyncio.sleep(ENTRY_TIMEOUT_S + 2 * SWEEP_PERIOD_S)
        left_at = await self.acknowledge_leave(replica)
        await self.sleep_until(max(left_at + DRAIN_S, silent_at + CONTACT_S))
        await self.statuses("/stock/x")
        self.assertEqual([], replica.received)
