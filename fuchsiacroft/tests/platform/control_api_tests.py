"""Tests of the control API for replicas and the operator."""

import asyncio
import secrets
import time

import msgspec

from fuchsiacroft.tests.fakes import platform_wire
from fuchsiacroft.tests.fakes.platform_region import PlatformTestCase, config


class ConfigTests(PlatformTestCase):
    """The highest accepted version is in force on every member."""

    async def test_a_configuration_is_read_back_at_every_member(self):
        body = msgspec.json.encode(config(5, extra={"kept": [1, 2]}))
        self.assertEqual(200, await self.region.put_config(body, control=1))
        for control in range(3):
            self.assertEqual((200, body), await self.region.get_config(control))

    async def test_older_versions_are_acknowledged_and_change_nothing(self):
        newest = msgspec.json.encode(config(9))
        await self.region.put_config(newest)
        for version in (9, 8, 1):
            other = config(version, tenants=[])
            self.assertEqual(200, await self.region.put_config(other, control=2))
        self.assertEqual((200, newest), await self.region.get_config(1))

    async def test_invalid_configurations_are_refused_and_never_in_force(self):
        before = await self.region.get_config()
        shared = [{"name": n, "apiKeys": ["k"]} for n in ("a", "b")]
        for body in (
            msgspec.json.encode(config(50))[:-30],
            msgspec.json.encode(config(51, tenants=shared)),
            msgspec.json.encode(config(52, services=[])),
            b"\xff",
        ):
            self.assertEqual(400, await self.region.put_config(body))
        self.assertEqual(before, await self.region.get_config(2))

    async def test_a_version_over_64_bits_is_an_internal_error(self):
        before = await self.region.get_config()
        for version in (2**63, 2**64, 10**30):
            self.assertEqual(400, await self.region.put_config(config(version)))
        self.assertEqual(before, await self.region.get_config(2))

    async def test_a_change_that_no_message_carries_stops_all_later_ones(self):
        keys = [secrets.token_hex(32) for _ in range(140_000)]
        large = config(60, tenants=[{"name": "paysandu", "apiKeys": keys}])
        self.assertEqual(413, await self.region.put_config(large))
        for control in range(3):
            started_at = time.monotonic()
            accepted = await self.region.put_config(config(61 + control), control)
            self.assertEqual(200, accepted)
            self.assertLess(time.monotonic() - started_at, 1.0)

    async def test_a_new_route_is_in_force_at_every_entry_soon(self):
        await self.region.add_replica("till")
        document = config(3)
        document["routes"].append(
            document["routes"][0] | {"name": "new", "pathPrefix": "/new/"}
        )
        self.assertEqual(200, await self.region.put_config(document))
        await asyncio.sleep(0.3)
        for entry in range(2):
            got = await self.region.send_request("/new/1/", entry=entry)
            self.assertEqual(200, got.status)

    async def test_a_revoked_key_is_refused_soon(self):
        await self.region.add_replica("till")
        document = config(3, tenants=[{"name": "paysandu", "apiKeys": ["key-2"]}])
        await self.region.put_config(document)
        await asyncio.sleep(0.3)
        self.assertEqual(401, (await self.region.send_request("/stock/1/")).status)
        got = await self.region.send_request("/stock/1/", key="key-2")
        self.assertEqual(200, got.status)

    async def test_a_read_without_a_quorum_is_refused(self):
        for ip in self.region.controls[1:]:
            await self.region.kernels.pop(ip).stop()
        await asyncio.sleep(1.5)
        status, _ = await self.region.get_config(0)
        self.assertEqual(503, status)
        self.assertEqual(503, await self.region.put_config(config(20)))


class ReplicaTests(PlatformTestCase):
    """Replicas register, drain and deregister."""

    async def test_a_draining_replica_gets_no_requests_after_the_acknowledgement(self):
        first = await self.region.add_replica("till")
        second = await self.region.add_replica("till")
        self.assertEqual(
            200, await self.region.send_heartbeat(first, "till", "draining", 2)
        )
        before = len(first.received)
        for number in range(10):
            got = await self.region.send_request("/stock/1/", entry=number % 2)
            self.assertEqual(200, got.status)
        self.assertEqual(before, len(first.received))
        self.assertEqual(10, len(second.received))

    async def test_a_deregistered_replica_gets_no_more_requests(self):
        replica = await self.region.add_replica("till")
        url = self.region.url(1, f"/v1/replicas/{replica.replica_id}")
        self.assertEqual(200, await self.region.call("DELETE", url))
        self.assertEqual(503, (await self.region.send_request("/stock/1/")).status)
        self.assertEqual(200, await self.region.call("DELETE", url))

    async def test_a_heartbeat_without_a_start_time_brings_a_foreign_server(self):
        replica = await self.region.add_replica("till")
        foreign = await self.region.add_replica("other")
        fields = msgspec.json.decode(
            platform_wire.heartbeat(
                "till",
                foreign.address,
                zone="mvd-cordon",
                version="v1",
                slots=4,
                state="ready",
                sequence=1,
                born=1_000,
            )
        )
        del fields["born"]
        url = self.region.url(0, "/v1/replicas/camera-1")
        body = msgspec.json.encode(fields)
        self.assertEqual(400, await self.region.call("PUT", url, body))
        await asyncio.sleep(0.1)
        for number in range(10):
            got = await self.region.send_request("/stock/1/", entry=number % 2)
            self.assertEqual(200, got.status)
        self.assertEqual((10, 0), (len(replica.received), len(foreign.received)))

    async def test_servers_are_refused_where_none_tells_its_start(self):
        self.region.born = None
        for _ in range(2):
            await self.region.add_replica("till")
        self.assertEqual(200, (await self.region.send_request("/stock/1/")).status)

    async def test_invalid_heartbeats_are_refused_without_effect(self):
        await self.region.add_replica("till")
        url = self.region.url(0, "/v1/replicas/i-1")
        for body in (b"\xff", b"{}", b'{"service": 3}'):
            self.assertEqual(400, await self.region.call("PUT", url, body))
        self.assertEqual(200, (await self.region.send_request("/stock/1/")).status)
