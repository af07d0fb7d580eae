"""Tests of answers without a length that another answer follows."""

import asyncio

from fuchsiacroft.tests.fakes.platform_region import PlatformTestCase
from fuchsiacroft.tests.fakes.replica import (
    SEAL_HEADER,
    own_id,
    response,
    response_head,
    sse_events,
    stream_head,
    unframed_head,
)

LARGE = 3 * 1024 * 1024
STREAM = "Content-Type: text/event-stream"


class StutteringServer:
    """Answers without a length, and answers once more on the same connection.

    The second answer comes after `pause_s`, in pieces of `piece` bytes.
    """

    def __init__(self, body: bytes, *lines: str, second: bytes = b"") -> None:
        self.body = body
        self.lines = lines
        self.second = second
        self.pause_s = 0.0
        self.piece = 1_000_000

    async def __call__(self, req, writer) -> None:
        writer.write(unframed_head(req, *self.lines) + self.body)
        await writer.drain()
        await asyncio.sleep(self.pause_s)
        second = self.second or response(req, b"once more")
        for start in range(0, len(second), self.piece):
            writer.write(second[start : start + self.piece])
            await writer.drain()
            await asyncio.sleep(0.001)


class StutteringPlainAnswerTests(PlatformTestCase):
    """A second answer is never a part of the first."""

    async def send(self, server: StutteringServer):
        """Send a request to a server that then leaves."""
        replica = await self.region.add_replica("till", server)
        try:
            return await self.region.send_request("/book/1/", method="POST")
        finally:
            await self.region.remove_replica(replica, "till")

    async def test_a_second_answer_is_passed_on_as_the_end_of_the_first(self):
        for pause_s, piece in ((0.0, 1_000_000), (0.1, 1_000_000), (0.03, 7)):
            with self.subTest(pause_s=pause_s, piece=piece):
                server = StutteringServer(b"first")
                server.pause_s, server.piece = pause_s, piece
                got = await self.send(server)
                self.assertEqual(502, got.status)

    async def test_a_second_answer_is_the_end_of_a_large_one(self):
        body = bytes(range(256)) * (LARGE // 256)
        for piece in (1_000_000, 5):
            with self.subTest(piece=piece):
                server = StutteringServer(body)
                server.pause_s, server.piece = 0.02, piece
                got = await self.send(server)
                self.assertFalse(got.status == 200 and got.complete)
                self.assertTrue(body.startswith(got.body))

    async def test_a_body_that_speaks_of_the_protocol_is_refused(self):
        body = b"Servers speak HTTP/1.1 and answer 'HTTP/1.1 200 OK' to callers.\n"
        server = StutteringServer(body, second=b"HTTP/1.1 is old.\r\n")
        got = await self.send(server)
        self.assertEqual(200, got.status)
        self.assertEqual(body + b"HTTP/1.1 is old.\r\n", got.body)


class CutBodyTests(PlatformTestCase):
    """An answer that follows a cut body is no part of it."""

    async def test_a_second_answer_is_the_rest_of_a_cut_body(self):
        sizes = ((200, 100, 0.03), (200, 100, 0.0), (200, 170, 0.03), (LARGE, 90, 0.03))
        for size, kept, pause_s in sizes:
            with self.subTest(size=size, kept=kept, pause_s=pause_s):

                async def stutter(req, writer, size=size, kept=kept, pause_s=pause_s):
                    whole = response(req, b"a" * size)
                    writer.write(whole[: kept - size])
                    await writer.drain()
                    await asyncio.sleep(pause_s)
                    writer.write(response(req, b"b" * size))

                replica = await self.region.add_replica("till", stutter)
                got = await self.send("/book/1/")
                self.assertFalse(got is not None and got.status == 200)
                await self.region.remove_replica(replica, "till")

    async def send(self, path: str):
        """Return the response, or None if it is visibly cut."""
        try:
            got = await self.region.send_request(path, method="POST")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return got if got.complete else None

    async def test_a_page_that_quotes_an_answer_is_refused(self):
        page = b"A server says\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\r\n"

        async def answer(req, writer):
            writer.write(response(req, page))

        await self.region.add_replica("till", answer)
        got = await self.region.send_request("/book/1/", method="POST")
        self.assertEqual((200, page), (got.status, got.body))


class BrokenChunksTests(PlatformTestCase):
    """A body whose chunks are broken ends at once, and not at the time limit."""

    async def break_chunks(self, req, writer):
        writer.write(stream_head(req) + b"%x\r\n" % 200 + sse_events(1, 2))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(b"x" * 200 + b"no chunk")
        await writer.drain()
        await asyncio.sleep(60)

    async def test_a_stream_with_broken_chunks_is_held_to_its_timeout(self):
        await self.region.add_replica("lens", self.break_chunks)
        async with asyncio.timeout(1.5):
            got = await self.region.send_request("/advice/1/", method="POST")
        self.assertEqual((sse_events(1, 2), False), (got.body, got.complete))


class CutHeadTests(PlatformTestCase):
    """A head that is cut, and the answer that follows it, are no answer."""

    async def test_the_text_of_an_error_has_the_status_of_a_cut_head(self):
        cuts = (len("HTTP/1.1 200 OK"), -len("bc\r\n\r\n"), -len("\r\n\r\n"))
        for cut in cuts:
            with self.subTest(cut=cut):

                async def stutter(req, writer, cut=cut):
                    head = response_head("200 OK", SEAL_HEADER, own_id(req), "X-A: abc")
                    writer.write(head[:cut])
                    await writer.drain()
                    await asyncio.sleep(0.03)
                    writer.write(response(req, b"sorry", "500 Error"))

                for service, path in (("till", "/book/1/"), ("lens", "/advice/1/")):
                    replica = await self.region.add_replica(service, stutter)
                    got = await self.region.send_request(path, method="POST")
                    self.assertEqual(502, got.status)
                    self.assertNotIn(b"sorry", got.body)
                    await self.region.remove_replica(replica, service)


class StutteringStreamTests(PlatformTestCase):
    """A second answer is never a part of a stream."""

    async def test_a_second_answer_is_passed_on_within_a_stream(self):
        async def stutter(req, writer):
            writer.write(unframed_head(req, STREAM) + sse_events(1, 2))
            await writer.drain()
            await asyncio.sleep(0.03)
            writer.write(unframed_head(req, STREAM) + sse_events(1, 2))

        await self.region.add_replica("lens", stutter)
        got = await self.region.send_request("/advice/1/", method="POST")
        self.assertEqual((sse_events(1, 2), False), (got.body, got.complete))

    async def test_events_of_another_stream_are_passed_on(self):
        """The ids of a stream's events increase."""
        pauses_s = (0.0, 0.05)

        async def repeat(req, writer):
            writer.write(unframed_head(req, STREAM) + sse_events(1, 2, 3))
            await writer.drain()
            await asyncio.sleep(pauses_s[int(req.request_line.split("/")[2])])
            writer.write(sse_events(2, 3, 4))

        await self.region.add_replica("lens", repeat)
        for number in range(len(pauses_s)):
            path = f"/advice/{number}/"
            got = await self.region.send_request(path, method="POST")
            self.assertFalse(got.status == 200 and got.complete)
            self.assertNotIn(sse_events(4), got.body)


class ContinuedStreamTests(PlatformTestCase):
    """A stream goes on with its own events, or is visibly broken off."""

    async def play(self, continuation):
        """Break a stream off after two events; return what the caller gets of it."""
        runs = []

        async def serve(req, writer):
            runs.append(req)
            if len(runs) > 1:
                await continuation(req, writer)
                return
            writer.write(stream_head(req))
            writer.write(b"%x\r\n%b\r\n" % (len(sse_events(1, 2)), sse_events(1, 2)))
            writer.write(b"8\r\nid: 3\nda\r\n")
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()

        replicas = [await self.region.add_replica("lens", serve) for _ in range(2)]
        path = f"/report/{replicas[0].replica_id}/"
        got = await self.region.send_request(path, method="POST")
        self.assertEqual(2, len(runs))
        for replica in replicas:
            await self.region.remove_replica(replica, "lens")
        return got

    async def assert_broken_off(self, status: str, *lines: str, body: bytes) -> None:
        async def answer(req, writer):
            length = f"Content-Length: {len(body)}"
            head = response_head(status, SEAL_HEADER, own_id(req), length, *lines)
            writer.write(head + body)

        got = await self.play(answer)
        self.assertEqual((200, False), (got.status, got.complete))
        self.assertEqual(sse_events(1, 2), got.body)

    async def test_the_text_of_an_error_is_a_part_of_a_stream(self):
        for status in ("404 Gone", "400 Bad", "500 Error", "302 Found", "206 Partial"):
            with self.subTest(status):
                await self.assert_broken_off(status, body=b"no such stream")

    async def test_the_text_of_a_large_error_is_a_part_of_a_stream(self):
        for status in ("404 Gone", "500 Error"):
            with self.subTest(status):
                await self.assert_broken_off(status, body=b"sorry " * 400_000)

    async def test_a_page_is_a_part_of_a_stream(self):
        page = b"<p>\n\nid: 9\ndata: page\n\n"
        await self.assert_broken_off("200 OK", "Content-Type: text/html", body=page)

    async def test_events_that_the_caller_has_are_a_part_of_a_stream_again(self):
        await self.assert_broken_off("200 OK", STREAM, body=sse_events(1, 2, 3))

    async def test_a_stream_is_whole_without_an_event_that_had_begun(self):
        await self.assert_broken_off("200 OK", STREAM, body=b"")

    async def test_a_continuation_without_a_signature_is_a_part_of_a_stream(self):
        async def unsigned(req, writer):
            body = sse_events(3)
            length = f"Content-Length: {len(body)}"
            head = response_head("200 OK", own_id(req), STREAM, length)
            writer.write(head + body)

        got = await self.play(unsigned)
        self.assertEqual((sse_events(1, 2), False), (got.body, got.complete))
