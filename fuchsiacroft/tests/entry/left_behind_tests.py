"""Tests of what requests leave in memory until the collector of cycles runs."""

import asyncio
import gc

import aiohttp

from fuchsiacroft.entry.at_most_once import CheckedResponseHandler
from fuchsiacroft.entry.body_relay import BodyRelay
from fuchsiacroft.entry.exchange import Exchange
from fuchsiacroft.entry.run import Run
from fuchsiacroft.tests.fakes.data_plane import AnsweredTestCase, answer_head
from fuchsiacroft.tests.fakes.left_behind import left_behind

HOLDERS = (BodyRelay, CheckedResponseHandler, Exchange, Run)
"""What refers to the bytes of a request or its answer."""
END_S = 3.0
"""By this time a request has ended, and its connections are closed."""
OK = "200 OK"
LENGTH = "Content-Length: 100000000"
BLOCK = b"x" * (64 * 1024)
GET = (
    b"GET /services/counter/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    b"Authorization: Bearer key-1\r\nFuchsiacroft-Timeout: 1\r\n\r\n"
)


class LeftBehindTests(AnsweredTestCase):
    """Without the collector, nothing of a request stays after its end."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    async def test_a_whole_answer_stays(self):
        await self.serve_answer(lambda req: req.answer(OK, body=b"whole"))
        self.assertEqual(200, (await self.call())[0])
        self.assertEqual([], await left_behind(HOLDERS, END_S))

    async def test_an_answer_that_breaks_off_stays(self):
        await self.serve_answer(
            lambda req: answer_head(req.request_id, OK, LENGTH) + BLOCK
        )
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.call()
        self.assertEqual([], await left_behind(HOLDERS, END_S))

    async def serve_without_end(self) -> None:
        """Serve bodies without end."""

        async def send(req, writer):
            writer.write(answer_head(req.request_id, OK, LENGTH))
            while True:
                writer.write(BLOCK)
                await writer.drain()

        await self.serve_requests(send)

    async def test_a_body_without_end_stays_after_its_caller_has_left(self):
        await self.serve_without_end()
        try:
            async with asyncio.timeout(0.2):
                await self.send_raw(GET)
        except TimeoutError:
            pass
        self.assertEqual([], await left_behind(HOLDERS, END_S))

    async def test_a_body_without_end_stays_after_its_timeout(self):
        await self.serve_without_end()
        try:
            async with asyncio.timeout(END_S):
                await self.send_raw(GET)
        except (ConnectionError, TimeoutError):
            pass
        self.assertEqual([], await left_behind(HOLDERS, END_S))
