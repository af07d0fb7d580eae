"""Tests of placing requests that continue a stream of one software version."""

from fuchsiacroft.placing.allocator import Allocator
from fuchsiacroft.placing.fleet import Assignment
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.messages import PlaceRequest
from fuchsiacroft.placing.queue import Waiter
from fuchsiacroft.routing.permits import (
    SERVER_LOST,
    Refusal,
    RefusalReason,
    RunOutcome,
    RunReport,
)
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.membership.server_table_tests import record
from fuchsiacroft.tests.placing.allocator_tests import DONE, request

SLOTS = 11
LOST = RunReport(RunOutcome.CONNECTION_LOST)
UNREACHABLE = RunReport(RunOutcome.NOT_DISPATCHED)


class ContinuedStreamsTestCase(TestCase):
    """Two servers of v1 and two of v2, with 11 slots each."""

    def setUp(self):
        super().setUp()
        self.allocator = Allocator(SharedLimits())
        self.versions = {"i-1": "v1", "i-2": "v1", "i-3": "v2", "i-4": "v2"}
        self.announce(self.versions)

    def announce(self, versions: dict[str, str]):
        self.allocator.fleet.replace_servers(
            [
                record(name, version=version, address=f"10.0.0.{number}:80")
                for number, (name, version) in enumerate(versions.items(), 1)
            ],
            0.0,
        )

    def continuing(self, version: str = "v1", **more) -> PlaceRequest:
        more = {"rank": 18, "in_time_s": 1.0, "max_wait_s": 1.0} | more
        return request(version=version, **more)

    def fill(self, rank: int = 18) -> list[Assignment]:
        """Fill every slot, those kept free for urgent requests too."""
        assignments = []
        while self.allocator.fleet.capacity.free("lens", 0.0):
            load = self.allocator.fleet.choice.choose(request(rank=rank), 0.0, 9.0)
            assignments.append(
                self.allocator.fleet.begin(request(rank=rank), load, 0.0, 0.0)
            )
        return assignments

    def free_slot_of(self, assignments: list[Assignment], version: str) -> None:
        ended = next(
            a for a in assignments if self.versions[a.backend_server] == version
        )
        assignments.remove(ended)
        self.allocator.end(ended.run_id, DONE, 0.1)


class ContinuedStreamsTests(ContinuedStreamsTestCase):
    """Streams go on at servers of their version only."""

    def test_a_stream_is_placed_on_another_version(self):
        for _ in range(2 * SLOTS):
            decision = self.allocator.place(self.continuing("v2"), 0.0)
            self.assertEqual("v2", decision.version)
        waiter = self.allocator.place(self.continuing("v2"), 0.0)
        self.assertIsInstance(waiter, Waiter)
        self.assertEqual([], self.allocator.place_waiters(0.0))
        self.assertEqual(2 * SLOTS, self.allocator.fleet.capacity.free("lens", 0.0))

    def test_a_waiting_stream_takes_a_slot_of_another_version(self):
        assignments = self.fill()
        waiter = self.allocator.place(self.continuing("v1"), 0.0)
        self.free_slot_of(assignments, "v2")
        self.assertEqual([], self.allocator.place_waiters(0.1))
        self.free_slot_of(assignments, "v1")
        [(placed, assignment)] = self.allocator.place_waiters(0.1)
        self.assertIs(waiter, placed)
        self.assertEqual("v1", assignment.version)

    def test_a_stream_that_waits_for_its_version_blocks_other_requests(self):
        assignments = self.fill()
        self.allocator.place(self.continuing("v1"), 0.0)
        self.free_slot_of(assignments, "v2")
        self.allocator.place_waiters(0.1)
        decision = self.allocator.place(request(rank=18), 0.1)
        self.assertIsInstance(decision, Assignment)
        self.assertEqual("v2", decision.version)

    def test_new_requests_take_the_slots_that_a_stream_waits_for(self):
        assignments = self.fill()
        fresh = self.allocator.place(request(rank=2, max_wait_s=1.0), 0.0)
        stream = self.allocator.place(self.continuing("v1"), 0.0)
        self.free_slot_of(assignments, "v1")
        self.free_slot_of(assignments, "v2")
        placed = {
            id(waiter): assignment.version
            for waiter, assignment in self.allocator.place_waiters(0.1)
        }
        self.assertEqual({id(fresh): "v2", id(stream): "v1"}, placed)

    def test_new_requests_of_its_rank_go_before_a_stream(self):
        assignments = self.fill()
        self.allocator.place(request(rank=18, max_wait_s=1.0), 0.0)
        stream = self.allocator.place(self.continuing("v1"), 0.0)
        self.free_slot_of(assignments, "v1")
        [(placed, _)] = self.allocator.place_waiters(0.1)
        self.assertIs(stream, placed)

    def test_a_stream_is_refused_as_it_is_late(self):
        self.fill()
        for _ in range(200):
            self.allocator.place(request(rank=18, max_wait_s=1.0), 0.0)
        decision = self.allocator.place(self.continuing("v1"), 0.0)
        self.assertIsInstance(decision, Waiter)
        refused = [waiter for waiter, _ in self.allocator.expire_waiters(0.5)]
        self.assertNotIn(decision, refused)

    def test_a_stream_waits_in_vain_for_a_version_that_has_ended(self):
        gone = RefusalReason.VERSION_GONE
        decision = self.allocator.place(self.continuing("v0"), 0.0)
        self.assertEqual(gone, decision.reason)
        self.fill()
        waiter = self.allocator.place(self.continuing("v1"), 0.0)
        self.announce({"i-3": "v2", "i-4": "v2"})
        [(refused, refusal)] = self.allocator.expire_waiters(0.1)
        self.assertIs(waiter, refused)
        self.assertEqual(gone, refusal.reason)

    def test_a_stream_waits_in_vain_when_all_servers_of_its_version_were_tried(self):
        tried = self.continuing("v1", avoid=("i-1", "i-2"))
        decision = self.allocator.place(tried, 0.0)
        self.assertEqual(RefusalReason.VERSION_GONE, decision.reason)

    def test_a_stream_is_refused_whose_version_serves_in_another_domain_only(self):
        self.allocator.may_go_on = lambda permit_request: True
        waiter = self.allocator.place(self.continuing("v0"), 0.0)
        self.assertIsInstance(waiter, Waiter)
        self.assertIn(waiter, self.allocator.queue_heads(0.0))

    def test_a_stream_waits_longer_than_it_can(self):
        self.fill()
        decision = None
        for _ in range(100):
            decision = self.allocator.place(self.continuing("v1"), 0.0)
            if isinstance(decision, Refusal):
                break
        self.assertEqual(RefusalReason.OVERLOADED, decision.reason)
        self.assertGreater(decision.retry_after_s, 0.0)

    def test_other_domains_do_not_hear_of_free_slots_by_version(self):
        self.allocator.place(self.continuing("v2"), 0.0)
        [capacity] = self.allocator.reports.capacities(0.0)
        self.assertEqual({"v1": 22, "v2": 21}, capacity.free_by_version)


class UncertainStartsTests(ContinuedStreamsTestCase):
    """Servers lose runs, and may have started again at another version."""

    def lose_a_run(self, backend_server: str, report: RunReport, at: float) -> None:
        load = self.allocator.fleet.pool.get(backend_server)
        run = self.allocator.fleet.begin(request(rank=18), load, at, at)
        self.allocator.end(run.run_id, report, at)

    def lose_a_run_of_each(self, report: RunReport, at: float) -> None:
        for name, version in self.versions.items():
            if version == "v1":
                self.lose_a_run(name, report, at)

    def test_a_stream_is_placed_on_a_server_that_lost_a_run(self):
        for report in (LOST, UNREACHABLE):
            self.setUp()
            self.lose_a_run("i-1", report, 0.0)
            for _ in range(SLOTS):
                decision = self.allocator.place(self.continuing("v1"), 5.0)
                self.assertEqual("i-2", decision.backend_server)
            waiter = self.allocator.place(self.continuing("v1"), 5.0)
            self.assertIsInstance(waiter, Waiter)

    def test_a_stream_is_refused_while_its_server_may_prove_sound(self):
        self.lose_a_run_of_each(LOST, 0.0)
        waiter = self.allocator.place(self.continuing("v1"), 5.0)
        self.assertIsInstance(waiter, Waiter)
        self.assertEqual([], self.allocator.place_waiters(5.1))
        instance = self.allocator.fleet.pool.get("i-2").instance
        self.assertTrue(self.allocator.fleet.starts.record_progress(instance, -1.0, 5))
        [(placed, assignment)] = self.allocator.place_waiters(5.2)
        self.assertIs(waiter, placed)
        self.assertEqual("i-2", assignment.backend_server)

    def test_other_domains_send_streams_to_servers_that_lost_runs(self):
        self.lose_a_run_of_each(LOST, 0.0)
        [capacity] = self.allocator.reports.capacities(5.0)
        self.assertEqual({"v2": 22}, capacity.free_by_version)

    def test_new_requests_avoid_servers_that_lost_runs(self):
        self.lose_a_run_of_each(LOST, 0.0)
        placed = [self.allocator.place(request(), 5.0) for _ in range(4 * SLOTS)]
        starts = {run.backend_server: run.is_start_certain for run in placed}
        self.assertEqual({"i-1": False, "i-2": False, "i-3": True, "i-4": True}, starts)

    def test_a_run_that_ends_otherwise_makes_its_start_uncertain(self):
        for outcome in RunOutcome:
            if outcome not in SERVER_LOST:
                self.lose_a_run("i-1", RunReport(outcome), 0.0)
        self.assertTrue(self.allocator.fleet.starts.is_empty)
