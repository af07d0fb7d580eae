"""Tests of reports on spent quotas that come late, twice, or in another order."""

import itertools

from fuchsiacroft.placing.spending_reports import SpendingReport, SpendingReports
from fuchsiacroft.tests.base import TestCase

DOMAIN = "mvd-cordon"
AT = 20.0


def report(epoch: str, units: float, counted_s: float, age_s: float = 0.0):
    """Return a report of one workspace."""
    return SpendingReport(epoch, {"tills": (units,)}, counted_s, age_s)


def found(*reports: SpendingReport, own: SpendingReport | None = None):
    """Return what reports show together that arrive at the same time."""
    store = SpendingReports()
    for received in reports:
        store.record(DOMAIN, received, AT)
    return store.get(DOMAIN, AT, own)


class SpendingReportsTests(TestCase):
    """What a successor learns doesn't depend on the order of messages."""

    def test_a_report_that_was_overtaken_replaces_the_later_one(self):
        early, late = report("a", 70.0, 9.0), report("a", 30.0, 10.0)
        for order in itertools.permutations((early, late)):
            self.assertEqual((30.0,), found(*order).units["tills"])

    def test_a_late_report_of_a_predecessor_replaces_that_of_its_successor(self):
        first, second = report("a", 40.0, 9.0, 0.5), report("b", 60.0, 9.5)
        for order in itertools.permutations((first, second, first)):
            shown = found(*order)
            self.assertEqual(60.0, sum(shown.units["tills"]))
            self.assertEqual(("b", 0.0), (shown.epoch, shown.age_s))

    def test_what_only_a_predecessor_reported_is_lost(self):
        shown = found(report("a", 40.0, 9.0, 2.0), report("b", 10.0, 9.5))
        self.assertEqual(40.0, sum(shown.units["tills"]))

    def test_a_coordinator_passes_on_what_others_said_without_its_own(self):
        own = report("b", 60.0, 12.0)
        shown = found(report("a", 40.0, 9.0, 12.0), own=own)
        self.assertEqual((60.0, 0.0), (sum(shown.units["tills"][:1]), shown.age_s))
        self.assertEqual(own, found(own=own))

    def test_a_domain_without_reports_has_spent_nothing(self):
        self.assertIsNone(found())
