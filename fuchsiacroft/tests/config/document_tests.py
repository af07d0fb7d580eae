"""Tests of the operators' document."""

import time

from fuchsiacroft.config import document
from fuchsiacroft.tests.base import TestCase

VALID = {
    "tiers": [{"name": "counter", "rank": 0}, {"name": "desk", "rank": 1}],
    "services": [{"name": "lens-assistant", "kind": "model"}],
    "workspaces": [{"name": "shop", "key_hashes": ["ab"], "tier": "counter"}],
}


class DocumentTests(TestCase):
    """Every validation issue is reported with its path."""

    def test_a_valid_document_is_accepted(self):
        self.assertTrue(document.parse(VALID).is_ok())

    def test_every_issue_has_its_path_and_the_closest_name(self):
        invalid = {
            "tiers": VALID["tiers"],
            "services": [{"name": "a", "kind": "model", "tierz": []}],
            "workspaces": [{"name": "shop", "key_hashes": [], "tier": 3}],
        }
        issues = {issue.path: issue.message for issue in document.parse(invalid).error}
        self.assertIn('did you mean "tiers"', issues["$.services[0].tierz"])
        self.assertIn("$.workspaces[0].tier", issues)

    def test_validation_time_is_linear_in_the_size_of_the_document(self):
        def seconds(count: int) -> float:
            workspaces = [
                {"name": f"shop-{i}", "key_hashes": [f"{i:x}"], "tier": "counter"}
                for i in range(count)
            ]
            began_at = time.process_time()
            self.assertTrue(document.parse(VALID | {"workspaces": workspaces}).is_ok())
            return time.process_time() - began_at

        seconds(100)
        small = min(seconds(1_000) for _ in range(3))
        large = min(seconds(10_000) for _ in range(3))
        # Linear time is a factor of 10, quadratic time a factor of 100.
        self.assertLess(large, 30 * small)

    def test_a_duplicate_name_is_reported(self):
        workspaces = [{"name": "shop", "key_hashes": [], "tier": "counter"}] * 2
        (issue,) = document.parse(VALID | {"workspaces": workspaces}).error
        self.assertEqual("$.workspaces[1].name", issue.path)

    def test_unknown_names_are_rejected(self):
        invalid = dict(VALID, rules=[{"service": "lens-asistant", "idempotent": False}])
        (issue,) = document.parse(invalid).error
        self.assertEqual("$.rules[0].service", issue.path)
        self.assertIn('did you mean "lens-assistant"', issue.message)

    def test_invalid_values_are_described(self):
        tiers = [
            {"name": "a b", "rank": "first"},
            {"name": "c", "rank": 100, "timeout_s": 0},
            {"name": "d", "rank": -1},
        ]
        issues = {
            f.path: f.message for f in document.parse(VALID | {"tiers": tiers}).error
        }
        self.assertEqual('"first" is not a whole number', issues["$.tiers[0].rank"])
        self.assertIn('"a b" does not have the form', issues["$.tiers[0].name"])
        self.assertEqual("100 is more than 99", issues["$.tiers[1].rank"])
        self.assertEqual("0 is not more than 0", issues["$.tiers[1].timeout_s"])
        self.assertEqual("-1 is less than 0", issues["$.tiers[2].rank"])
