"""Tests for CURVE keys and their rotation, over real sockets."""

import asyncio
import time

import msgspec
import zmq

from fuchsiacroft.config.settings import Addresses, Keys, Member, Settings
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.transport import codec, keys, zmq_bus

TIMEOUT_S = 5.0
REJECTED_TIMEOUT_S = 0.4


@codec.message("test.keyed_ping")
class KeyedPing(msgspec.Struct, frozen=True):
    """A test message."""

    text: str


def new_pair():
    return tuple(part.decode() for part in zmq.curve_keypair())


class Process:
    """A bus with its own keys."""

    def __init__(self, name, pair=None, address=None):
        self.name = name
        self.pair = pair or new_pair()
        self.address = address or free_address()
        self.ring = None
        self.bus = None

    def settings(self, accepted, peers=()):
        members = [
            Member(peer.name, "a", peer.address, public_keys=list(public_keys))
            for peer, public_keys in peers
        ]
        return Settings(
            node=self.name,
            failure_domain="a",
            region="r",
            addresses=Addresses("127.0.0.1:1", peers=self.address),
            entries=members,
            keys=Keys(*self.pair, accepted=list(accepted)),
        )

    async def start(self, test, accepted, peers=()):
        self.ring = keys.create(self.settings(accepted, peers))
        self.bus = zmq_bus.create(self.name, self.address, self.ring)
        await self.bus.start(Kernel())
        test.addAsyncCleanup(self.bus.stop)

        async def echo(sender, ping):
            return KeyedPing(f"{sender}:{ping.text}")

        self.bus.register_handler(KeyedPing, echo)

    async def send_ping(self, other, timeout=TIMEOUT_S):
        return await self.bus.request(other.address, KeyedPing("hi"), timeout)

    def rejected_count(self, name="refused_unknown_key"):
        return self.handshake_count(name)

    def accepted_count(self):
        return self.handshake_count("accepted")

    def handshake_count(self, name):
        return self.bus.dump()["handshakes"].get(name, 0)


class KeysTests(SocketTestCase):
    """Only accepted keys can connect, and keys are rotated without a restart."""

    async def asyncSetUp(self):
        self.server = Process("server")
        self.client = Process("client")
        self.both = [self.server.pair[0], self.client.pair[0]]
        peers = [(self.server, [self.server.pair[0]])]
        await self.server.start(self, self.both)
        await self.client.start(self, self.both, peers)

    async def test_accepted_peers_can_communicate(self):
        self.assertTrue((await self.client.send_ping(self.server)).is_ok())

    async def test_unknown_key_is_rejected_and_counted(self):
        stranger = Process("stranger")
        peers = [(self.server, [self.server.pair[0]])]
        await stranger.start(self, self.both, peers)
        reply = await stranger.send_ping(self.server, REJECTED_TIMEOUT_S)
        self.assertTrue(reply.is_error())
        self.assertGreater(self.server.rejected_count(), 0)

    async def test_peer_without_keys_is_rejected_and_counted(self):
        plain = zmq_bus.create("plain", free_address())
        await plain.start(Kernel())
        self.addAsyncCleanup(plain.stop)
        request = plain.request(
            self.server.address, KeyedPing("hi"), REJECTED_TIMEOUT_S
        )
        self.assertTrue((await request).is_error())
        self.assertGreater(self.server.rejected_count("failed"), 0)

    async def test_message_to_peer_with_unknown_key_is_not_sent(self):
        accepted = [*self.both, new_pair()[0]]
        isolated = Process("isolated")
        await isolated.start(self, accepted)
        reply = await isolated.send_ping(self.server, REJECTED_TIMEOUT_S)
        self.assertIs(zmq_bus.BusError.NOT_SENT, reply.error)

    async def test_removed_key_is_disconnected(self):
        self.assertTrue((await self.client.send_ping(self.server)).is_ok())
        self.server.ring.replace(self.server.settings([self.server.pair[0]]))
        await asyncio.sleep(0.2)
        self.assertTrue(
            (await self.client.send_ping(self.server, REJECTED_TIMEOUT_S)).is_error()
        )
        self.assertGreater(self.server.rejected_count(), 0)

    async def test_server_key_rotation(self):
        new = new_pair()
        public_keys = [self.server.pair[0], new[0]]
        self.client.ring.replace(
            self.client.settings(self.both, [(self.server, public_keys)])
        )
        self.assertTrue((await self.client.send_ping(self.server)).is_ok())
        self.server.pair = new
        self.server.ring.replace(self.server.settings(self.both))
        await asyncio.sleep(0.1)
        self.assertTrue((await self.client.send_ping(self.server)).is_ok())
        self.client.ring.replace(
            self.client.settings(self.both, [(self.server, [new[0]])])
        )
        self.assertTrue((await self.client.send_ping(self.server)).is_ok())

    async def test_client_key_rotation(self):
        new = new_pair()
        self.server.ring.replace(self.server.settings([*self.both, new[0]]))
        self.assertTrue((await self.client.send_ping(self.server)).is_ok())
        self.client.pair = new
        peers = [(self.server, [self.server.pair[0]])]
        self.client.ring.replace(self.client.settings(self.both, peers))
        self.assertTrue((await self.client.send_ping(self.server)).is_ok())
        self.server.ring.replace(self.server.settings([self.server.pair[0], new[0]]))
        await asyncio.sleep(0.2)
        self.assertTrue((await self.client.send_ping(self.server)).is_ok())

    async def test_shared_key_rotation(self):
        old, new = new_pair(), new_pair()
        one, two = Process("one", old), Process("two", old)
        for process in (one, two):
            await process.start(self, [old[0]])
        self.assertTrue((await one.send_ping(two)).is_ok())
        for process in (one, two):
            process.ring.replace(process.settings([old[0], new[0]]))
        for process in (one, two):
            process.pair = new
            process.ring.replace(process.settings([old[0], new[0]]))
            await asyncio.sleep(0.1)
            self.assertTrue((await one.send_ping(two)).is_ok())
            self.assertTrue((await two.send_ping(one)).is_ok())
        for process in (one, two):
            process.ring.replace(process.settings([new[0]]))
        await asyncio.sleep(0.2)
        self.assertTrue((await one.send_ping(two)).is_ok())

    async def test_failures_that_are_read_late_end_a_connection_that_works(self):
        old = new_pair()[0]
        peers = [(self.server, [old, self.server.pair[0]])]
        self.client.ring.replace(self.client.settings(self.both, peers))
        ping = asyncio.ensure_future(self.client.send_ping(self.server))
        await asyncio.sleep(0.02)
        time.sleep(0.4)  # noqa: ASYNC251
        self.assertTrue((await ping).is_ok())
        accepted = self.server.accepted_count()
        await asyncio.sleep(0.5)
        self.assertEqual(accepted, self.server.accepted_count())

    async def test_secrets_are_not_in_dump_or_repr(self):
        await self.client.send_ping(self.server)
        secret = self.server.pair[1]
        settings = self.server.settings(self.both)
        texts = (repr(settings), str(settings), str(self.server.bus.dump()))
        for text in texts:
            self.assertNotIn(secret, text)
