"""Tests of the connections to backend servers, each of which carries one request."""

import asyncio
import socket
import time

import aiohttp

from fuchsiacroft.entry.at_most_once import SendGuard, WithheldError, open_session
from fuchsiacroft.tests.base import PausedTestCase, SocketTestCase
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.tests.fakes.replica import response_head
from fuchsiacroft.utils import connections
from fuchsiacroft.utils.http import split_address

BLOCK = 64 * 1024
SMALL_BUFFER_BYTES = 4_096
MAX_SENT = 16 * 1024 * 1024
"""The kernel buffers some megabytes on both sides."""
CHUNKED = "Transfer-Encoding: chunked"
ENDLESS = {
    "interim heads": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2_000),
    "blank lines": (b"", b"\r\n" * 30_000),
    "a header line": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x" * BLOCK),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-Many: y\r\n" * 5_000),
    "a status line": (b"HTTP/1.1 200 ", b"x" * BLOCK),
    "no protocol": (b"", b"\x00" * BLOCK),
    "a chunk extension": (response_head("200 OK", CHUNKED) + b"5;", b"e" * BLOCK),
    "trailers": (response_head("200 OK", CHUNKED) + b"0\r\n", b"X-T: y\r\n" * 5_000),
}


class EndlessBytesTests(SocketTestCase):
    """A connection that goes on without an answer is closed after a few bytes."""

    async def asyncSetUp(self) -> None:
        self.address = free_address()
        host, port = self.address.split(":")
        self.sent = 0
        self.start, self.block = b"", b""
        self.tasks: set[asyncio.Task] = set()
        server = await asyncio.start_server(self.serve, host, int(port))
        self.addCleanup(server.close)
        self.session = open_session(1.0)
        self.addAsyncCleanup(self.session.close)

    async def serve(self, reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.start)
        try:
            while self.block:
                writer.write(self.block)
                self.sent += len(self.block)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def read(self) -> bytes:
        url = f"http://{self.address}/"
        async with asyncio.timeout(3.0):
            response = await self.session.get(url, middlewares=(SendGuard(),))
            try:
                return await response.read()
            finally:
                response.close()

    async def test_bytes_without_end_that_are_no_answer_end_the_connection(self):
        for name, (start, block) in ENDLESS.items():
            with self.subTest(name):
                self.start, self.block, self.sent = start, block, 0
                with self.assertRaises(aiohttp.ClientError):
                    await self.read()
                self.assertLess(self.sent, MAX_SENT)

    async def test_an_answer_in_chunks_of_one_byte_is_read(self):
        body = b"1\r\nx\r\n" * 100_000 + b"0\r\n\r\n"
        self.start = response_head("200 OK", CHUNKED) + body
        self.assertEqual(b"x" * 100_000, await self.read())


class CutHeadTests(SocketTestCase):
    """A head that is cut at any byte is no answer."""

    async def test_a_cut_head_is_taken_for_an_answer(self):
        head = response_head("200 OK", "Content-Length: 4", "X-Last: 1")
        address = free_address()
        host, port = address.split(":")
        ends = iter(())

        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            cut, is_reset = next(ends)
            writer.write(head[:cut])
            await writer.drain()
            if is_reset:
                connections.reset(writer.transport)
            writer.close()

        server = await asyncio.start_server(serve, host, int(port))
        self.addCleanup(server.close)
        session = open_session(1.0)
        self.addAsyncCleanup(session.close)
        cuts = [(cut, reset) for cut in range(len(head)) for reset in (False, True)]
        ends = iter(cuts)
        for cut in cuts:
            with self.subTest(cut=cut), self.assertRaises(aiohttp.ClientError):
                await session.get(f"http://{address}/", middlewares=(SendGuard(),))


class EarlyAnswerTests(SocketTestCase):
    """An answer without a length begins, and ends, while the request is uploaded."""

    async def asyncSetUp(self) -> None:
        self.address = free_address()
        self.lines: tuple[str, ...] = ()
        self.end = self.close
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.bind(split_address(self.address))
        server = await asyncio.start_server(self.serve, sock=sock)
        self.addCleanup(server.close)
        self.session = open_session(1.0)
        self.addAsyncCleanup(self.session.close)

    async def serve(self, reader, writer) -> None:
        """Answer the head of a request, and read nothing of its body."""
        reader._transport.pause_reading()
        writer.write(response_head("200 OK", *self.lines) + b"data: part\n\n")
        await writer.drain()
        await asyncio.sleep(0.1)
        await self.end(writer)

    async def reset(self, writer) -> None:
        connections.reset(writer.transport)

    async def close(self, writer) -> None:
        writer.close()

    async def close_one_way(self, writer) -> None:
        writer.write_eof()
        await asyncio.sleep(0.5)
        writer.close()

    async def test_a_part_is_taken_for_the_whole_while_a_request_is_sent(self):
        for size in (300_000, 3_000_000, 30_000_000):
            for end in (self.reset, self.close, self.close_one_way):
                for lines in ((), ("Content-Type: text/event-stream",)):
                    with self.subTest(size=size, end=end.__name__, lines=lines):
                        self.end, self.lines = end, lines
                        with self.assertRaises(aiohttp.ClientError):
                            await self.upload(bytes(size))

    async def test_a_whole_answer_to_a_request_that_was_sent_whole_is_given_up(self):
        self.end = self.close_one_way
        self.assertEqual(b"data: part\n\n", await self.upload(b"small"))

    async def upload(self, body: bytes) -> bytes:
        url = f"http://{self.address}/"
        async with asyncio.timeout(3.0):
            response = await self.session.post(
                url, data=body, middlewares=(SendGuard(),)
            )
            try:
                return await response.read()
            finally:
                response.close()


class ExpiredPermissionTests(PausedTestCase):
    """A permission to send is checked when the connection is open."""

    def test_a_permission_that_ran_out_during_the_connect_is_not_used(self):
        async def run():
            guard = SendGuard(valid_until=1.0)
            await asyncio.sleep(1.0)
            with self.assertRaises(WithheldError):
                guard.begin()
            self.assertFalse(guard.sent)
            self.assertTrue(guard.withheld)

        self.run_paused(run())


class StoodStillTests(SocketTestCase):
    """The process stands still while a connection opens."""

    async def test_a_connection_that_opened_while_the_process_stood_still_is_given_up(
        self,
    ):
        address = free_address()
        host, port = address.split(":")

        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response_head("200 OK", "Content-Length: 0"))
            writer.close()

        server = await asyncio.start_server(serve, host, int(port))
        self.addCleanup(server.close)
        session = open_session(0.35)
        self.addAsyncCleanup(session.close)
        loop = asyncio.get_running_loop()
        sending = asyncio.ensure_future(
            session.get(f"http://{address}/", middlewares=(SendGuard(),))
        )
        await asyncio.sleep(0)
        loop.call_soon(time.sleep, 0.6)
        self.assertEqual(200, (await sending).status)
