"""Tests that a flood of one event is bounded, and told."""

import asyncio

from loguru import logger

from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.utils.rate_limited_log import RateLimitedLog


class RateLimitedLogTests(PausedTestCase):
    """So many lines a second, and the number of the others."""

    def test_lines_beyond_the_budget_are_counted_and_told(self):
        lines: list[str] = []
        sink = logger.add(lines.append, level="INFO", format="{message}")
        self.addCleanup(logger.remove, sink)

        async def scenario():
            budget = RateLimitedLog("place_refused", 3)
            for number in range(10):
                budget.event(number=number)
            await asyncio.sleep(1.0)
            budget.event(number=10)

        self.run_paused(scenario())
        self.assertEqual(4, len(lines))
        self.assertIn("number=10 left_out_before=7", lines[-1])
