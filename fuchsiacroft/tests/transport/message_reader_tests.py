"""Tests that messages are read without keeping the rest of a process waiting."""

import asyncio
import time

import zmq

from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.transport.message_reader import MAX_READ, MessageReader

HANDLING_S = 0.005
TIMER_S = 0.02


class MessageReaderTests(SocketTestCase):
    """A reader whose messages take long to handle."""

    async def asyncSetUp(self):
        ctx = zmq.Context()
        self.addCleanup(ctx.term)
        self.receiver = ctx.socket(zmq.PULL)
        self.addCleanup(self.receiver.close, 0)
        port = self.receiver.bind_to_random_port("tcp://127.0.0.1")
        self.sender = ctx.socket(zmq.PUSH)
        self.addCleanup(self.sender.close, 0)
        self.sender.connect(f"tcp://127.0.0.1:{port}")

    async def test_a_timer_waits_until_all_messages_are_handled(self):
        for _ in range(MAX_READ):
            self.sender.send(b"")
        await asyncio.sleep(0.2)
        handled: list[float] = []

        def handle(frames: list[bytes]) -> None:
            time.sleep(HANDLING_S)
            handled.append(time.perf_counter())

        reader = MessageReader(self.receiver, handle)
        self.addCleanup(reader.close)
        await asyncio.sleep(TIMER_S)
        self.assertTrue(handled)
        self.assertLess(len(handled), MAX_READ / 2)
        async with asyncio.timeout(5):
            while len(handled) < MAX_READ:
                await asyncio.sleep(TIMER_S)
