"""A short seeded run of the soak."""

from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.soak.run import Plan, run_soak


class SoakTests(TestCase):
    """Real programs under faults from outside."""

    def test_a_short_run_breaks_no_promise(self):
        result = run_soak(Plan(seed=1, length_s=10.0, entries=2, servers=4))
        self.assertEqual([], result.violations, result.faults)
        self.assertGreater(result.served, result.attempts / 2)
