"""Tests that a timeout counts only time in which the process ran."""

import asyncio
import math

from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.running_timeout import running_timeout


class RunningTimeoutTests(PausedTestCase):
    """A timeout of one second."""

    def wait(
        self, operation_s: float, stands_still_s: float, max_still_s: float = math.inf
    ) -> float | None:
        """Return when an operation was given up, None if it came to its end."""

        async def scenario():
            try:
                async with running_timeout(1.0, max_still_s):
                    asyncio.get_running_loop().stand_still(stands_still_s)
                    await asyncio.sleep(operation_s)
            except TimeoutError:
                return now()
            return None

        return self.run_paused(scenario())

    def test_an_operation_goes_on_after_its_timeout(self):
        self.assertAlmostEqual(1.0, self.wait(5.0, 0.0))

    def test_an_operation_is_given_up_before_its_timeout(self):
        self.assertIsNone(self.wait(0.99, 0.0))

    def test_the_time_in_which_a_process_stood_still_uses_up_a_timeout(self):
        self.assertIsNone(self.wait(0.7, 30.0))

    def test_an_operation_never_ends_after_a_process_stood_still(self):
        self.assertAlmostEqual(30.8, self.wait(5.0, 30.0))

    def test_a_result_is_used_that_came_long_ago(self):
        self.assertIsNone(self.wait(0.7, 0.9, max_still_s=1.0))
        self.assertAlmostEqual(30.0, self.wait(0.7, 30.0, max_still_s=1.0))
