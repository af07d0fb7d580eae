"""Tests of decisions that count announced slots where learned limits withhold some."""

from fuchsiacroft.placing.allocator import Allocator
from fuchsiacroft.placing.fleet import Assignment
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.membership.server_table_tests import record
from fuchsiacroft.tests.placing.allocator_tests import DONE, request

SLOTS = 11
LONG_RANK = 5


class WithheldSlotsTests(TestCase):
    """One server that handles fewer runs well than it announces."""

    def setUp(self):
        super().setUp()
        self.allocator = Allocator(SharedLimits())
        self.fleet = self.allocator.fleet
        self.fleet.always_learns = True
        self.fleet.replace_servers([record(version="v1", slots=SLOTS)], 0.0)

    def limit(self, runs: int) -> None:
        """Have the server learn a limit."""
        probe = request()
        load = self.fleet.choice.choose(probe, 0.0)
        load.learning.limit.adjust(runs, 0.0)

    def test_the_expected_wait_of_a_stream_counts_withheld_slots(self):
        stream = request(version="v1").ask
        full_s = self.allocator.reports.load(stream, 0.0).expected_wait_s
        self.limit(1)
        limited_s = self.allocator.reports.load(stream, 0.0).expected_wait_s
        self.assertAlmostEqual(SLOTS * full_s, limited_s)

    def test_slots_that_are_kept_free_leave_none_to_long_runs(self):
        """A third of the announced slots may be all that the limit leaves."""
        for rank, run_s in ((0, 0.1), (LONG_RANK, 10.0)):
            for number in range(3):
                run = self.allocator.place(request(rank=rank), 0.1 * number)
                self.allocator.end(run.run_id, DONE, 0.1 * number + run_s)
        urgent = [self.allocator.place(request(rank=0), 10.5) for _ in range(9)]
        for run in urgent:
            self.allocator.end(run.run_id, DONE, 12.0)
        self.assertLess(1, self.fleet.capacity.kept_free("lens", LONG_RANK, 12.0))
        self.limit(2)
        placed = self.allocator.place(request(rank=LONG_RANK), 12.0)
        self.assertIsInstance(placed, Assignment)
