"""Tests of what another process learns of a window."""

from hypothesis import given
from hypothesis import strategies as st

from fuchsiacroft.placing.quota_window import MAX_AGE_STEPS, Window
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.fakes import properties  # noqa: F401

WINDOW_S = 8.0
REPORTS = st.builds(
    Window.from_ages,
    st.lists(st.integers(0, 50), max_size=9),
    st.integers(0, 40).map(lambda quarter: quarter / 4),
)
TIMES = [quarter / 4 for quarter in range(-40, 45)]


def spent_since(window: Window) -> list[float]:
    """Return the units that a window says were spent since each of several times."""
    return [window.since(at) for at in TIMES]


class MergedWindowTests(TestCase):
    """Reports of what was spent come in any order, twice, late, or not at all."""

    @given(REPORTS, REPORTS)
    def test_the_order_of_reports_changes_what_was_spent(self, one, other):
        self.assertEqual(spent_since(one.merged(other)), spent_since(other.merged(one)))

    @given(REPORTS, REPORTS, REPORTS)
    def test_what_a_third_process_merged_changes_what_was_spent(self, one, two, three):
        self.assertEqual(
            spent_since(one.merged(two).merged(three)),
            spent_since(one.merged(two.merged(three))),
        )

    @given(REPORTS, REPORTS)
    def test_a_report_counts_twice(self, one, other):
        merged = one.merged(other)
        self.assertEqual(spent_since(merged), spent_since(merged.merged(other)))
        self.assertEqual(spent_since(one), spent_since(one.merged(one)))

    @given(REPORTS, REPORTS)
    def test_a_report_takes_back_what_another_said(self, one, other):
        both = spent_since(one.merged(other))
        largest = map(max, spent_since(one), spent_since(other))
        self.assertEqual(list(largest), both)

    def test_an_older_report_with_more_units_replaces_a_newer_one(self):
        newer = Window.from_ages((5.0, 5.0), 20.0)
        older = Window.from_ages((30.0, 30.0), 10.0)
        for merged in (newer.merged(older), older.merged(newer)):
            merged.expire(20.0 - WINDOW_S)
            self.assertEqual(10.0, merged.total)


class WindowTests(TestCase):
    """Units stay in the window as long at a successor as they would have."""

    def test_units_leave_the_window_of_a_successor_too_early(self):
        window = Window()
        for step in range(80):
            window.add(1.0, step / 10)
        successor = Window.from_ages(window.by_age(8.0), 8.0)
        self.assertEqual(80.0, successor.total)
        for at in (9.0, 11.0, 13.0, 15.0):
            window.expire(at - WINDOW_S)
            successor.expire(at - WINDOW_S)
            self.assertGreaterEqual(successor.total, window.total)
            self.assertLessEqual(successor.total, window.total + 10.0)

    def test_a_long_window_fits_no_report(self):
        window = Window()
        window.add(1.0, 0.0)
        window.add(1.0, 100_000.0)
        ages = window.by_age(100_000.0)
        self.assertEqual((MAX_AGE_STEPS, 2.0), (len(ages), sum(ages)))
