"""Tests of placing, queueing and refusing requests beside servers with a limit."""

from fuchsiacroft.membership.server_limits import UNLIMITED, LimitStatement
from fuchsiacroft.membership.server_notices import ServerInstance
from fuchsiacroft.placing.allocator import Allocator
from fuchsiacroft.placing.fleet import Assignment
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.messages import HeldRun
from fuchsiacroft.placing.queue import Waiter
from fuchsiacroft.routing.permits import Refusal, RunOutcome, RunReport
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.membership.server_table_tests import record
from fuchsiacroft.tests.placing.allocator_tests import DONE, request

UNUSED = RunReport(RunOutcome.UNUSED)
REFUSED = RunReport(RunOutcome.REFUSED)


class LimitedServersTests(TestCase):
    """An allocator with servers of one service, some of which name a limit."""

    def setUp(self):
        super().setUp()
        self.allocator = Allocator(SharedLimits())

    def servers(self, *names: str) -> None:
        self.allocator.fleet.replace_servers(
            [
                record(name, address=f"10.0.0.{number}:80")
                for number, name in enumerate(names, 1)
            ],
            0.0,
        )

    def name_limit(self, name: str, per_s: float, at: float = 0.0) -> None:
        server = ServerInstance(name, str(record(name).born_ms))
        statement = LimitStatement(per_s, at, at)
        self.allocator.fleet.pacing.limits.record(server, statement)

    def place(self, at: float, **fields):
        return self.allocator.place(request(**fields), at)

    def servers_of(self, decisions) -> list[str]:
        return [d.backend_server for d in decisions if isinstance(d, Assignment)]

    def test_declined_placements_use_up_the_limit_or_rejected_sends_do_not(self):
        self.servers("i-1")
        self.name_limit("i-1", 1.0)
        for report, is_free in ((UNUSED, True), (REFUSED, False)):
            self.allocator.fleet.pacing.restart(0.0)
            placed = self.place(1.0)
            self.assertIsInstance(placed, Assignment)
            self.assertTrue(placed.is_limited)
            self.allocator.end(placed.run_id, report, 1.0)
            self.assertEqual(
                is_free, self.allocator.fleet.capacity.free("lens", 1.0) > 0
            )

    def test_an_adopted_run_that_was_not_sent_gives_a_place_back(self):
        self.servers("i-1")
        self.name_limit("i-1", 1.0)
        held = HeldRun("run-x", "i-1", request().ask)
        self.allocator.fleet.adopt(held, 0.5)
        self.allocator.end("run-x", UNUSED, 0.6)
        self.assertEqual(0, self.allocator.fleet.capacity.free("lens", 0.6))

    def test_a_waiter_is_not_placed_when_the_limit_allows_it(self):
        self.servers("i-1")
        self.name_limit("i-1", 4.0)
        self.assertIsInstance(self.place(0.25), Assignment)
        waiter = self.place(0.3, in_time_s=1.0, max_wait_s=1.0)
        self.assertIsInstance(waiter, Waiter)
        self.assertEqual([], self.allocator.place_waiters(0.45))
        [(placed, _)] = self.allocator.place_waiters(0.5)
        self.assertIs(waiter, placed)

    def test_a_request_waits_that_can_only_be_late_or_is_told_to_return_too_soon(self):
        self.servers("i-1")
        self.name_limit("i-1", 0.25)
        self.assertIsInstance(self.place(4.0), Assignment)
        refusal = self.place(4.1)
        self.assertIsInstance(refusal, Refusal)
        self.assertGreater(refusal.retry_after_s, 2.0)

    def test_short_runs_take_the_places_of_a_limited_server_from_long_ones(self):
        self.servers("i-1", "i-2")
        for _ in range(50):
            run = self.place(0.0, output_tokens=1_000, prompt_tokens=8_000)
            self.allocator.end(run.run_id, DONE, 0.3)
        self.name_limit("i-1", 10.0, at=0.4)
        short = {"output_tokens": 1, "prompt_tokens": 10}
        placed = [self.place(1.0, **short) for _ in range(5)]
        self.assertEqual(["i-2"] * 5, self.servers_of(placed))
        long = [self.place(1.0, output_tokens=1_000, prompt_tokens=8_000)]
        self.assertEqual(["i-1"], self.servers_of(long))

    def test_a_limit_keeps_other_servers_from_being_used(self):
        self.servers("i-1", "i-2")
        self.name_limit("i-1", 0.5)
        placed = self.servers_of([self.place(0.1) for _ in range(12)])
        self.assertEqual(["i-2"] * 11, placed)

    def test_the_spare_capacity_that_is_reported_ignores_the_limit(self):
        self.servers("i-1")
        [capacity] = self.allocator.reports.capacities(1.0)
        self.assertEqual(11, capacity.free)
        self.name_limit("i-1", 1.0)
        [capacity] = self.allocator.reports.capacities(1.0)
        self.assertEqual(1, capacity.free)

    def test_the_load_is_counted_as_if_all_slots_were_usable(self):
        self.servers("i-1", "i-2")
        self.assertEqual(22.0, self.allocator.fleet.capacity.usable_slots("lens"))
        self.name_limit("i-1", 1.0)
        run_s = self.allocator.fleet.runs.mean_run_s("lens")
        self.assertAlmostEqual(
            11.0 + run_s, self.allocator.fleet.capacity.usable_slots("lens")
        )
        load = self.allocator.reports.load(request().ask, 1.0)
        self.assertEqual(1, load.limited)
        self.name_limit("i-1", UNLIMITED, at=2.0)
        self.assertEqual(22.0, self.allocator.fleet.capacity.usable_slots("lens"))
