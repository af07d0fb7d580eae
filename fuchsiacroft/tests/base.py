"""The shared base of the tests."""

import asyncio
import unittest

from fuchsiacroft.tests.fakes.loop import PausedLoop
from fuchsiacroft.utils import logs


class TestCase(unittest.TestCase):
    """A test without an event loop."""

    def setUp(self) -> None:
        logs.configure("ERROR")


class PausedTestCase(TestCase):
    """Runs coroutines on a loop whose clock is paused and advances itself."""

    def run_paused(self, coro):
        with asyncio.Runner(loop_factory=PausedLoop) as runner:
            return runner.run(coro)


class SocketTestCase(unittest.IsolatedAsyncioTestCase):
    """A test with real sockets on loopback and the real clock."""

    def setUp(self) -> None:
        logs.configure("ERROR")
