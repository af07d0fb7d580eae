"""Tests of the quotas that one process keeps for many."""

from fuchsiacroft.config.route_table import Quota, Workspace
from fuchsiacroft.placing.quotas import Quotas, RemoteUsage, Tolerance
from fuchsiacroft.tests.base import TestCase

WINDOW_S = 8.0
RATE = 1_000.0


def workspaces(rate: float, burst: float) -> dict[str, Workspace]:
    """Return one workspace with a quota."""
    return {"tills": Workspace("tills", quota=Quota(rate, burst, True))}


class QuotaTests(TestCase):
    """What is let through in any window stays below the stated bound."""

    def fill(self, quotas: Quotas, at: float) -> None:
        """Spend the whole window at once, as a keeper before may have."""
        quotas.take("tills", 1.0, at)
        quotas.adopt({"tills": 8_999.0}, at)

    def spent(self, quotas: Quotas, start_s: float, units: float) -> float:
        """Ask for units all the time; return what was given in a window."""
        given = 0.0
        steps = int(WINDOW_S * 100)
        for step in range(steps):
            if quotas.take("tills", units, start_s + step / 100) == 0.0:
                given += units
        return given

    def test_a_window_stays_within_the_tolerance(self):
        tolerance = Tolerance(WINDOW_S, 0.1, 600.0)
        quotas = Quotas(tolerance)
        quotas.replace(workspaces(RATE, RATE))
        quotas.take("tills", 1.0, 0.0)
        given = self.spent(quotas, 100.0, 30.0)
        allowed = (RATE * WINDOW_S + RATE) * 1.1 + 600.0
        self.assertLessEqual(given, allowed)
        self.assertGreater(given, RATE * WINDOW_S + RATE)

    def test_a_keeper_that_takes_over_counts_what_was_spent(self):
        tolerance = Tolerance(WINDOW_S, 0.1, 2_000.0)
        allowed = (RATE * WINDOW_S + RATE) * 1.1 + 2_000.0
        first, second = Quotas(tolerance), Quotas(tolerance)
        for quotas in (first, second):
            quotas.replace(workspaces(RATE, RATE))
        given = 0.0
        for step in range(800):
            keeper = first if step < 100 else second
            if step == 100:
                second.adopt(first.spent(101.0), 101.0)
            if keeper.take("tills", 30.0, 100.0 + step / 100) == 0.0:
                given += 30.0
        self.assertLessEqual(given, allowed)
        self.assertGreater(given, RATE * WINDOW_S)

    def test_a_lower_limit_holds_after_one_window(self):
        quotas = Quotas(Tolerance())
        quotas.replace(workspaces(RATE, RATE))
        self.spent(quotas, 0.0, 30.0)
        quotas.replace(workspaces(10.0, 10.0))
        self.assertEqual(0.0, self.spent(quotas, WINDOW_S, 5.0) // RATE)
        self.assertLessEqual(self.spent(quotas, 20.0, 5.0), 10.0 * WINDOW_S + 10.0)

    def test_parts_of_a_region_that_are_apart_share_a_quota(self):
        halves = [Quotas(Tolerance()), Quotas(Tolerance())]
        given = 0.0
        for half in halves:
            half.replace(workspaces(RATE, RATE))
            half.remote_usage = lambda name, at: RemoteUsage(share=0.5)
            given += self.spent(half, 100.0, 10.0)
        self.assertLessEqual(given, RATE * WINDOW_S + RATE)
        self.assertGreater(given, RATE * WINDOW_S * 0.9)

    def test_what_others_spent_is_not_spent_again(self):
        quotas = Quotas(Tolerance())
        quotas.replace(workspaces(RATE, RATE))
        quotas.remote_usage = lambda name, at: RemoteUsage(spent=8_500.0)
        self.assertLessEqual(self.spent(quotas, 0.0, 10.0), 500.0)

    def test_a_refusal_says_when_units_leave_the_window(self):
        quotas = Quotas(Tolerance())
        quotas.replace(workspaces(RATE, RATE))
        self.fill(quotas, 0.0)
        self.assertEqual(2.0, quotas.take("tills", 10.0, 1.0))
        wait_s = quotas.take("tills", 10.0, 7.5)
        self.assertTrue(0.5 <= wait_s <= 1.0, wait_s)
        self.assertEqual(0.0, quotas.take("tills", 10.0, 7.5 + wait_s))

    def test_a_request_larger_than_the_burst_is_not_shut_out_for_good(self):
        quotas = Quotas(Tolerance())
        quotas.replace(workspaces(RATE, RATE))
        quotas.take("tills", 1.0, 0.0)
        self.assertEqual(0.0, quotas.take("tills", 50 * RATE, 50.0))
        self.assertGreater(quotas.take("tills", 10.0, 50.1), 1.0)

    def test_a_workspace_that_asks_for_too_much_is_paced(self):
        quotas = Quotas(Tolerance())
        quotas.replace(workspaces(RATE, RATE))
        by_second = []
        for second in range(32):
            given = 0.0
            for step in range(100):
                at = second + step / 100
                if quotas.take("tills", 100.0, at) == 0.0:
                    given += 100.0
            by_second.append(given)
        self.assertLess(max(by_second[2:]), 4 * RATE)
        nothing = sum(given < 0.2 * RATE for given in by_second)
        self.assertLessEqual(nothing, 8)

    def test_a_workspace_without_a_quota_is_not_limited(self):
        quotas = Quotas(Tolerance())
        quotas.replace({"tills": Workspace("tills")})
        self.assertEqual(0.0, quotas.take("tills", 1e9, 0.0))
