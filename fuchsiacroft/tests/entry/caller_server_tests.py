"""Tests of stopping to listen while callers connect."""

import asyncio
import contextlib
import socket
import threading

import uvloop
from aiohttp import web

from fuchsiacroft.config.route_table import CallerLimits
from fuchsiacroft.entry.caller_server import CallerServer
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.fakes.ports import free_address

CALLERS = 50
REQUEST = b"GET / HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\r\n"
KEPT_REQUEST = b"GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n"


class StopListeningTests(TestCase):
    """Connections that the kernel has accepted are served, on either event loop."""

    def setUp(self):
        super().setUp()
        self.address = free_address()
        self.connections: list[socket.socket] = []
        self.addCleanup(self.close_connections)

    def close_connections(self) -> None:
        for conn in self.connections:
            conn.close()

    def connect_and_send(self) -> None:
        """Connect many callers and send their requests."""
        host, port = self.address.split(":")
        for _ in range(CALLERS):
            conn = socket.create_connection((host, int(port)), timeout=5.0)
            conn.sendall(REQUEST)
            self.connections.append(conn)

    async def stop_while_callers_connect(self) -> None:
        async def serve(http: web.BaseRequest) -> web.Response:
            return web.Response(text="fine")

        def reject(http: web.BaseRequest, status: int, message: str) -> web.Response:
            return web.Response(status=status)

        server = CallerServer(serve, reject, CallerLimits)
        await server.listen(self.address, None)
        callers = threading.Thread(target=self.connect_and_send)
        callers.start()
        callers.join()  # The event loop stands still, so it accepts none of them.
        await server.stop_listening()
        await server.close()

    async def close_idle_while_a_request_arrives(self) -> None:
        async def serve(http: web.BaseRequest) -> web.Response:
            http.protocol.has_received_request = True
            return web.Response(text="fine")

        server = CallerServer(serve, lambda *_: web.Response(), CallerLimits)
        await server.listen(self.address, None)
        host, port = self.address.split(":")
        conn = socket.create_connection((host, int(port)), timeout=5.0)
        self.connections.append(conn)
        conn.sendall(KEPT_REQUEST)
        self.assertTrue((await asyncio.to_thread(conn.recv, 1024)).endswith(b"fine"))
        conn.sendall(REQUEST)
        server.close_idle()
        await asyncio.sleep(0.1)
        await server.close()

    def answered(self) -> int:
        count = 0
        for conn in self.connections:
            with contextlib.suppress(OSError):
                count += conn.recv(1024).startswith(b"HTTP/1.1 200")
        return count

    def assert_all_answered(self, loop_factory) -> None:
        with asyncio.Runner(loop_factory=loop_factory) as runner:
            runner.run(self.stop_while_callers_connect())
        self.assertEqual(CALLERS, self.answered())
        with self.assertRaises(ConnectionRefusedError):
            self.connect_and_send()

    def test_connections_in_the_backlog_of_a_stopping_entry_are_answered(self):
        self.assert_all_answered(uvloop.new_event_loop)

    def test_a_request_that_has_arrived_on_an_idle_connection_is_answered(self):
        for loop_factory in (uvloop.new_event_loop, asyncio.new_event_loop):
            with self.subTest(loop_factory):
                with asyncio.Runner(loop_factory=loop_factory) as runner:
                    runner.run(self.close_idle_while_a_request_arrives())
                self.assertEqual(1, self.answered())
                self.connections.clear()

    def test_connections_in_the_backlog_are_answered_on_the_standard_loop(self):
        self.assert_all_answered(asyncio.new_event_loop)
