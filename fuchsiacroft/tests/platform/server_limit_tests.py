"""Tests of replicas that name how many requests a second they take."""

import asyncio
import itertools

from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.platform_region import PlatformRegion
from fuchsiacroft.tests.fakes.replica import Replica, response
from fuchsiacroft.tests.fakes.windows import most_in_window

REQUEST_PERIOD_S = 0.04
SERVER_TIME_S = 0.12
HEARTBEAT_PERIOD_S = 0.5
WARM_UP_S = 0.5
WINDOW_S = 4.0
TELLING_S = 0.5
"""The users' rule counts requests of entries that were told this long before."""


def allowed(limit: float) -> float:
    """Return the most requests in `WINDOW_S` by the users' rule."""
    return 1.5 * limit * WINDOW_S + 5


class NamingReplica:
    """A replica that names `limit` in its answers, and the times of its requests."""

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.limit: str | None = None
        self.named_at: float | None = None
        self.times: list[float] = []
        replica.handler = self.serve

    async def serve(self, req, writer) -> None:
        loop = asyncio.get_running_loop()
        self.times.append(loop.time())
        await asyncio.sleep(SERVER_TIME_S)
        lines = []
        if self.limit is not None:
            lines.append(f"Server-Limit: {self.limit}")
            self.named_at = self.named_at or loop.time()
        writer.write(response(req, b"fine", "200 OK", *lines))

    def most_in_window(self) -> int:
        """Return the most requests in any window after the entries were told."""
        times = [at for at in self.times if at >= self.named_at + TELLING_S]
        return most_in_window(times, WINDOW_S)


class LimitTestCase(SocketTestCase):
    """Four entries in two failure domains, with servers in the first, and callers."""

    has_links = False

    async def asyncSetUp(self):
        self.region = PlatformRegion(
            4, zones=("mvd-cordon", "mvd-pocitos"), has_links=self.has_links
        )
        await self.region.start()
        self.addAsyncCleanup(self.region.stop)
        self.servers: list[NamingReplica] = []
        self.statuses: list[tuple[float, int]] = []
        self.live_entries = [0, 1, 2, 3]
        self.tasks = [asyncio.ensure_future(self.send_heartbeats())]
        self.addAsyncCleanup(self.stop_tasks)

    async def stop_tasks(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def add_servers(self, count: int) -> list[NamingReplica]:
        for _ in range(count):
            replica = await self.region.add_replica("till")
            self.servers.append(NamingReplica(replica))
        return self.servers

    async def send_heartbeats(self) -> None:
        while True:
            for server in self.servers:
                await self.region.send_heartbeat(server.replica, "till")
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    def start_callers(self, period_s: float = REQUEST_PERIOD_S) -> None:
        self.tasks.append(asyncio.ensure_future(self.send_requests(period_s)))

    async def send_requests(self, period_s: float) -> None:
        for number in itertools.count():
            entry = self.live_entries[number % len(self.live_entries)]
            self.tasks.append(asyncio.ensure_future(self.send_request(entry)))
            await asyncio.sleep(period_s)

    async def send_request(self, entry: int) -> None:
        sent_at = asyncio.get_running_loop().time()
        got = await self.region.send_request("/stock/1", entry=entry)
        self.statuses.append((sent_at, got.status))

    def assert_within_limit(self, server: NamingReplica) -> None:
        limit = float(server.limit)
        self.assertLessEqual(server.most_in_window(), allowed(limit))


class LimitTests(LimitTestCase):
    """The requests of all entries together stay within what a server names."""

    async def test_a_server_gets_more_than_its_limit_beside_free_servers(self):
        limited, _ = await self.add_servers(2)
        self.start_callers()
        await asyncio.sleep(WARM_UP_S)
        limited.limit = "1.3"
        await asyncio.sleep(TELLING_S + WINDOW_S)
        self.assert_within_limit(limited)

    async def test_servers_get_more_than_their_limits_when_none_is_without(self):
        servers = await self.add_servers(2)
        self.start_callers()
        await asyncio.sleep(WARM_UP_S)
        for server in servers:
            server.limit = "1.5"
        await asyncio.sleep(TELLING_S + WINDOW_S)
        for server in servers:
            self.assert_within_limit(server)

    async def test_a_server_gets_more_than_its_limit_while_a_coordinator_stops(self):
        limited, _ = await self.add_servers(2)
        self.start_callers()
        await asyncio.sleep(WARM_UP_S)
        limited.limit = "1"
        await asyncio.sleep(TELLING_S)
        self.live_entries = [1, 2, 3]
        ip = self.region.entries[0]
        kernel = self.region.kernels.pop(ip)
        await kernel.drain()
        await kernel.stop()
        await asyncio.sleep(WINDOW_S)
        self.assert_within_limit(limited)


class SilentLinksTests(LimitTestCase):
    """Open connections between the processes fall silent for good; new ones work."""

    has_links = True

    async def test_a_server_gets_more_than_its_limit_over_silent_connections(self):
        limited, _ = await self.add_servers(2)
        self.start_callers()
        await asyncio.sleep(WARM_UP_S)
        for ip in self.region.entries:
            self.region.links.silence_open(ip)
        limited.limit = "1.3"
        await asyncio.sleep(TELLING_S + WINDOW_S)
        self.assert_within_limit(limited)
