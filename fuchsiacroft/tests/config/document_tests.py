"""Tests of the operators' document."""

import time

from fuchsiacroft.config import document
from fuchsiacroft.tests.base import TestCase

GOOD = {
    "tiers": [{"name": "counter", "rank": 0}, {"name": "desk", "rank": 1}],
    "services": [{"name": "lens-assistant", "kind": "model"}],
    "workspaces": [{"name": "shop", "key_hashes": ["ab"], "tier": "counter"}],
}


class DocumentTests(TestCase):
    """Every fault is named with its path."""

    def test_a_good_document_is_accepted(self):
        self.assertTrue(document.parse(GOOD).is_ok())

    def test_every_fault_is_named_with_its_path_and_nearest_name(self):
        bad = {
            "tiers": GOOD["tiers"],
            "services": [{"name": "a", "kind": "model", "tierz": []}],
            "workspaces": [{"name": "shop", "key_hashes": [], "tier": 3}],
        }
        faults = {fault.path: fault.message for fault in document.parse(bad).error}
        self.assertIn('did you mean "tiers"', faults["$.services[0].tierz"])
        self.assertIn("$.workspaces[0].tier", faults)

    def test_a_large_document_takes_time_in_proportion_to_its_size(self):
        def seconds(count: int) -> float:
            workspaces = [
                {"name": f"shop-{i}", "key_hashes": [f"{i:x}"], "tier": "counter"}
                for i in range(count)
            ]
            began_at = time.process_time()
            self.assertTrue(document.parse(GOOD | {"workspaces": workspaces}).is_ok())
            return time.process_time() - began_at

        seconds(100)
        small = min(seconds(1_000) for _ in range(3))
        large = min(seconds(10_000) for _ in range(3))
        # In proportion would be 10 times; with the square of the size 100 times.
        self.assertLess(large, 30 * small)

    def test_a_name_that_stands_twice_is_named(self):
        workspaces = [{"name": "shop", "key_hashes": [], "tier": "counter"}] * 2
        (fault,) = document.parse(GOOD | {"workspaces": workspaces}).error
        self.assertEqual("$.workspaces[1].name", fault.path)

    def test_unknown_names_are_refused(self):
        bad = dict(GOOD, rules=[{"service": "lens-asistant", "idempotent": False}])
        (fault,) = document.parse(bad).error
        self.assertEqual("$.rules[0].service", fault.path)
        self.assertIn('did you mean "lens-assistant"', fault.message)

    def test_wrong_values_are_explained_in_words(self):
        tiers = [
            {"name": "a b", "rank": "first"},
            {"name": "c", "rank": 100, "timeout_s": 0},
            {"name": "d", "rank": -1},
        ]
        faults = {
            f.path: f.message for f in document.parse(GOOD | {"tiers": tiers}).error
        }
        self.assertEqual('"first" is not a whole number', faults["$.tiers[0].rank"])
        self.assertIn('"a b" does not have the form', faults["$.tiers[0].name"])
        self.assertEqual("100 is more than 99", faults["$.tiers[1].rank"])
        self.assertEqual("0 is not more than 0", faults["$.tiers[1].timeout_s"])
        self.assertEqual("-1 is less than 0", faults["$.tiers[2].rank"])
