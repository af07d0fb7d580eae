"""Tests of the event loop on a virtual clock."""

import asyncio

from fuchsiacroft.model.virtual_time import run
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.utils.clock import now

MAX_ATTEMPTS = 10_000
CLOSE_S = 5e-10


class VirtualTimeLoopTests(TestCase):
    """Time advances while every task waits, and never stops advancing."""

    def test_a_timer_closer_than_the_clock_resolution_fires(self):
        async def count_attempts() -> int:
            deadline = now() + CLOSE_S
            count = 0
            while now() < deadline and count < MAX_ATTEMPTS:
                asyncio.get_running_loop().call_soon(str)
                await asyncio.sleep(deadline - now())
                count += 1
            return count

        self.assertLess(run(count_attempts()), MAX_ATTEMPTS)

    def test_an_hour_of_virtual_time_passes_at_once(self):
        async def hour() -> float:
            await asyncio.sleep(3600)
            return now()

        self.assertAlmostEqual(3600, run(hour()), places=3)
