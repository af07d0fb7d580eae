"""Tests of the memory of an entry whose backend servers send bytes without end."""

import asyncio
import itertools
import resource
import tempfile
from pathlib import Path

import aiohttp

from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes import platform_wire
from fuchsiacroft.tests.fakes.platform_wire import CONTROL_PORT, DATA_PORT
from fuchsiacroft.tests.fakes.ports import subnet
from fuchsiacroft.tests.fakes.replica import Replica, sse_events, unframed_head
from fuchsiacroft.tests.soak.callers import Balancer
from fuchsiacroft.tests.soak.fleet import Program
from fuchsiacroft.tests.soak.observations import Observations
from fuchsiacroft.tests.soak.operator import Operator
from fuchsiacroft.utils.tasks import BackgroundTasks

NET = "127.149"
ZONE = "mvd-cordon"
SLOTS = 48
CALLERS = 48
ROUNDS = 4
ROUND_S = 2.0
SETTLE_S = 1.0
HEARTBEAT_PERIOD_S = 0.3
MAX_GROWTH_MB = 64
"""What requests may hold while they run, and the reserve of the allocator."""
MIN_SERVED_SHARE = 0.95
START_TIMEOUT_S = 20.0
OTHERS_PERIOD_S = 0.02
STREAM = "Content-Type: text/event-stream"
_numbers = itertools.count(1)
BLOCK = b"x" * (64 * 1024)
HEADS = b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2_000


async def send_body(req, writer) -> None:
    """Send a body without end."""
    writer.write(unframed_head(req))
    while True:
        writer.write(BLOCK)
        await writer.drain()


async def send_heads(req, writer) -> None:
    """Send interim heads without end."""
    while True:
        writer.write(HEADS)
        await writer.drain()


async def respond_event(req, writer) -> None:
    """Send a stream of one event."""
    writer.write(unframed_head(req, STREAM) + sse_events(1))


class EndlessMemoryTests(SocketTestCase):
    """One entry as a process of its own, which serves other callers meanwhile."""

    async def asyncSetUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        observations = Observations()
        self.control, self.entry = (
            Program(role, f"{subnet(NET, number)}.1", ZONE, folder, observations)
            for number, role in ((1, "control"), (2, "entry"))
        )
        for program in (self.control, self.entry):
            program.write_settings([self.control.ip], {}, bootstrap=True)
            await program.start()
            self.addAsyncCleanup(program.kill)
        self.tasks = BackgroundTasks("endless memory")
        self.addAsyncCleanup(self.tasks.cancel)
        balancer = Balancer([self.entry])
        self.tasks.spawn(balancer.watch())
        async with asyncio.timeout(START_TIMEOUT_S):
            await Operator([self.control], observations).configure()
            while not balancer.ready():
                await asyncio.sleep(0.1)

    async def add_replica(self, number: int, service: str, handler) -> None:
        """Start a replica that sends heartbeats."""
        address = f"{subnet(NET, 3)}.{number}:8080"
        replica = Replica(f"i-{number}", address, handler)
        await replica.start()
        self.addAsyncCleanup(replica.stop)
        self.tasks.spawn(self.send_heartbeats(replica, service))
        await asyncio.sleep(2 * HEARTBEAT_PERIOD_S)

    async def send_heartbeats(self, replica: Replica, service: str) -> None:
        url = f"http://{self.control.ip}:{CONTROL_PORT}/v1/replicas"
        async with aiohttp.ClientSession() as session:
            for sequence in itertools.count(1):
                body = platform_wire.heartbeat(
                    service,
                    replica.address,
                    zone=ZONE,
                    version="v1",
                    slots=SLOTS,
                    state="ready",
                    sequence=sequence,
                    born=1_000,
                )
                async with session.put(f"{url}/{replica.replica_id}", data=body):
                    await asyncio.sleep(HEARTBEAT_PERIOD_S)

    async def send(self, path: str, limit_s: float) -> int:
        """Send a request and read for some time; return the status, 0 if none came."""
        reader, writer = await asyncio.open_connection(self.entry.ip, DATA_PORT)
        status = 0
        try:
            async with asyncio.timeout(limit_s):
                lines = ("X-Api-Key: key-1", "Connection: close")
                attempt_id = f"{next(_numbers):016x}"
                writer.write(
                    platform_wire.encode_request(
                        "POST", path, attempt_id, *lines, body=b"x"
                    )
                )
                status, _ = await platform_wire.read_head(reader)
                await reader.read()
        except (OSError, EOFError, TimeoutError):
            pass
        writer.transport.abort()
        return status

    async def send_others(self, statuses: list[int]) -> None:
        """Send requests to a sound service, one after the other."""
        while True:
            statuses.append(await self.send("/advice/1", ROUND_S))
            await asyncio.sleep(OTHERS_PERIOD_S)

    def memory_mb(self) -> float:
        """Return the resident memory of the entry."""
        pages = int(Path(f"/proc/{self.entry.pid}/statm").read_text().split()[1])
        return pages * resource.getpagesize() / 2**20

    async def assert_bounded(self, handler) -> None:
        """Assert that memory and other callers bear many endless answers at a time."""
        await self.add_replica(1, "till", handler)
        await self.add_replica(2, "lens", respond_event)
        statuses: list[int] = []
        self.tasks.spawn(self.send_others(statuses))
        before_mb = self.memory_mb()
        most_mb = 0.0
        for _ in range(ROUNDS):
            await asyncio.gather(
                *(self.send("/book/1/", ROUND_S) for _ in range(CALLERS))
            )
            await asyncio.sleep(SETTLE_S)
            most_mb = max(most_mb, self.memory_mb())
        served = statuses.count(200) / len(statuses)
        self.assertLess(most_mb - before_mb, MAX_GROWTH_MB)
        self.assertGreaterEqual(served, MIN_SERVED_SHARE)

    async def test_bodies_without_end_fill_the_memory(self):
        await self.assert_bounded(send_body)

    async def test_interim_heads_without_end_fill_the_memory(self):
        await self.assert_bounded(send_heads)
