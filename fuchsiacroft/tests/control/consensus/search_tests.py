"""Runs a few fixed seeds of the fault injection test."""

from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.control.consensus import search
from fuchsiacroft.utils import logs

SEEDS = range(1, 9)


class SearchTests(TestCase):
    """The consensus invariants hold under the faults of each seed."""

    def test_the_invariants_hold(self):
        logs.configure("CRITICAL")
        acknowledged = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                counts = search.run_seed(seed).checker.counts
                self.assertGreater(counts["reads"], 0)
                acknowledged += counts["ok"]
        self.assertGreater(acknowledged, 500)
