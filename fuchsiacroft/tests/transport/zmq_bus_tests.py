"""Tests of the bus over ZeroMQ."""

import asyncio

import msgspec
import zmq

from fuchsiacroft.kernel import Kernel
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.transport import codec, zmq_bus
from fuchsiacroft.transport.bus import BusError


@codec.message("test.ping")
class Ping(msgspec.Struct, frozen=True):
    """A test message."""

    text: str


class ZmqBusTests(SocketTestCase):
    """Requests are answered and garbage is dropped."""

    async def asyncSetUp(self):
        self.address = free_address()
        self.server = zmq_bus.create("server", self.address)
        self.client = zmq_bus.create("client", free_address())
        for bus in (self.server, self.client):
            await bus.start(Kernel())
            self.addAsyncCleanup(bus.stop)

        async def echo(sender, ping):
            return Ping(f"{sender}:{ping.text}")

        self.server.handle(Ping, echo)

    async def test_a_request_is_answered(self):
        answer = await self.client.request(self.address, Ping("hello"), 5)
        self.assertEqual(Ping("client:hello"), answer.ok)

    async def test_malformed_messages_are_counted_and_dropped(self):
        ctx = zmq.Context()
        self.addCleanup(ctx.destroy, 0)
        sock = ctx.socket(zmq.DEALER)
        sock.connect(f"tcp://{self.address}")
        sock.send(b"\xff garbage")
        answer = await self.client.request(self.address, Ping("hello"), 5)
        self.assertTrue(answer.is_ok())
        while "dropped_malformed" not in self.server.dump()["counts"]:
            await self.client.request(self.address, Ping("again"), 5)

    async def test_what_a_dead_peer_missed_is_not_delivered_later(self):
        address = free_address()
        answer = await self.client.request(address, Ping("missed"), 0.3)
        self.assertEqual(BusError.NOT_SENT, answer.error)
        heard = []

        async def note(sender, ping):
            heard.append(ping.text)
            return ping

        late = zmq_bus.create("late", address)
        late.handle(Ping, note)
        await late.start(Kernel())
        self.addAsyncCleanup(late.stop)
        await self.client.request(address, Ping("present"), 5)
        self.assertEqual(["present"], heard)

    async def test_a_message_to_a_new_peer_waits_for_the_connection(self):
        heard = asyncio.Event()

        async def note(sender, ping):
            heard.set()

        self.server.handle(Ping, note)
        self.client.send(self.address, Ping("first"))
        async with asyncio.timeout(5):
            await heard.wait()
