"""Tests of resetting connections."""

import asyncio
import socket

import uvloop

from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.utils import connections


class ResetTests(TestCase):
    """The peer of a reset connection sees an error, on either event loop."""

    async def receive_from_reset_connection(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = free_address().split(":")
        writers = []

        async def serve(reader, writer) -> None:
            writers.append(writer)
            writer.write(b"a part")

        server = await asyncio.start_server(serve, host, int(port))
        with socket.create_connection((host, int(port)), timeout=5.0) as conn:
            self.assertEqual(b"a part", await loop.run_in_executor(None, conn.recv, 9))
            connections.reset(writers[0].transport)
            connections.reset(writers[0].transport)
            with self.assertRaises(ConnectionResetError):
                await loop.run_in_executor(None, conn.recv, 9)
        server.close()

    def test_a_reset_connection_does_not_end_in_order(self):
        for loop_factory in (uvloop.new_event_loop, asyncio.new_event_loop):
            with (
                self.subTest(loop_factory),
                asyncio.Runner(loop_factory=loop_factory) as runner,
            ):
                runner.run(self.receive_from_reset_connection())
