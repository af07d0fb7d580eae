"""Tests of orders over HTTP against the simulated engine."""

import asyncio
import contextlib
from unittest import mock

import aiohttp
from aiohttp import web

from fuchsiacroft.control import engine_orders
from fuchsiacroft.control.engine_orders import EngineOrder, SendError
from fuchsiacroft.entry.at_most_once import AddressConnector
from fuchsiacroft.entry.problems import REQUEST_ID_HEADER
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.standin import answer_names
from fuchsiacroft.standin.orders import OrderExecutor
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.utils.http import Listener

HEADER = REQUEST_ID_HEADER.encode()


class EngineOrdersTests(SocketTestCase):
    """HTTP responses of an engine are mapped to results."""

    async def asyncSetUp(self):
        self.sender = engine_orders.create()
        await self.sender.start(Kernel())
        self.addAsyncCleanup(self.sender.stop)

    async def serve(self, checks_fencing):
        app = web.Application()
        OrderExecutor(checks_fencing, load_s=0.0).add_routes(app)
        answer_names.add_names(app)
        address = free_address()
        listener = Listener(app, address)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        return address

    async def test_an_order_is_executed(self):
        address = await self.serve(True)
        sent = await self.sender.send(address, EngineOrder("1", 7, "load", "a"))
        self.assertTrue(sent.is_ok())

    async def test_an_old_fencing_token_is_rejected(self):
        address = await self.serve(True)
        await self.sender.send(address, EngineOrder("1", 7, "load", "a"))
        sent = await self.sender.send(address, EngineOrder("2", 6, "unload", "a"))
        self.assertIs(SendError.FENCED, sent.error)

    async def test_an_engine_may_ignore_fencing_tokens(self):
        address = await self.serve(False)
        await self.sender.send(address, EngineOrder("1", 7, "load", "a"))
        sent = await self.sender.send(address, EngineOrder("2", 6, "unload", "a"))
        self.assertTrue(sent.is_ok())

    async def test_a_second_answer_is_not_taken_for_that_of_the_next_order(self):
        address = await self.serve_twice()
        first = await self.sender.send(address, EngineOrder("1", 7, "load", "a"))
        await asyncio.sleep(0.05)
        second = await self.sender.send(address, EngineOrder("2", 7, "unload", "a"))
        self.assertTrue(first.is_ok())
        self.assertIs(SendError.REFUSED, second.error)

    async def serve_twice(self) -> str:
        """Serve orders by 200 and then 503; a copy of the first answer comes late."""
        statuses = iter((b"200 OK", b"503 Busy"))

        async def serve(reader, writer) -> None:
            copy = b""
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    request_id = _request_id(await reader.readuntil(b"\r\n\r\n"))
                    writer.write(copy)
                    copy = _answer(next(statuses), request_id)
                    writer.write(copy)
            writer.close()

        return await self.listen(serve)

    async def listen(self, serve) -> str:
        address = free_address()
        host, port = address.split(":")
        server = await asyncio.start_server(serve, host, int(port))
        self.addCleanup(server.close)
        return address

    async def serve_answers(self, *answers: bytes) -> str:
        """Serve each order by these answers, and then by a 503 of its own."""

        async def serve(reader, writer) -> None:
            request_id = _request_id(await reader.readuntil(b"\r\n\r\n"))
            for answer in (*answers, _answer(b"503 Busy", request_id)):
                writer.write(answer)
                await asyncio.sleep(0.02)
            writer.close()

        return await self.listen(serve)

    async def test_an_answer_to_another_order_counts_as_its_execution(self):
        done = _answer(b"200 OK", b"another-order")
        address = await self.serve_answers(done)
        sent = await self.sender.send(address, EngineOrder("1", 7, "load", "a"))
        self.assertEqual(SendError.REFUSED, sent.default_with(lambda error: error))

    async def test_an_answer_that_names_no_order_counts_as_its_execution(self):
        for done in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n\r\n",
        ):
            with self.subTest(done=done):
                address = await self.serve_answers(done)
                sent = await self.sender.send(address, EngineOrder("1", 7, "load", "a"))
                self.assertEqual(
                    SendError.NO_ANSWER, sent.default_with(lambda error: error)
                )

    async def test_a_leader_that_loses_its_lease_while_it_connects_sends_nothing(self):
        address = await self.serve(False)
        has_lease = True
        connect = AddressConnector._create_connection

        async def connect_and_lose_lease(connector, *args):
            nonlocal has_lease
            conn = await connect(connector, *args)
            has_lease = False
            return conn

        order = EngineOrder("1", 7, "load", "a")
        with mock.patch.object(
            AddressConnector, "_create_connection", connect_and_lose_lease
        ):
            sent = await self.sender.send(address, order, lambda: has_lease)
        self.assertIs(SendError.NO_ANSWER, sent.error)
        self.assertEqual([], await self.executed(address))

    async def executed(self, address: str) -> list:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{address}/orders") as response,
        ):
            return (await response.json())["carried_out"]

    async def test_a_stopped_engine_gives_no_answer(self):
        sent = await self.sender.send(free_address(), EngineOrder("1", 7, "load"))
        self.assertIs(SendError.NO_ANSWER, sent.error)


def _request_id(head: bytes) -> bytes:
    """Return the id that a request bears, or nothing."""
    return head.partition(HEADER + b": ")[2].split(b"\r\n", 1)[0]


def _answer(status: bytes, request_id: bytes) -> bytes:
    """Return an answer that names a request."""
    lines = [b"HTTP/1.1 " + status, HEADER + b": " + request_id, b"Content-Length: 0"]
    return b"\r\n".join([*lines, b"", b""])
