"""Tests of finding out whether a server has ended, on loopback."""

import asyncio

from fuchsiacroft.routing import server_probe
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.ports import subnet
from fuchsiacroft.tests.fakes.replica import Replica

ADDRESS = f"{subnet('127.49', 3)}.1:8001"


class ServerProbeTests(SocketTestCase):
    """A server listens, or has ended."""

    async def test_a_server_that_listens_counts_as_ended(self):
        replica = Replica("i-1", ADDRESS)
        await replica.start()
        self.addAsyncCleanup(replica.stop)
        self.assertFalse(await server_probe.create().has_ended(ADDRESS))

    async def test_a_server_that_has_ended_is_not_noticed(self):
        async with asyncio.timeout(server_probe.PROBE_TIMEOUT_S):
            self.assertTrue(await server_probe.create().has_ended(ADDRESS))
