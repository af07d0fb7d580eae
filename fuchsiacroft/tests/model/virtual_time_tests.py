"""Tests of the paused clock."""

import asyncio

from fuchsiacroft.model.virtual_time import run
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.utils.clock import now

TRIES = 10_000
CLOSE_S = 5e-10


class VirtualTimeLoopTests(TestCase):
    """Time moves when everything waits, and never stands still for ever."""

    def test_a_timer_closer_than_the_clocks_resolution_is_passed(self):
        async def tries() -> int:
            deadline = now() + CLOSE_S
            count = 0
            while now() < deadline and count < TRIES:
                asyncio.get_running_loop().call_soon(str)
                await asyncio.sleep(deadline - now())
                count += 1
            return count

        self.assertLess(run(tries()), TRIES)

    def test_an_hour_passes_at_once(self):
        async def hour() -> float:
            await asyncio.sleep(3600)
            return now()

        self.assertAlmostEqual(3600, run(hour()), places=3)
