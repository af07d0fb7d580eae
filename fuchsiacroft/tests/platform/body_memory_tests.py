"""Tests of the memory of a process to which many callers send large bodies.

They guard against bodies, and responses that callers don't read, growing past the
memory of the VM. The VMs are smaller than real ones, so that few callers do.
"""

import asyncio
import itertools
import os
import resource
import socket
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import msgspec

from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes import platform_wire
from fuchsiacroft.tests.fakes.platform_region import config
from fuchsiacroft.tests.fakes.platform_wire import CONTROL_PORT, DATA_PORT
from fuchsiacroft.tests.fakes.ports import subnet
from fuchsiacroft.tests.fakes.replica import Replica, chunk, response
from fuchsiacroft.tests.soak.callers import Balancer
from fuchsiacroft.tests.soak.fleet import Program
from fuchsiacroft.tests.soak.observations import Observations
from fuchsiacroft.utils.tasks import BackgroundTasks

NET = "127.148"
ZONE = "mvd-cordon"
ENTRY_MEMORY_MB = 110
CONTROL_MEMORY_MB = 150
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024
BLOCK = b"x" * (64 * 1024)
SMALL_CHUNKS = chunk(b"x") * 10_000
RESPONSE_BYTES = 900 * 1024
SLOTS = 96
TIMEOUT_MS = 12_000
CROWD = 48
UNKNOWN_CALLERS = 128
SMALL_CHUNK_CALLERS = 200
ORDINARY_CALLERS = 8
CONFIGURATIONS = 24
PIPELINED = 6
"""Requests on the connection of a caller that doesn't read."""
CROWD_S = 6.0
CALLER_TIMEOUT_S = 10.0
SAMPLE_PERIOD_S = 0.05
HEARTBEAT_PERIOD_S = 0.3
HEADS = 1_500
"""Heads of a crowd that ends none of them."""
START_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 30.0
SMALL_BUFFER_BYTES = 4_096
OPEN_STATES = ("01", "08")
"""The kernel's numbers for established, and for closed by the other end only."""
LARGE_ANSWER = "/stock/"
_numbers = itertools.count(1)

LONG_HEAD = platform_wire.encode_request(
    "GET",
    "/book/1",
    "crowd",
    "X-Api-Key: key-1",
    *(f"X-Header-{number:03d}: {'v' * 130}" for number in range(100)),
)
"""15 kB, which is within the limits."""

Send = Callable[[asyncio.StreamWriter], Awaitable[None]]


async def answer(req, writer) -> None:
    """Respond with the size of the body, or with a large body to a GET."""
    if req.request_line.startswith("GET"):
        writer.write(response(req, b"y" * RESPONSE_BYTES))
    else:
        writer.write(response(req, str(len(req.body)).encode()))


def head(*lines: str, key: str = "key-1", method: str = "POST", path="/book/1"):
    """Return the head of a request to the entry."""
    attempt_id = f"{next(_numbers):016x}"
    return platform_wire.encode_request(
        method, path, attempt_id, f"X-Api-Key: {key}", *lines
    )


def length(size: int) -> str:
    """Return the header that tells the size of a body."""
    return f"Content-Length: {size}"


async def write_zeros(writer: asyncio.StreamWriter, size: int) -> None:
    """Write a body of some size."""
    while size > 0:
        writer.write(BLOCK[:size])
        size -= len(BLOCK)
        await writer.drain()


def bodies(missing: int, key: str = "key-1") -> Send:
    """Return the sender of a body of the largest size without its last bytes."""

    async def send(writer: asyncio.StreamWriter) -> None:
        writer.write(head(length(MAX_BODY_BYTES), key=key))
        await write_zeros(writer, MAX_BODY_BYTES - missing)

    return send


async def send_chunks(writer: asyncio.StreamWriter) -> None:
    """Send a body in chunks without the last one."""
    writer.write(head("Transfer-Encoding: chunked"))
    for _ in range(MAX_BODY_BYTES // len(BLOCK) - 1):
        writer.write(chunk(BLOCK))
        await writer.drain()


async def send_small_chunks(writer: asyncio.StreamWriter) -> None:
    """Send a body in chunks of one byte until the connection is closed."""
    writer.write(head("Transfer-Encoding: chunked"))
    while True:
        writer.write(SMALL_CHUNKS)
        await writer.drain()


async def send_configuration(writer: asyncio.StreamWriter) -> None:
    """Send a configuration without its last byte."""
    lines = ("PUT /v1/config HTTP/1.1", "Host: x", length(MAX_CONFIGURATION_BYTES))
    writer.write("\r\n".join((*lines, "", "")).encode())
    await write_zeros(writer, MAX_CONFIGURATION_BYTES - 1)


async def request_without_reading(writer: asyncio.StreamWriter) -> None:
    """Send several requests for large responses, none of which is read."""
    for _ in range(PIPELINED):
        writer.write(head(method="GET", path=LARGE_ANSWER))
    writer.transport.pause_reading()
    await writer.drain()


def connect_with_small_buffer(ip: str, port: int) -> socket.socket:
    """Return a connection whose own end holds few bytes."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    sock.connect_ex((ip, port))
    return sock


def sockets(ip: str) -> list[list[str]]:
    """Return the kernel's rows of the sockets of an address."""
    local = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    rows = Path("/proc/net/tcp").read_text().splitlines()[1:]
    return [row.split() for row in rows if row.split()[1].startswith(local)]


def unread_bytes(ip: str) -> int:
    """Return what the kernel holds for the sockets of an address until it is read."""
    return sum(int(row[4].partition(":")[2], 16) for row in sockets(ip))


def open_connections(ip: str) -> int:
    """Return how many connections to an address its process has not closed."""
    return sum(row[3] in OPEN_STATES for row in sockets(ip))


class BodyMemoryTests(SocketTestCase):
    """A control member and an entry, as processes, and a crowd of callers."""

    async def asyncSetUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.observations = Observations()
        self.control = await self.start("control", 1, CONTROL_MEMORY_MB, folder)
        self.entry = await self.start("entry", 2, ENTRY_MEMORY_MB, folder)
        self.tasks = BackgroundTasks("body memory")
        self.addAsyncCleanup(self.tasks.cancel)
        balancer = Balancer([self.entry])
        self.tasks.spawn(balancer.watch())
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self.put_configuration(self.configuration(1)) != 200:
                await asyncio.sleep(0.2)
            while not balancer.ready():
                await asyncio.sleep(0.1)
        self.replica = Replica("i-1", f"{subnet(NET, 3)}.1:8080", answer)
        await self.replica.start()
        self.addAsyncCleanup(self.replica.stop)
        self.tasks.spawn(self.send_heartbeats())
        await asyncio.sleep(3 * HEARTBEAT_PERIOD_S)
        self.most_mb = 0.0

    async def start(
        self, role: str, number: int, memory_mb: int, folder: Path
    ) -> Program:
        """Start a process on a VM with some memory."""
        program = Program(
            role, f"{subnet(NET, number)}.1", ZONE, folder, self.observations
        )
        seeds = [f"{subnet(NET, 1)}.1"]
        limits = {"memoryMb": memory_mb}
        program.write_settings(seeds, {}, bootstrap=True, limits=limits)
        await program.start()
        self.addAsyncCleanup(program.kill)
        return program

    def configuration(self, version: int) -> bytes:
        """Return a configuration that permits bodies of the default size."""
        routes = [
            route | {"timeoutMs": TIMEOUT_MS} for route in config(version)["routes"]
        ]
        return msgspec.json.encode(config(version, routes=routes, limits={}))

    async def put_configuration(self, body: bytes) -> int:
        """Send a configuration; return the status, 0 if there was none."""
        url = f"http://{self.control.ip}:{CONTROL_PORT}/v1/config"
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.put(url, data=body) as got,
            ):
                return got.status
        except aiohttp.ClientError:
            return 0

    async def send_heartbeats(self) -> None:
        url = f"http://{self.control.ip}:{CONTROL_PORT}/v1/replicas/i-1"
        async with aiohttp.ClientSession() as session:
            for sequence in itertools.count(1):
                body = platform_wire.heartbeat(
                    "till",
                    self.replica.address,
                    zone=ZONE,
                    version="v1",
                    slots=SLOTS,
                    state="ready",
                    sequence=sequence,
                    born=1_000,
                )
                try:
                    async with session.put(url, data=body):
                        pass
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(HEARTBEAT_PERIOD_S)

    def memory_mb(self, program: Program) -> float:
        """Return the resident memory of a process, and what it has not yet read."""
        statm = Path(f"/proc/{program.pid}/statm")
        pages = int(statm.read_text().split()[1])
        return (pages * resource.getpagesize() + unread_bytes(program.ip)) / 2**20

    async def measure(self, program: Program) -> None:
        while True:
            self.most_mb = max(self.most_mb, self.memory_mb(program))
            await asyncio.sleep(SAMPLE_PERIOD_S)

    async def hold(self, program: Program, port: int, send: Send) -> None:
        """Send on connections, one after the other, each until it is closed."""
        while True:
            sock = connect_with_small_buffer(program.ip, port)
            try:
                reader, writer = await asyncio.open_connection(sock=sock)
                try:
                    await send(writer)
                    if not writer.transport.is_reading():
                        await asyncio.sleep(CROWD_S)
                    await reader.read()
                finally:
                    writer.transport.abort()
            except OSError:
                sock.close()
            await asyncio.sleep(SAMPLE_PERIOD_S)

    async def bear(
        self, program: Program, port: int, send: Send, size: int = CROWD
    ) -> None:
        """Let a crowd send for some time, and measure the process.

        What the kernel still sends for the crowd's connections arrives before the end.
        """
        before = open_connections(program.ip)
        crowd = BackgroundTasks("crowd")
        crowd.spawn(self.measure(program))
        for _ in range(size):
            crowd.spawn(self.hold(program, port, send))
        await asyncio.sleep(CROWD_S)
        await crowd.cancel()
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while open_connections(program.ip) > before:
                await asyncio.sleep(SAMPLE_PERIOD_S)
        self.assertEqual([], self.observations.unexpected_exits)
        os.kill(program.pid, 0)

    async def send_body(self, body: bytes) -> tuple[int, bytes]:
        """Send a request with a body; return the status and the response's body."""
        reader, writer = await asyncio.open_connection(self.entry.ip, DATA_PORT)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                writer.write(head(length(len(body)), "Connection: close") + body)
                status, _ = await platform_wire.read_head(reader)
                return status, await reader.read()
        finally:
            writer.transport.abort()

    async def assert_entry_bears(self, send: Send, size: int = CROWD) -> None:
        """Assert that the entry bears a crowd and serves others afterwards."""
        await self.bear(self.entry, DATA_PORT, send, size)
        for body_bytes in (10, MAX_BODY_BYTES):
            got = await self.send_body(b"z" * body_bytes)
            self.assertEqual((200, str(body_bytes).encode()), got)
        self.assertLess(self.most_mb, ENTRY_MEMORY_MB)

    async def test_bodies_that_stop_before_their_end_fill_the_memory(self):
        await self.assert_entry_bears(bodies(missing=1))

    async def test_chunks_that_stop_before_their_end_fill_the_memory(self):
        await self.assert_entry_bears(send_chunks)

    async def test_small_chunks_of_a_crowd_keep_ordinary_callers_waiting(self):
        crowd = self.bear(self.entry, DATA_PORT, send_small_chunks, SMALL_CHUNK_CALLERS)
        bearing = self.tasks.spawn(crowd)
        await asyncio.sleep(1.0)
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            got = await asyncio.gather(
                *(self.send_body(b"z") for _ in range(ORDINARY_CALLERS))
            )
        self.assertEqual([(200, b"1")] * ORDINARY_CALLERS, got)
        self.assertFalse(bearing.done())
        await bearing
        self.assertLess(self.most_mb, ENTRY_MEMORY_MB)

    async def begin_heads(self, program: Program, port: int) -> None:
        """Send many heads at once, none of which ends, and measure the process."""
        self.tasks.spawn(self.measure(program))
        self.crowd: list = []
        for _ in range(HEADS):
            sock = connect_with_small_buffer(program.ip, port)
            stream = await asyncio.open_connection(sock=sock)
            self.crowd.append(stream)
            self.addCleanup(stream[1].transport.abort)
            stream[1].write(LONG_HEAD[:-2])

    async def test_heads_that_stop_before_their_end_fill_the_memory(self):
        await self.begin_heads(self.entry, DATA_PORT)
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            for _ in range(ORDINARY_CALLERS):
                self.assertEqual((200, b"1"), await self.send_body(b"z"))
                self.assertEqual(200, await self.send_long_head())
        self.assertLess(self.most_mb, ENTRY_MEMORY_MB)

    async def test_heads_that_stop_fill_the_memory_of_a_control_member(self):
        await self.begin_heads(self.control, CONTROL_PORT)
        self.assertEqual(200, await self.put_configuration(self.configuration(2)))
        self.assertLess(self.most_mb, CONTROL_MEMORY_MB)

    async def send_long_head(self) -> int:
        """Send a request whose head comes in two parts; return the status."""
        reader, writer = await asyncio.open_connection(self.entry.ip, DATA_PORT)
        try:
            writer.write(LONG_HEAD[:9_000])
            await writer.drain()
            await asyncio.sleep(SAMPLE_PERIOD_S)
            writer.write(LONG_HEAD[9_000:])
            status, _ = await platform_wire.read_head(reader)
            return status
        finally:
            writer.transport.abort()

    async def test_whole_bodies_fill_the_memory(self):
        await self.assert_entry_bears(bodies(missing=0))

    async def test_bodies_without_a_valid_key_fill_the_memory(self):
        await self.assert_entry_bears(bodies(missing=1, key="nobody"), UNKNOWN_CALLERS)

    async def test_responses_that_are_not_read_fill_the_memory(self):
        await self.assert_entry_bears(request_without_reading)

    async def test_configurations_fill_the_memory_of_a_control_member(self):
        await self.bear(self.control, CONTROL_PORT, send_configuration, CONFIGURATIONS)
        whole = self.configuration(2).ljust(MAX_CONFIGURATION_BYTES)
        self.assertEqual(200, await self.put_configuration(whole))
        self.assertEqual(200, await self.put_configuration(self.configuration(3)))
        self.assertLess(self.most_mb, CONTROL_MEMORY_MB)
