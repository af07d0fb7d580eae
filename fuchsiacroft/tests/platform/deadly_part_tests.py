"""Tests of requests that share a prompt part which crashes replicas."""

import asyncio
import itertools

from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.platform_region import PlatformRegion
from fuchsiacroft.tests.fakes.replica import (
    LAST_CHUNK,
    Replica,
    chunk,
    sse_events,
    stream_head,
)

DEADLY = "dead0001"
REPLICAS = 8
MAX_CRASHES = 5
"""The users' rule counts requests that come after the fifth crash."""
RESTART_S = 1.0
HEARTBEAT_PERIOD_S = 0.5
DEADLY_PERIOD_S = 0.3
DEADLY_REQUESTS = 24
SOUND_PERIOD_S = 0.05
FAILURE_PERIOD_S = 2.0
RARE_REQUESTS = 8
RARE_PERIOD_S = 2.7


class FragileService:
    """Replicas that crash when they begin an answer on the deadly part.

    They crash on any request while the service `is_failing`.
    """

    def __init__(
        self,
        region: PlatformRegion,
        replicas: int = REPLICAS,
        restart_s: float = RESTART_S,
    ) -> None:
        self.region = region
        self._replicas = replicas
        self._restart_s = restart_s
        self.crashes = 0
        self.is_failing = False
        self._live: set[Replica] = set()
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        for _ in range(self._replicas):
            replica = await self.region.add_replica("lens")
            replica.handler = self.handler(replica)
            self._live.add(replica)
        self._tasks.append(asyncio.ensure_future(self.send_heartbeats()))

    async def send_heartbeats(self) -> None:
        while True:
            for replica in tuple(self._live):
                await self.region.send_heartbeat(replica, "lens")
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    def handler(self, replica: Replica):
        async def serve(req, writer):
            parts = req.get("Fuchsiacroft-Prefix-Hash") or ""
            await asyncio.sleep(0.02)
            writer.write(stream_head(req))
            if DEADLY in parts or self.is_failing:
                self.crashes += 1
                self._live.discard(replica)
                await replica.stop()
                self._tasks.append(asyncio.ensure_future(self.restart(replica)))
                return
            for number in (1, 2, 3):
                writer.write(chunk(sse_events(number)))
                await writer.drain()
                await asyncio.sleep(0.02)
            writer.write(LAST_CHUNK)

        return serve

    async def restart(self, crashed: Replica) -> None:
        """Start a new incarnation at the same address."""
        await asyncio.sleep(self._restart_s)
        replica = Replica(f"{crashed.replica_id}x", crashed.address)
        replica.handler = self.handler(replica)
        await replica.start()
        self.region.replicas.append(replica)
        self._live.add(replica)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class DeadlyPartTestCase(SocketTestCase):
    """Two entries in each of two failure domains, and one fragile service."""

    replicas = REPLICAS
    restart_s = RESTART_S

    async def asyncSetUp(self):
        self.region = PlatformRegion(4, zones=("mvd-cordon", "mvd-pocitos"))
        await self.region.start()
        self.addAsyncCleanup(self.region.stop)
        self.service = FragileService(self.region, self.replicas, self.restart_s)
        await self.service.start()
        self.addAsyncCleanup(self.service.stop)
        self.numbers = itertools.count(1)

    async def send(self, middle: str, entry: int, path: str = "/report/1"):
        """Send a request whose first part all requests share, and whose last none."""
        parts = f"c0ffee:60,{middle}:400,{next(self.numbers):x}:100"
        return await self.region.send_request(
            path,
            "Fuchsiacroft-Token-Count: 560,30",
            f"Fuchsiacroft-Prefix-Hash: {parts}",
            "Fuchsiacroft-Deadline-Ms: 4000",
            entry=entry % 4,
        )


class DeadlyPartTests(DeadlyPartTestCase):
    """Deadly requests among sound ones."""

    async def send_sound(self, responses: list) -> None:
        for number in itertools.count():
            response = await self.send(f"5000{number % 7}", number)
            responses.append(response.status)
            await asyncio.sleep(SOUND_PERIOD_S)

    async def test_new_requests_with_a_part_that_crashes_replicas_reach_no_more(self):
        sound: list[int] = []
        traffic = asyncio.ensure_future(self.send_sound(sound))
        deadly = []
        for number in range(DEADLY_REQUESTS):
            deadly.append(asyncio.ensure_future(self.send(DEADLY, number)))
            await asyncio.sleep(DEADLY_PERIOD_S)
        responses = await asyncio.gather(*deadly)
        traffic.cancel()
        self.assertLessEqual(self.service.crashes, MAX_CRASHES)
        for response in responses[DEADLY_REQUESTS // 2 :]:
            self.assertEqual(503, response.status)
            self.assertIn(b'"quarantined"', response.body)
        late = sound[len(sound) // 2 :]
        self.assertEqual([200] * len(late), late)


class LittleTrafficTests(DeadlyPartTestCase):
    """Deadly requests, one after the other, and no others."""

    replicas = 5
    restart_s = 5.0

    async def test_requests_that_are_lost_alone_reach_replicas_without_end(self):
        responses = []
        for number in range(RARE_REQUESTS):
            responses.append(await self.send(DEADLY, number, "/advice/1"))
            await asyncio.sleep(RARE_PERIOD_S)
        self.assertLessEqual(self.service.crashes, MAX_CRASHES)
        self.assertIn(b'"quarantined"', responses[-1].body)


class FailingServiceTests(DeadlyPartTestCase):
    """Two replicas that crash three times for a reason of their own."""

    replicas = 2

    async def test_a_part_that_all_requests_share_is_convicted(self):
        self.assertEqual(200, (await self.send("5001", 0)).status)
        self.service.is_failing = True
        for number in range(3):
            await self.send(f"60{number}", number)
            await asyncio.sleep(FAILURE_PERIOD_S)
        self.service.is_failing = False
        self.assertGreaterEqual(self.service.crashes, 3)
        responses = [await self.send(f"70{number}", number) for number in range(12)]
        self.assertEqual([200] * 12, [response.status for response in responses])
