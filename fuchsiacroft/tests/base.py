"""Base classes of the tests."""

import asyncio
import unittest

from loguru import logger

from fuchsiacroft.tests.fakes.virtual_time import VirtualTimeLoop
from fuchsiacroft.utils import logs

TASK_FAILURES = ("event=task_failed", "event=step_failed")


class TestCase(unittest.TestCase):
    """A test that also fails if a background task has failed.

    A class whose tests make tasks fail on purpose sets `expects_failures`.
    """

    expects_failures = False

    def setUp(self) -> None:
        logs.configure("ERROR")
        failures: list[str] = []
        sink = logger.add(failures.append, filter=_is_task_failure, level="ERROR")
        if not self.expects_failures:
            self.addCleanup(self.assertEqual, [], failures)
        self.addCleanup(logger.remove, sink)


class PausedTestCase(TestCase):
    """Runs coroutines on an event loop with virtual time."""

    def run_paused(self, coro):
        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            return runner.run(coro)


class SocketTestCase(TestCase, unittest.IsolatedAsyncioTestCase):
    """A test that uses real sockets on loopback and the real clock."""


def _is_task_failure(record: dict) -> bool:
    return record["message"].startswith(TASK_FAILURES)
