"""Tests of callers that do not read the responses that an entry relays."""

import asyncio
import select
from unittest import mock

from fuchsiacroft.entry import slow_reader
from fuchsiacroft.gateway.forwarder import Forwarder
from fuchsiacroft.tests.fakes.platform_region import PlatformTestCase, config
from fuchsiacroft.tests.fakes.replica import response

LARGE = b"x" * (32 * 1024 * 1024)
"""More than the kernel buffers on both ends."""
WHOLE = b"x" * (1000 * 1024)
PIPELINED = 40
UNREAD_TIMEOUT_S = 0.5
END_TIMEOUT_S = 5.0


def is_reset(writer: asyncio.StreamWriter) -> bool:
    """Tell whether the other end has reset a connection, read or unread."""
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), 0)
    return bool(poll.poll(0))


class SlowReaderTests(PlatformTestCase):
    """A caller that reads nothing is cut off, and then holds nothing."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        routes = [route | {"timeoutMs": 20_000} for route in config()["routes"]]
        await self.region.put_config(config(2, routes=routes))
        self.enterContext(
            mock.patch.object(slow_reader, "UNREAD_TIMEOUT_S", UNREAD_TIMEOUT_S)
        )
        kernel = self.region.kernels[self.region.entries[0]]
        self.budget = kernel.get("forwarder", Forwarder).budget

    async def assert_cut_off(self, body: bytes, requests: int) -> None:
        async def answer(req, writer):
            writer.write(response(req, body))

        await self.region.add_replica("till", answer)
        await asyncio.sleep(0.2)
        reader, writer = await self.region.connect()
        self.addCleanup(writer.transport.abort)
        writer.transport.pause_reading()
        writer.write(self.region.encode_request("/stock/1") * requests)
        async with asyncio.timeout(END_TIMEOUT_S):
            while self.budget.held == 0:
                await asyncio.sleep(0.01)
            while not is_reset(writer) or self.budget.held:
                await asyncio.sleep(0.01)
        writer.transport.resume_reading()
        with self.assertRaises(ConnectionError):
            while await asyncio.wait_for(reader.read(2**20), END_TIMEOUT_S):
                pass

    async def test_a_large_response_is_held_for_a_caller_that_does_not_read(self):
        await self.assert_cut_off(LARGE, 1)

    async def test_whole_responses_are_held_for_a_caller_that_does_not_read(self):
        await self.assert_cut_off(WHOLE, PIPELINED)
