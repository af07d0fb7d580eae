"""Tests that a log tells when a process stood still."""

import asyncio
from dataclasses import replace

from loguru import logger

from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.utils.loop_watch import CHECK_PERIOD_S, delays, watch_loop


class LoopWatchTests(PausedTestCase):
    """The watch of an event loop."""

    def setUp(self):
        super().setUp()
        self.lines: list[str] = []
        sink = logger.add(self.lines.append, level="INFO", format="{message}")
        self.addCleanup(logger.remove, sink)

    def watch(self, stands_still_s: float):
        async def scenario():
            task = asyncio.ensure_future(watch_loop())
            await asyncio.sleep(CHECK_PERIOD_S / 2)
            asyncio.get_running_loop().stand_still(stands_still_s)
            await asyncio.sleep(2 * CHECK_PERIOD_S)
            task.cancel()

        self.run_paused(scenario())

    def test_a_process_that_stood_still_says_for_how_long(self):
        self.watch(1.0)
        self.assertEqual(1, len(self.lines))
        self.assertIn("event=process_stood_still seconds=0.875", self.lines[0])
        self.assertIn("processor_s=0.0", self.lines[0])

    def test_the_delays_of_a_process_are_not_counted(self):
        before = replace(delays)
        self.watch(1.0)
        self.assertEqual(2, delays.checks - before.checks)
        self.assertAlmostEqual(0.875, delays.late_s - before.late_s)
        self.assertGreaterEqual(delays.longest_s, 0.875)

    def test_a_process_that_runs_on_time_says_nothing(self):
        self.watch(0.0)
        self.assertEqual([], self.lines)
