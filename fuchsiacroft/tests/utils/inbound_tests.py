"""Tests of one connection of an untrusted client, and of ordinary ones beside it."""

import asyncio
import dataclasses
import ssl
import tempfile
from collections import Counter
from pathlib import Path
from unittest import mock

import uvloop
from aiohttp import web

from fuchsiacroft.config.defaults import MAX_READ_BYTES
from fuchsiacroft.config.route_table import CallerLimits
from fuchsiacroft.entry.caller_server import CallerServer
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.fakes import platform_wire
from fuchsiacroft.tests.fakes.certificates import write_certificate
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.utils.http import Listener
from fuchsiacroft.utils.inbound import (
    InboundProtocol,
    open_connections,
    refused_inputs,
)
from fuchsiacroft.utils.inbound_limits import InboundLimits

LIMITS = InboundLimits(
    max_connections=4,
    max_head_bytes=20_000,
    max_framing_bytes=8_192,
    max_pipelined_requests=4,
    max_held_bytes=300_000,
    head_timeout_s=0.2,
)
CALLER_LIMITS = CallerLimits(header_timeout_s=0.2, idle_timeout_s=5.0)
GET = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b"
CHUNKED = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUESTS = 300
TIMEOUT_S = 10.0


class InboundTestCase(TestCase):
    """Runs a test against both kinds of servers, on both event loops."""

    tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None

    def run_all(self, test, limits: InboundLimits = LIMITS) -> None:
        for kind in (self.listen, self.listen_for_callers):
            for loop_factory in (uvloop.new_event_loop, asyncio.new_event_loop):
                name = f"{kind.__name__} {loop_factory.__module__}"
                runner = asyncio.Runner(loop_factory=loop_factory)
                with self.subTest(name), runner:
                    runner.run(self.run_one(kind, test, limits))

    async def run_one(self, kind, test, limits: InboundLimits) -> None:
        self.served = []
        self.writers = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.address = free_address()
        refused_inputs.clear()
        server = await kind(limits)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await test()
        finally:
            for writer in self.writers:
                writer.transport.abort()
            await (server.stop if isinstance(server, Listener) else server.close)()
        await asyncio.sleep(0.05)
        self.assertEqual(0, sum(open_connections.values()))

    async def listen(self, limits: InboundLimits) -> Listener:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.serve)
        listener = Listener(app, self.address, self.tls, name="test", limits=limits)
        await listener.start()
        return listener

    async def listen_for_callers(self, limits: InboundLimits) -> CallerServer:
        def reject(http, status, message):
            return web.Response(status=status, text=message)

        async def serve(http):
            try:
                return await self.serve(http)
            except web.RequestPayloadError:
                return web.Response(status=400)

        server = CallerServer(serve, reject, lambda: CALLER_LIMITS, limits)
        await server.listen(self.address, self.tls)
        return server

    async def serve(self, http: web.BaseRequest) -> web.Response:
        # `http.read()` has a limit of its own.
        body = await http.content.read()
        await self.may_answer.wait()
        self.served.append(http.path)
        return web.Response(text=f"{http.path} {len(body)}")

    async def connect(self):
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(
            host, int(port), ssl=self.client_tls
        )
        self.writers.append(writer)
        return reader, writer

    async def read(self, reader) -> tuple[int, str]:
        status, headers = await platform_wire.read_head(reader)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return status, body.decode()

    async def send_until_closed(self, writer, unit: bytes) -> None:
        try:
            while not writer.is_closing():
                writer.write(unit)
                await writer.drain()
                # Over TLS, writing to a lost connection raises nothing.
                await asyncio.sleep(0)
        except OSError:
            pass


class PipelinedTests(InboundTestCase):
    """Requests that are sent ahead are all served, in their order."""

    def test_requests_sent_ahead_are_lost_or_change_their_order(self):
        async def test():
            reader, writer = await self.connect()
            writer.write(b"".join(GET % n for n in range(REQUESTS)))
            for number in range(REQUESTS):
                self.assertEqual((200, f"/{number} 0"), await self.read(reader))

        self.run_all(test)

    def test_bodies_sent_ahead_are_lost_or_change_their_order(self):
        async def test():
            bodies = [b"x" * (n * 7_919 % 90_000) for n in range(60)]
            reader, writer = await self.connect()
            data = b"".join(POST % (n, len(b), b) for n, b in enumerate(bodies))
            sending = asyncio.ensure_future(self.send_in_pieces(writer, data))
            for number, body in enumerate(bodies):
                expected = (200, f"/{number} {len(body)}")
                self.assertEqual(expected, await self.read(reader))
            await sending

        self.run_all(test)

    async def send_in_pieces(self, writer, data: bytes) -> None:
        for start in range(0, len(data), 50_001):
            writer.write(data[start : start + 50_001])
            await writer.drain()

    def test_requests_sent_ahead_of_a_slow_one_are_read_without_end(self):
        async def test():
            self.may_answer.clear()
            reader, writer = await self.connect()
            writer.write(b"".join(GET % n for n in range(REQUESTS)))
            await asyncio.sleep(0.2)
            self.assertEqual([], self.served)
            self.may_answer.set()
            for number in range(REQUESTS):
                self.assertEqual((200, f"/{number} 0"), await self.read(reader))

        self.run_all(test)

    def test_a_large_body_behind_a_slow_request_is_not_read_on(self):
        async def test():
            self.may_answer.clear()
            body = b"x" * 4_000_000
            reader, writer = await self.connect()
            sending = asyncio.ensure_future(
                self.send_in_pieces(writer, GET % 0 + POST % (1, len(body), body))
            )
            await asyncio.sleep(0.2)
            self.may_answer.set()
            self.assertEqual((200, "/0 0"), await self.read(reader))
            self.assertEqual((200, f"/1 {len(body)}"), await self.read(reader))
            await sending

        self.run_all(test)

    def test_held_bytes_of_all_connections_fill_the_memory(self):
        async def test():
            self.may_answer.clear()
            block = b"".join(GET % n for n in range(10_000))
            sends = []
            for _ in range(3):
                _, writer = await self.connect()
                sends.append(
                    asyncio.ensure_future(self.send_until_closed(writer, block))
                )
            await asyncio.sleep(0.5)
            # The connection is closed after the request that is served.
            self.may_answer.set()
            await asyncio.wait(sends, timeout=1.0)
            for sending in sends:
                sending.cancel()
            reasons = {reason for _, reason in refused_inputs}
            self.assertIn("too_many_bytes_held", reasons)

        limits = dataclasses.replace(LIMITS, max_held_bytes=8_192)
        self.run_all(test, limits)


class RefusedTests(InboundTestCase):
    """What exceeds a limit is refused, and nothing after it runs."""

    async def assert_refused(self, data: bytes, status: int, reason: str) -> None:
        reader, writer = await self.connect()
        writer.write(data)
        self.assertEqual(status, (await self.read(reader))[0])
        self.assertEqual(b"", await reader.read())
        self.assertEqual({reason}, {reason for _, reason in refused_inputs})

    def test_a_head_of_many_lines_grows_without_end(self):
        head = b"GET / HTTP/1.1\r\nHost: x\r\n" + b"X-A: %s\r\n" % (b"a" * 4_000) * 6
        self.run_all(lambda: self.assert_refused(head, 431, "head_too_large"))

    def test_empty_lines_before_a_request_go_on_without_end(self):
        lines = b"\r\n" * 11_000
        self.run_all(lambda: self.assert_refused(lines, 431, "head_too_large"))

    def test_a_chunk_extension_runs_the_request(self):
        async def test():
            await self.assert_refused(
                CHUNKED + b"1;" + b"x" * 40_000, 400, "framing_too_large"
            )
            self.assertEqual([], self.served)

        self.run_all(test)

    def test_a_broken_chunk_leaves_the_request_waiting(self):
        async def test():
            await self.assert_refused(CHUNKED + b"zz\r\n", 400, "malformed")
            self.assertEqual([], self.served)

        self.run_all(test)

    def test_a_request_behind_a_broken_one_runs(self):
        async def test():
            await self.assert_refused(b"GET / x\r\n\r\n" + GET % 1, 400, "malformed")
            self.assertEqual([], self.served)

        self.run_all(test)

    def test_a_head_that_does_not_end_keeps_its_connection(self):
        async def test():
            await self.assert_refused((GET % 1)[:-2], 408, "head_timeout")

        self.run_all(test)

    def test_a_head_behind_a_request_keeps_its_connection(self):
        async def test():
            for begun in (GET % 1, POST % (1, 5, b"abcde")):
                reader, writer = await self.connect()
                writer.write(begun + (GET % 2)[:-2])
                self.assertEqual(200, (await self.read(reader))[0])
                self.assertEqual(408, (await self.read(reader))[0])
                self.assertEqual(b"", await reader.read())

        self.run_all(test)

    def test_a_head_in_single_bytes_behind_others_is_refused(self):
        async def test():
            reader, writer = await self.connect()
            data = b"\r\n" + GET % 1 + b"\r\n" + POST % (2, 3, b"abc") + GET % 3
            for number in range(len(data)):
                writer.write(data[number : number + 1])
                await asyncio.sleep(0)
            for answer in ("/1 0", "/2 3", "/3 0"):
                self.assertEqual((200, answer), await self.read(reader))
            await asyncio.sleep(2 * LIMITS.head_timeout_s)
            writer.write(GET % 4)
            self.assertEqual((200, "/4 0"), await self.read(reader))

        self.run_all(test)

    def test_small_chunks_and_trailers_are_refused(self):
        async def test():
            reader, writer = await self.connect()
            trailers = b"0\r\nX-Trailer: a\r\n\r\n"
            writer.write(CHUNKED + b"1;a=b\r\nx\r\n" * 20_000 + trailers)
            self.assertEqual((200, "/ 20000"), await self.read(reader))
            writer.write(b"\r\n" + GET % 2)
            self.assertEqual((200, "/2 0"), await self.read(reader))

        self.run_all(test)


class SmallChunkTests(InboundTestCase):
    """A crowd sends bodies in chunks of one byte."""

    crowd = 20
    chunks = 9_000

    def test_a_crowd_that_sends_small_chunks_keeps_the_loop_from_others(self):
        parsed: Counter[int] = Counter()
        parse = InboundProtocol._parse

        def record(conn: InboundProtocol, data: bytes) -> None:
            parsed[self.iteration] += len(data)
            parse(conn, data)

        async def count_iterations() -> None:
            while True:
                self.iteration += 1
                await asyncio.sleep(0)

        async def test():
            self.iteration = 0
            parsed.clear()
            conns = [await self.connect() for _ in range(self.crowd + 1)]
            await asyncio.sleep(0.1)
            counting = asyncio.ensure_future(count_iterations())
            for _, writer in conns[1:]:
                writer.write(CHUNKED + b"1\r\nx\r\n" * self.chunks + b"0\r\n\r\n")
            reader, writer = conns[0]
            writer.write(GET % 1)
            self.assertEqual((200, "/1 0"), await self.read(reader))
            self.assertLess(sum(parsed.values()), self.crowd * self.chunks)
            for reader, _ in conns[1:]:
                self.assertEqual((200, f"/ {self.chunks}"), await self.read(reader))
            counting.cancel()
            self.assertLessEqual(max(parsed.values()), MAX_READ_BYTES)

        limits = dataclasses.replace(
            LIMITS, max_connections=self.crowd + 1, max_held_bytes=4_000_000
        )
        with mock.patch.object(InboundProtocol, "_parse", record):
            self.run_all(test, limits)


class CrowdTests(InboundTestCase):
    """Where there are too many connections, one that waits is closed."""

    def test_idle_connections_keep_a_caller_out(self):
        async def test():
            crowd = [await self.connect() for _ in range(LIMITS.max_connections)]
            await asyncio.sleep(0.1)
            reader, writer = await self.connect()
            writer.write(GET % 1)
            self.assertEqual(200, (await self.read(reader))[0])
            self.assertEqual(b"", await crowd[0][0].read())
            reasons = {reason for _, reason in refused_inputs}
            self.assertEqual({"closed_for_another"}, reasons)

        self.run_all(test)

    def test_a_caller_that_is_served_loses_its_connection(self):
        async def test():
            self.may_answer.clear()
            conns = [await self.connect() for _ in range(LIMITS.max_connections)]
            for _, writer in conns:
                writer.write(GET % 1)
            await asyncio.sleep(0.1)
            refused, _ = await self.connect()
            self.assertEqual(503, (await self.read(refused))[0])
            self.assertEqual(b"", await refused.read())
            self.may_answer.set()
            for reader, _ in conns:
                self.assertEqual(200, (await self.read(reader))[0])

        self.run_all(test)


class TlsTests(InboundTestCase):
    """The limits are the same behind TLS, and ordinary requests are served."""

    def setUp(self):
        super().setUp()
        folder = self.enterContext(tempfile.TemporaryDirectory())
        files = write_certificate(Path(folder))
        self.tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self.tls.load_cert_chain(files.certificate, files.key)
        self.client_tls = ssl.create_default_context(cafile=files.ca)

    def test_large_bodies_and_requests_sent_ahead_are_lost_behind_tls(self):
        async def test():
            body = b"x" * 2_000_000
            reader, writer = await self.connect()
            writer.write(POST % (0, len(body), body))
            writer.write(b"".join(GET % n for n in range(1, REQUESTS)))
            self.assertEqual((200, f"/0 {len(body)}"), await self.read(reader))
            for number in range(1, REQUESTS):
                self.assertEqual((200, f"/{number} 0"), await self.read(reader))

        self.run_all(test)

    def test_a_head_grows_without_end_behind_tls(self):
        async def test():
            reader, writer = await self.connect()
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n" + b"X-A: a\r\n" * 100)
            await self.send_until_closed(writer, b"\r" * 100_000)
            reasons = {reason for _, reason in refused_inputs}
            self.assertLessEqual(reasons, {"malformed", "head_too_large"})
            self.assertEqual([], self.served)

        self.run_all(test)
