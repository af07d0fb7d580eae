"""Tests of the bus over ZeroMQ."""

import msgspec
import zmq

from fuchsiacroft.kernel import Kernel
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.transport import codec, zmq_bus


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
