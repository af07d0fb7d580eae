"""Tests of responses that are cut, by backend servers, time limits or a stop."""

import asyncio
from unittest import mock

import aiohttp

from fuchsiacroft.entry.response_progress import ResponseProgress
from fuchsiacroft.tests.fakes.data_plane import (
    AnsweredTestCase,
    answer,
    answer_head,
    chunk,
)

OK = "200 OK"
STREAM = "Content-Type: text/event-stream"
CHUNKED = "Transfer-Encoding: chunked"
GET = (
    b"GET /services/counter/x HTTP/%b\r\nHost: x\r\nConnection: close\r\n"
    b"Authorization: Bearer key-1\r\nFuchsiacroft-Timeout: %b\r\n\r\n"
)


class CutAnswerTests(AnsweredTestCase):
    """An answer that is cut, too short or too long is never taken for another."""

    async def test_a_cut_head_is_passed_on_as_a_success(self):
        lines = (STREAM, "X-Kept: yes")
        size = len(answer("0" * 32, OK, *lines, body=b"")) - 1
        for end in (*range(9, size, 6), size - 1, size):
            with self.subTest(end=end):
                self.scheduler.addresses.clear()
                await self.serve_answer(
                    lambda req, end=end: req.answer(OK, *lines)[:end]
                )
                status, problem = await self.call()
                self.assertEqual((502, "maybe"), (status, problem["ran"]))

    async def test_a_short_body_looks_whole(self):
        heads = (["Content-Length: 9"], [CHUNKED])
        for lines, body in zip(heads, (b"half", chunk(b"half")), strict=True):
            with self.subTest(lines=lines):
                self.scheduler.addresses.clear()
                self.ledger.calls.clear()
                await self.serve_answer(
                    lambda req, lines=lines, body=body: (
                        answer_head(req.request_id, OK, *lines) + body
                    )
                )
                with self.assertRaises(aiohttp.ClientPayloadError):
                    await self.book()
                await self.wait_for(lambda: len(self.ledger.calls) == 2)
                self.assertIsNone(self.ledger.calls[-1][2])

    async def test_what_comes_after_the_end_of_an_answer_is_passed_on(self):
        def own(req):
            return req.answer(OK, body=b"1")

        def own_and_more(req):
            return own(req) + b"more"

        for answers in ((own_and_more,), (own, b"more")):
            with self.subTest(answers=answers):
                self.scheduler.addresses.clear()
                await self.serve_answer(*answers, pause_s=0.05)
                for _ in range(2):
                    status, body = await self.call()
                    if status == 200:
                        self.assertEqual(b"1", body)
                        continue
                    self.assertEqual((502, "maybe"), (status, body["ran"]))

    async def test_a_second_answer_is_the_rest_of_a_cut_body(self):
        for size, kept in ((200, 100), (200, 170), (2_000, 90)):
            with self.subTest(size=size, kept=kept):
                self.scheduler.addresses.clear()
                await self.serve_answer(
                    lambda req, size=size, kept=kept: req.answer(OK, body=b"1" * size)[
                        : kept - size
                    ],
                    lambda req, size=size: req.answer(OK, body=b"2" * size),
                    pause_s=0.05,
                )
                with self.assertRaises(aiohttp.ClientPayloadError):
                    await self.call()

    async def test_an_error_event_fills_a_cut_answer_up(self):
        """An answer with a length is closed before that length is reached."""
        begun = b"data: 0\n\n"
        for length in (40, 400):
            with self.subTest(length=length):
                self.scheduler.addresses.clear()
                lines = (STREAM, f"Content-Length: {length}")
                await self.serve_answer(
                    lambda req, lines=lines: (
                        answer_head(req.request_id, OK, *lines) + begun
                    )
                )
                got = await self.send_raw(GET % (b"1.1", b"10"))
                self.assertEqual(begun, got.partition(b"\r\n\r\n")[2])


class InterruptedResponseTests(AnsweredTestCase):
    """A response that a time limit or a stop ends looks whole only if it is."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.end = asyncio.Event()

    async def begin(self, version: bytes, timeout: bytes = b"30", request=GET):
        """Return the connection of a caller whose response has begun."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(request % (version, timeout))
        async with asyncio.timeout(5):
            await reader.readuntil(b"data: 0\n\n")
        return reader

    async def serve_begun(self) -> None:
        async def serve(req, writer):
            head = answer_head(req.request_id, OK, STREAM, CHUNKED)
            writer.write(head + chunk(b"data: 0\n\n"))
            await self.end.wait()

        await self.serve_requests(serve)
        self.addCleanup(self.end.set)

    async def assert_cut(self, reader, version: bytes) -> None:
        """Check that the rest is cut; without framing, only a reset shows that."""
        async with asyncio.timeout(8):
            if version == b"1.0":
                with self.assertRaises(ConnectionResetError):
                    await reader.read()
            else:
                self.assertNotIn(b"\r\n0\r\n\r\n", b"\r\n" + await reader.read())

    async def test_a_response_that_a_timeout_ends_looks_whole(self):
        for version in (b"1.0", b"1.1"):
            with self.subTest(version=version):
                await self.serve_begun()
                reader = await self.begin(version, b"0.2")
                await self.assert_cut(reader, version)

    async def test_a_response_that_a_stop_ends_looks_whole(self):
        await self.serve_begun()
        versions = (b"1.0", b"1.1")
        readers = [await self.begin(version) for version in versions]
        await self.callers.stop()
        for reader, version in zip(readers, versions, strict=True):
            with self.subTest(version=version):
                await self.assert_cut(reader, version)

    async def test_a_response_to_a_claimed_request_that_a_stop_ends_looks_whole(self):
        """Such a run goes on without its caller."""
        await self.serve_begun()
        booking = b"POST /services/counter/bookings HTTP/%b\r\nIdempotency-Key: 1\r\n"
        booking += GET.partition(b"\r\n")[2]
        reader = await self.begin(b"1.0", request=booking)
        await self.callers.stop()
        await self.assert_cut(reader, b"1.0")

    async def test_a_whole_response_without_framing_looks_cut(self):
        for size in (0, 20, 4_000_000):
            with self.subTest(size=size):
                self.scheduler.addresses.clear()
                body = b"x" * size
                await self.serve_answer(
                    lambda req, body=body: (
                        answer_head(req.request_id, OK, CHUNKED)
                        + (chunk(body) if body else b"")
                        + b"0\r\n\r\n"
                    )
                )
                got = await self.send_raw(GET % (b"1.0", b"10"))
                self.assertEqual(body, got.partition(b"\r\n\r\n")[2])
                self.assertNotIn(b"chunked", got[:500])

    async def test_a_response_that_a_fault_ends_looks_whole(self):
        for version in (b"1.0", b"1.1"):
            with self.subTest(version=version):
                self.scheduler.addresses.clear()
                self.end.clear()
                await self.serve_begun()
                fail = mock.Mock(side_effect=ValueError("a fault"))
                with mock.patch.object(ResponseProgress, "record", fail):
                    host, _, port = self.address.rpartition(":")
                    reader, writer = await asyncio.open_connection(host, int(port))
                    self.addCleanup(writer.close)
                    writer.write(GET % (version, b"30"))
                    await self.assert_cut(reader, version)


class SlowCallerTests(AnsweredTestCase):
    """A caller that reads late gets a whole response or sees that it is cut."""

    LAST = b"data: " + b"z" * 20_000 + b"\n\n"

    async def serve_until_full(self) -> None:
        """Start a server that ends its answer while the caller's connection is full."""
        self.ended = asyncio.Event()

        async def serve(req, writer):
            writer.write(answer_head(req.request_id, OK, STREAM, CHUNKED))
            event = chunk(b"data: " + b"y" * 8_000 + b"\n\n")
            while self.unsent_bytes() < 45_000:
                writer.write(event)
                await writer.drain()
                await asyncio.sleep(0.001)
            writer.write(chunk(self.LAST) + b"0\r\n\r\n")
            await writer.drain()
            self.ended.set()
            await asyncio.sleep(2)

        await self.serve_requests(serve)

    def unsent_bytes(self) -> int:
        for exchange in self.callers._in_progress:
            return exchange.http.transport.get_write_buffer_size()
        return 0

    async def read_late(self, method: bytes, path: bytes, *lines: bytes) -> bytes:
        """Return the response to a caller that reads once its timeout has passed."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
        writer.transport.pause_reading()
        head = [method + b" " + path + b" HTTP/1.1", b"Host: x", *lines]
        head += [b"Authorization: Bearer key-1", b"Fuchsiacroft-Timeout: 1.5"]
        writer.write(b"\r\n".join([*head, b"", b""]))
        async with asyncio.timeout(5):
            await self.ended.wait()
        await self.wait_for(lambda: self.scheduler.released)
        writer.transport.resume_reading()
        async with asyncio.timeout(5):
            got = await reader.read()
        writer.close()
        return got

    async def test_an_error_event_follows_the_end_of_a_response(self):
        await self.serve_until_full()
        got = await self.read_late(b"GET", b"/services/counter/x")
        self.assertTrue(got.endswith(self.LAST + b"\r\n0\r\n\r\n"), got[-200:])

    async def test_the_outcome_of_a_whole_answer_is_lost_by_a_slow_caller(self):
        await self.serve_until_full()
        with mock.patch("fuchsiacroft.entry.run.MAX_STORED_RESPONSE_BYTES", 1 << 26):
            path = b"/services/counter/bookings"
            await self.read_late(
                b"POST", path, b"Idempotency-Key: booking-1", b"Content-Length: 0"
            )
        await self.wait_for(lambda: len(self.ledger.calls) == 2)
        command, _, stored = self.ledger.calls[-1]
        self.assertEqual("settle", command)
        self.assertIsNotNone(stored)
        self.assertEqual(200, stored.status)
        self.assertTrue(stored.body.endswith(self.LAST))
