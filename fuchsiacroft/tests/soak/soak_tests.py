"""Runs the soak for a short time with a fixed seed."""

from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.soak.run import Plan, run_soak


class SoakTests(TestCase):
    """Real processes under injected faults."""

    def test_a_short_run_violates_no_invariant(self):
        result = run_soak(Plan(seed=1, length_s=10.0, entries=2, servers=4))
        self.assertEqual([], result.violations, result.faults)
        self.assertGreater(result.served, result.attempts / 2)
