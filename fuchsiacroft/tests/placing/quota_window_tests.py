"""Tests of what another process learns of a window."""

from fuchsiacroft.placing.quota_window import MAX_AGE_STEPS, Window
from fuchsiacroft.tests.base import TestCase

WINDOW_S = 8.0


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
