"""Tests of the operators' document."""

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

    def test_unknown_names_are_refused(self):
        bad = dict(GOOD, rules=[{"service": "lens-asistant", "idempotent": False}])
        (fault,) = document.parse(bad).error
        self.assertEqual("$.rules[0].service", fault.path)
        self.assertIn('did you mean "lens-assistant"', fault.message)
