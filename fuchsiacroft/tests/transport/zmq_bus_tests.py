"""Tests for the message bus over ZeroMQ."""

import asyncio
import contextlib
import random
import socket
import struct
import time
from unittest import mock

import msgspec
import zmq

from fuchsiacroft.kernel import Kernel
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.tests.fakes.proxy import Proxy
from fuchsiacroft.transport import codec, peer_link, zmq_bus
from fuchsiacroft.transport.bus import BusError
from fuchsiacroft.utils.http import split_address

ZMTP_GREETING = (
    b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0") + bytes(32)
)
_SOCKET_TYPE = b"\x0bSocket-Type" + struct.pack("!I", 6) + b"DEALER"
ZMTP_READY = struct.pack("!BB", 4, 6 + len(_SOCKET_TYPE)) + b"\x05READY" + _SOCKET_TYPE
ENDLESS_FRAME = struct.pack("!BQ", 2, 1 << 40) + bytes(100_000)


@codec.message("test.ping")
class Ping(msgspec.Struct, frozen=True):
    """A test message."""

    text: str


@codec.message("test.count")
class Count(msgspec.Struct, frozen=True):
    """A test message with a number."""

    number: int


class ZmqBusTests(SocketTestCase):
    """Requests get replies, malformed messages are dropped and links are replaced."""

    async def asyncSetUp(self):
        self.address = free_address()
        self.server = zmq_bus.create("server", self.address)
        self.client = zmq_bus.create("client", free_address())
        for bus in (self.server, self.client):
            await bus.start(Kernel())
            self.addAsyncCleanup(bus.stop)

        async def echo(sender, ping):
            return Ping(f"{sender}:{ping.text}")

        self.server.register_handler(Ping, echo)

    async def test_request_gets_reply(self):
        reply = await self.client.request(self.address, Ping("hello"), 5)
        self.assertEqual(Ping("client:hello"), reply.ok)

    async def test_nothing_tells_what_messages_a_process_receives(self):
        await self.client.request(self.address, Ping("hello"), 5)
        self.assertEqual({"test.ping": 1}, self.server.dump()["received_by_kind"])

    async def test_a_reply_is_lost_that_came_while_the_process_stood_still(self):
        await self.client.request(self.address, Ping("connect"), 5)
        asyncio.get_running_loop().call_soon(time.sleep, 0.6)
        reply = await self.client.request(self.address, Ping("hello"), 0.15)
        self.assertTrue(reply.is_ok())

    async def test_malformed_messages_are_counted_and_dropped(self):
        ctx = zmq.Context()
        self.addCleanup(ctx.destroy, 0)
        sock = ctx.socket(zmq.DEALER)
        sock.connect(f"tcp://{self.address}")
        sock.send(b"\xff garbage")
        reply = await self.client.request(self.address, Ping("hello"), 5)
        self.assertTrue(reply.is_ok())
        while "dropped_malformed" not in self.server.dump()["counts"]:
            await self.client.request(self.address, Ping("again"), 5)

    async def test_a_frame_without_end_is_kept_in_memory(self):
        """A peer of the bus announces a frame far above the bound, and sends it."""
        reader, writer = await asyncio.open_connection(*split_address(self.address))
        writer.write(ZMTP_GREETING + ZMTP_READY + ENDLESS_FRAME)
        async with asyncio.timeout(5):
            with contextlib.suppress(ConnectionError):
                while await reader.read(1_000):
                    pass
        writer.close()
        reply = await self.client.request(self.address, Ping("hello"), 5)
        self.assertEqual(Ping("client:hello"), reply.ok)

    async def test_a_message_that_cannot_be_encoded_ends_the_task_that_sends_it(self):
        for bad in (Count(2**64), Ping("\ud800"), Ping("x" * codec.MAX_MESSAGE_BYTES)):
            self.client.send(self.address, bad)
            reply = await self.client.request(self.address, bad, 5)
            self.assertEqual(BusError.NOT_SENT, reply.error)
        counts = self.client.dump()["counts"]
        self.assertEqual(4, counts["not_sent_not_encodable"])
        self.assertEqual(2, counts["not_sent_too_large"])
        reply = await self.client.request(self.address, Ping("hello"), 5)
        self.assertTrue(reply.is_ok())

    async def test_a_reply_that_cannot_be_encoded_ends_the_task_of_its_handler(self):
        async def count(sender, message):
            return Count(2**64)

        self.server.register_handler(Count, count)
        reply = await self.client.request(self.address, Count(1), 0.3)
        self.assertEqual(BusError.NO_ANSWER, reply.error)
        self.assertEqual(1, self.server.dump()["counts"]["not_sent_not_encodable"])

    async def test_a_peer_without_a_valid_address_ends_the_task_that_sends_to_it(self):
        for peer in ("", "nowhere", "10.0.0.1:99999", "\x00", "\ud800"):
            with self.subTest(peer):
                self.client.send(peer, Ping("hello"))
                reply = await self.client.request(peer, Ping("hello"), 0.1)
                self.assertEqual(BusError.NOT_SENT, reply.error)

    async def test_message_to_dead_peer_is_not_delivered_later(self):
        address = free_address()
        reply = await self.client.request(address, Ping("missed"), 0.3)
        self.assertEqual(BusError.NOT_SENT, reply.error)
        received = []

        async def handler(sender, ping):
            received.append(ping.text)
            return ping

        late = zmq_bus.create("late", address)
        late.register_handler(Ping, handler)
        await late.start(Kernel())
        self.addAsyncCleanup(late.stop)
        await self.client.request(address, Ping("present"), 5)
        self.assertEqual(["present"], received)

    async def test_a_connect_that_a_starting_peer_dropped_is_tried_again_soon(self):
        """Guards against a second without messages after all machines restarted.

        A machine that is down drops the first packet of a connect, and the kernel
        sends it again only after a second. A full backlog drops it in the same way.
        """
        address = free_address()
        host, port = split_address(address)
        full = socket.create_server((host, port), backlog=0)
        self.addCleanup(full.close)
        fillers = [await self.open_unaccepted(host, port) for _ in range(2)]
        asked = asyncio.ensure_future(self.client.request(address, Ping("x"), 5))
        await asyncio.sleep(0.1)
        for sock in (*fillers, full):
            sock.close()
        late = zmq_bus.create("late", address)

        async def echo(sender, ping):
            return ping

        late.register_handler(Ping, echo)
        began = asyncio.get_running_loop().time()
        await late.start(Kernel())
        self.addAsyncCleanup(late.stop)
        self.assertTrue((await asked).is_ok())
        self.assertLess(asyncio.get_running_loop().time() - began, 0.8)

    async def open_unaccepted(self, host: str, port: int) -> socket.socket:
        """Open a connection that fills the backlog of a listener."""
        sock = socket.socket()
        sock.setblocking(False)
        self.addCleanup(sock.close)
        sock.connect_ex((host, port))
        await asyncio.sleep(0.01)
        return sock

    async def test_message_to_new_peer_waits_for_connection(self):
        received = asyncio.Event()

        async def handler(sender, ping):
            received.set()

        self.server.register_handler(Ping, handler)
        self.client.send(self.address, Ping("first"))
        async with asyncio.timeout(5):
            await received.wait()

    async def open_proxy(self) -> Proxy:
        """Return a proxy to the server over which a request was answered."""
        proxy = Proxy(free_address(), self.address, random.Random(1))
        await proxy.start()
        self.addAsyncCleanup(proxy.stop)
        reply = await self.client.request(proxy.listen, Ping("hello"), 5)
        self.assertTrue(reply.is_ok())
        return proxy

    async def request_until_answered(self, address: str) -> float:
        """Send requests until one is answered; return the seconds that took."""
        began = asyncio.get_running_loop().time()
        while (await self.client.request(address, Ping("x"), 0.3)).is_error():
            pass
        return asyncio.get_running_loop().time() - began

    async def test_a_silent_connection_delays_requests_for_seconds(self):
        proxy = await self.open_proxy()
        for _ in range(2):
            proxy.silence_open()
            taken_s = await self.request_until_answered(proxy.listen)
            self.assertLess(taken_s, peer_link.MIN_SILENCE_TIMEOUT_S + 0.6)

    async def test_messages_without_replies_are_lost_on_a_silent_connection(self):
        proxy = await self.open_proxy()
        received = asyncio.Event()

        async def handler(sender, ping):
            received.set()

        self.server.register_handler(Ping, handler)
        proxy.silence_open()
        async with asyncio.timeout(peer_link.PROBE_AFTER_S + 1.0):
            while not received.is_set():
                self.client.send(proxy.listen, Ping("x"))
                await asyncio.sleep(0.05)

    async def test_a_suspended_peer_is_sent_ever_more_connections(self):
        proxy = await self.open_proxy()
        proxy.silence()
        links = set()
        for _ in range(12):
            await self.client.request(proxy.listen, Ping("x"), 0.25)
            links.add(self.client._links[proxy.listen])
        self.assertLessEqual(len(links), 3)
        proxy.clear_faults()
        self.assertLess(await self.request_until_answered(proxy.listen), 2.0)

    async def test_replaced_connection_leaves_no_task(self):
        with mock.patch.object(zmq_bus, "LINK_CLOSE_DELAY_S", 0.05):
            await self.client.request(self.address, Ping("hello"), 5)
            (link,) = self.client._links.values()
            before = len(self.client._tasks)
            self.client._replace_link(self.address, link)
            await asyncio.sleep(0.2)
            reply = await self.client.request(self.address, Ping("again"), 5)
        self.assertTrue(reply.is_ok())
        self.assertEqual(before, len(self.client._tasks))
