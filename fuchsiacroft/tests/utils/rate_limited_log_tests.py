"""Tests that frequent events are limited and the suppressed ones counted."""

import asyncio

from loguru import logger

from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.utils.rate_limited_log import RateLimitedLog


class RateLimitedLogTests(PausedTestCase):
    """A limited number of lines per second, with the number of the others."""

    def test_lines_beyond_the_limit_are_counted_and_reported(self):
        lines: list[str] = []
        sink = logger.add(lines.append, level="INFO", format="{message}")
        self.addCleanup(logger.remove, sink)

        async def scenario():
            limited_log = RateLimitedLog("place_refused", 3)
            for number in range(10):
                limited_log.event(number=number)
            await asyncio.sleep(1.0)
            limited_log.event(number=10)

        self.run_paused(scenario())
        self.assertEqual(4, len(lines))
        self.assertIn("number=10 left_out_before=7", lines[-1])

    def test_the_fields_of_a_line_that_is_not_written_are_worked_out(self):
        worked_out: list[int] = []

        async def scenario():
            limited_log = RateLimitedLog("place_refused", 3)
            for number in range(10):
                limited_log.event_with(lambda n=number: worked_out.append(n) or {})

        self.run_paused(scenario())
        self.assertEqual([0, 1, 2], worked_out)
