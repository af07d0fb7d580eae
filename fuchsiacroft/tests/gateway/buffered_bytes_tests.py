"""Tests of the bound on what all responses of an entry hold."""

from fuchsiacroft.gateway.buffered_bytes import BufferedBytes, HeldBytes
from fuchsiacroft.gateway.forwarder import Forwarder
from fuchsiacroft.tests.base import SocketTestCase, TestCase
from fuchsiacroft.tests.fakes.platform_region import PlatformRegion
from fuchsiacroft.tests.fakes.replica import Replica, response, stream_head

BODY = b"0123456789" * 50_000
MEMORY_MB = 1.0
"""So little memory that an eighth of it holds only a part of `BODY`."""


class BufferedBytesTests(TestCase):
    """Responses hold no more together than is allowed."""

    def test_many_small_responses_hold_more_than_is_allowed(self):
        buffered = BufferedBytes(100)
        with HeldBytes(buffered) as first, HeldBytes(buffered) as second:
            self.assertTrue(first.try_hold(60))
            self.assertFalse(second.try_hold(50))
            self.assertTrue(second.try_hold(40))
            self.assertFalse(first.try_hold(61))
            self.assertTrue(first.try_hold(10))
        self.assertEqual(0, buffered.held)

    def test_a_response_that_failed_holds_its_bytes_for_ever(self):
        buffered = BufferedBytes(100)
        with self.assertRaises(OSError), HeldBytes(buffered) as held:
            held.try_hold(100)
            raise OSError
        self.assertEqual(0, buffered.held)


class FullBufferTests(SocketTestCase):
    """An entry whose responses may hold little serves large ones all the same."""

    async def asyncSetUp(self) -> None:
        self.region = PlatformRegion(entries=1, memory_mb=MEMORY_MB)
        await self.region.start()
        self.addAsyncCleanup(self.region.stop)
        kernel = self.region.kernels[self.region.entries[0]]
        self.forwarder = kernel.get("forwarder", Forwarder)

    async def test_a_response_without_room_is_cut_or_never_sent(self):
        async def answer(req, writer):
            writer.write(response(req, BODY))

        await self.region.add_replica("till", answer)
        got = await self.region.send_request("/book/1/", method="POST")
        self.assertEqual((200, True, BODY), (got.status, got.complete, got.body))
        self.assertEqual(0, self.forwarder.dump()["held_response_bytes"])

    async def test_an_event_without_room_is_kept(self):
        async def stream(req, writer):
            writer.write(stream_head(req) + b"ffffff\r\ndata: " + BODY)

        replica: Replica = await self.region.add_replica("lens", stream)
        got = await self.region.send_request("/advice/1", method="POST")
        self.assertEqual(502, got.status)
        self.assertEqual(1, len(replica.received))
        self.assertEqual(0, self.forwarder.dump()["held_response_bytes"])
