"""Tests of processes whose settings name other control members while they run."""

import asyncio

from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.platform_region import PlatformRegion, config
from fuchsiacroft.tests.fakes.ports import subnet

CONTACT_S = 3.0
"""An entry counts as in contact again so long after a disturbance."""
CONVERGE_S = 2.0
"""A version must be in force so long after its acknowledgement."""


class ChangedSeedsTests(SocketTestCase):
    """Three control members and two entries; no process stops."""

    async def asyncSetUp(self):
        self.region = PlatformRegion(entries=2, has_links=True)
        await self.region.start()
        self.addAsyncCleanup(self.region.stop)
        self.down = [f"{subnet('127.40', 9)}.{n}" for n in (101, 102, 103)]

    async def assert_new_route_is_served(self):
        document = config(version=2)
        added = document["routes"][0] | {"name": "added", "pathPrefix": "/added/"}
        document["routes"].append(added)
        while await self.region.put_config(document) != 200:
            await asyncio.sleep(0.1)
        await asyncio.sleep(CONVERGE_S)
        for number in range(2):
            response = await self.region.send_request("/added/x", entry=number)
            self.assertNotEqual(404, response.status)

    async def test_entries_miss_a_version_when_their_seeds_change_to_ones_down(self):
        for ip in self.region.entries:
            self.region.change_seeds(ip, self.down)
        await asyncio.sleep(CONTACT_S)
        await self.assert_new_route_is_served()
        for ip in self.region.entries:
            self.assertEqual(200, await self.region.readiness(ip))

    async def test_entries_miss_a_version_when_their_connections_fail_after_that(self):
        for ip in self.region.entries:
            self.region.change_seeds(ip, self.down)
            self.region.change_seeds(ip, [])
        for ip in self.region.entries:
            self.region.links.silence_open(ip)
        await asyncio.sleep(CONTACT_S)
        await self.assert_new_route_is_served()

    async def test_entries_forget_members_when_the_seeds_of_members_change(self):
        for ip in (*self.region.controls, *self.region.entries):
            self.region.change_seeds(ip, self.down)
        await asyncio.sleep(CONTACT_S)
        for ip in self.region.entries:
            roster = self.region.kernels[ip].get("roster", Roster)
            self.assertTrue(roster.reaches_most_controls)
        await self.assert_new_route_is_served()
