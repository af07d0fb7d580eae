"""Tests of the time after which callers of refused requests come back."""

import random

from fuchsiacroft.placing.retry_after import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    retry_after_s,
)
from fuchsiacroft.tests.base import TestCase


class RetryAfterTests(TestCase):
    """Callers return when a slot is expected to be free, and not all at once."""

    def test_callers_that_are_refused_together_return_apart(self):
        """Guards against a second burst from the callers of the first one."""
        rng = random.Random(1)
        times = sorted(retry_after_s(2.0, rng) for _ in range(100))
        self.assertAlmostEqual(2.0, sum(times) / len(times), delta=0.1)
        most_in_100_ms = max(
            sum(start <= other < start + 0.1 for other in times) for start in times
        )
        self.assertLess(most_in_100_ms, 25)

    def test_the_time_stays_within_bounds(self):
        rng = random.Random(1)
        self.assertEqual(MIN_RETRY_AFTER_S, retry_after_s(0.0, rng))
        self.assertEqual(MAX_RETRY_AFTER_S, retry_after_s(100.0, rng))
