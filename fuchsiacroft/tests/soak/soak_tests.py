"""Runs the soak for a short time with a fixed seed."""

from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.soak.run import Plan, run_soak

SILENT_LINKS = (
    "silence_entry",
    "silence_all",
    "cut_entry",
    "cut_control",
    "configure_often",
    "leave_server",
)
STOPS_AND_RELOADS = (
    "stop_coordinator_entry",
    "stop_entry",
    "reload_entry",
    "configure",
)
LOSSES_OF_POWER = ("lose_power_all", "configure_often", "configure", "stop_entry")

SHARES_OF_A_CORE = (
    "starve_entries",
    "reset_link",
    "crash_server",
    "taint_server",
    "stop_entry",
)


class SoakTests(TestCase):
    """Real processes under injected faults."""

    def test_a_short_run_violates_no_invariant(self):
        result = run_soak(Plan(seed=1, length_s=10.0, entries=2, servers=4))
        self.assertEqual([], result.violations, result.faults)
        self.assertGreater(result.served, result.attempts / 2)

    def test_a_member_that_is_cut_off_acknowledges_a_leave(self):
        """Seed 21: no entry was known to it, so it waited for none."""
        self.assert_holds(21)

    def test_entries_with_silent_connections_miss_a_version(self):
        """Seed 22: their connections were replaced only after five seconds."""
        self.assert_holds(22)

    def test_a_reload_signal_ends_an_entry_that_starts(self):
        """Seed 203: the signal had no handler while modules were imported."""
        self.assert_holds(203, STOPS_AND_RELOADS, length_s=15.0)

    def test_garbled_answers_reach_callers(self):
        kinds = ("garble_server", "crash_server", "kill_entry")
        self.assert_holds(43, kinds, length_s=20.0)

    def test_a_loss_of_power_loses_what_was_acknowledged(self):
        self.assert_holds(50, LOSSES_OF_POWER, length_s=20.0)

    def test_entries_that_get_a_share_of_a_core_take_their_delays_for_others_ends(self):
        self.assert_holds(61, SHARES_OF_A_CORE, length_s=20.0)

    def assert_holds(self, seed, kinds=SILENT_LINKS, length_s=25.0):
        plan = Plan(seed=seed, length_s=length_s, kinds=kinds)
        result = run_soak(plan)
        self.assertEqual([], result.violations, result.faults)
