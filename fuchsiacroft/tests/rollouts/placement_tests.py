"""Tests of where requests begin in each stage of a rollout, without a network."""

import itertools
from collections import Counter

import msgspec

from fuchsiacroft.membership.registry_wire import ServerRecord
from fuchsiacroft.placing.allocator import VERSION_GONE, Allocator
from fuchsiacroft.placing.fleet import Assignment
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.messages import HeldRun, PlaceRequest
from fuchsiacroft.placing.neighbour import Neighbour
from fuchsiacroft.placing.queue import Waiter
from fuchsiacroft.rollouts.messages import Directive, ServiceEvidence, Stage
from fuchsiacroft.routing.permits import (
    PermitRequest,
    Refusal,
    RunOutcome,
    RunReport,
    WorkSize,
)
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.membership.server_table_tests import record

SLOTS = 10
LEASE_S = 2.0
SHARE = 0.1
DONE = RunReport(RunOutcome.COMPLETED, duration_s=0.05)
FAILED = RunReport(RunOutcome.FAILED, duration_s=0.05)
UNUSED = RunReport(RunOutcome.UNUSED)
_numbers = itertools.count()


def server(name: str, version: str, service: str = "till") -> ServerRecord:
    """Return the record of a server."""
    return record(name, service=service, version=version, slots=SLOTS)


def directive(stage: Stage, rollout: int = 1, to: str = "v2") -> Directive:
    """Return a directive for the service `till`."""
    return Directive("till", to, rollout, stage, SHARE, LEASE_S)


def request(
    version: str | None = None,
    avoid: tuple[str, ...] = (),
    route: str = "stock",
    service: str = "till",
) -> PlaceRequest:
    """Return a placement request."""
    run_id = f"run-{next(_numbers)}"
    permit_request = PermitRequest(
        run_id, service, 0, 8.0, "tills", avoid=avoid, version=version, route=route
    )
    return PlaceRequest(run_id, permit_request, 0.0, False, 0.2, 0.2)


class RolloutCase(TestCase):
    """Three old servers and two of the new version, of 10 slots each."""

    def setUp(self):
        super().setUp()
        self.allocator = Allocator(SharedLimits())
        self.rollouts = self.allocator.fleet.rollouts
        self.records = [
            *(server(f"old-{n}", "v1") for n in (1, 2, 3)),
            *(server(f"new-{n}", "v2") for n in (1, 2)),
        ]
        self.list_servers()

    def list_servers(self, at: float = 0.0) -> None:
        self.rollouts.set_servers(tuple(self.records), at)
        self.allocator.fleet.replace_servers(self.records, at)

    def without(self, prefix: str, at: float = 0.0) -> None:
        self.records = [r for r in self.records if not r.name.startswith(prefix)]
        self.list_servers(at)

    def direct(self, stage: Stage, at: float = 0.0, **changes) -> None:
        self.rollouts.apply([directive(stage, **changes)], at, at)

    def place(self, at: float = 0.0, **fields) -> Assignment | Refusal | Waiter:
        return self.allocator.place(request(**fields), at)

    def serve(
        self, count: int, at: float = 0.0, report: RunReport = DONE, **fields
    ) -> Counter[str]:
        """Run requests one after the other; return how many each version got."""
        versions = Counter()
        for _ in range(count):
            placed = self.place(at, **fields)
            self.assertIsInstance(placed, Assignment)
            versions[placed.version] += 1
            self.allocator.end(placed.run_id, report, at)
        return versions

    def fill(self, at: float = 0.0) -> list[Assignment]:
        """Use every slot that new requests may use."""
        placed = []
        while isinstance(assignment := self.place(at), Assignment):
            placed.append(assignment)
        self.allocator.end(assignment.request.run_id, UNUSED, at)
        return placed

    def free(self, at: float = 0.0, version: str | None = None) -> int:
        return self.allocator.fleet.capacity.free("till", at, version)

    def evidence(self, at: float = 0.0) -> ServiceEvidence:
        [evidence] = self.rollouts.evidence(at)
        return evidence


class WithoutDirectiveTests(RolloutCase):
    """Versions may serve side by side without an order."""

    def test_a_version_without_a_directive_is_not_restricted(self):
        self.assertEqual(5 * SLOTS, self.free())
        self.assertEqual(5 * SLOTS, len(self.fill()))
        self.assertEqual({}, self.rollouts.dump())

    def test_a_rollout_restricts_another_service(self):
        self.records.append(server("lens-1", "v2", "lens"))
        self.list_servers()
        self.direct(Stage.ROLLED_BACK)
        placed = self.place(service="lens")
        self.assertEqual(("lens-1", ""), (placed.backend_server, placed.rollout))


class CanaryTests(RolloutCase):
    """At most a share of the new requests goes to the new version."""

    def setUp(self):
        super().setUp()
        self.direct(Stage.CANARY)

    def test_the_share_is_kept_and_used(self):
        self.assertEqual(Counter(v1=181, v2=20), self.serve(201))

    def test_a_burst_exceeds_the_share(self):
        """Requests wait rather than begin on the new version above its share."""
        placed = self.fill()
        new = [p for p in placed if p.version == "v2"]
        self.assertLessEqual(len(new), SHARE * len(placed))
        self.assertEqual(3 * SLOTS, len(placed) - len(new))
        self.assertIsInstance(self.place(), Waiter)

    def test_retries_after_failures_count_against_the_share(self):
        """Each failed request is sent again, which a bad version must not profit by."""
        versions = Counter()
        for _ in range(200):
            placed = self.place()
            versions[placed.version] += 1
            is_new = placed.version == "v2"
            self.allocator.end(placed.run_id, FAILED if is_new else DONE, 0.0)
            if is_new:
                again = self.place(avoid=(placed.backend_server,))
                versions[again.version] += 1
                self.assertEqual("v1", again.version)
                self.allocator.end(again.run_id, DONE, 0.0)
        self.assertLessEqual(versions["v2"], SHARE * versions.total())

    def test_slots_that_were_returned_unused_count_as_begun(self):
        self.serve(100, report=UNUSED)
        self.assertEqual(0, self.rollouts.dump()["till"]["began"])
        self.assertEqual(0, self.evidence().counts[0].began)

    def test_free_slots_count_those_that_may_not_be_used(self):
        self.assertEqual(3 * SLOTS, self.free())
        self.serve(10)
        self.assertEqual(3 * SLOTS + 1, self.free())
        [capacity] = self.allocator.reports.capacities(0.0)
        self.assertEqual(3 * SLOTS + 1, capacity.free)
        self.assertEqual(3 * SLOTS, self.allocator.fleet.pool.slots("till"))

    def test_one_new_server_is_filled_before_the_next(self):
        """Faults that show under load would not show on many idle servers."""
        self.serve(101)
        new = [p.backend_server for p in self.fill() if p.version == "v2"]
        self.assertGreaterEqual(len(new), 3)
        self.assertEqual({new[0]}, set(new))

    def test_all_new_servers_get_requests_in_time(self):
        """A version of which only one server answers can't be judged."""
        servers = Counter()
        for _ in range(500):
            placed = self.place()
            servers[placed.backend_server] += 1
            self.allocator.end(placed.run_id, DONE, 0.0)
        self.assertGreaterEqual(min(servers["new-1"], servers["new-2"]), 20)

    def test_each_route_gets_responses_of_the_new_version(self):
        for number in range(400):
            self.serve(1, route="rare" if number % 20 == 0 else "often")
        began = {row.route: row.began for row in self.evidence().counts if row.is_new}
        self.assertGreaterEqual(began["rare"], 2)
        self.assertGreaterEqual(began["often"], 30)

    def test_a_new_version_without_a_server_is_no_problem(self):
        self.without("new")
        self.assertEqual(Counter(v1=50), self.serve(50))

    def test_a_directive_that_has_run_out_lets_nothing_begin_on_the_new_version(self):
        self.serve(100)
        self.assertEqual(Counter(v1=100), self.serve(100, LEASE_S))
        self.assertEqual(3 * SLOTS, self.free(LEASE_S))
        self.assertNotIsInstance(self.place(LEASE_S, version="v2"), Assignment)
        self.direct(Stage.CANARY, LEASE_S + 0.1)
        self.assertGreater(self.serve(100, LEASE_S + 0.1)["v2"], 0)

    def test_a_suspended_vm_uses_a_directive_that_has_run_out(self):
        """The loop's clock stands still meanwhile, the lease clock does not."""
        self.serve(100)
        self.rollouts.set_clocks(0.1, 0.1 + LEASE_S)
        self.assertEqual(Counter(v1=100), self.serve(100, 0.1))

    def test_streams_go_on_at_the_version_that_began_them(self):
        self.assertEqual("v1", self.place(version="v1").version)
        self.assertEqual("v2", self.place(version="v2").version)
        self.assertEqual(2 * SLOTS - 1, self.free(version="v2"))

    def test_the_successor_of_a_coordinator_counts_runs_that_it_did_not_place(self):
        """Both get the end of an adopted run; its predecessor has counted it."""
        for number, name in enumerate(("old-1", "new-1")):
            held = HeldRun(f"held-{number}", name, request().ask)
            self.allocator.fleet.adopt(held, 0.0)
        self.assertEqual(1, self.evidence().old_runs)
        for number in range(2):
            self.allocator.end(f"held-{number}", FAILED, 0.0)
        self.assertEqual(0, self.evidence().old_runs)
        self.assertEqual((), self.evidence().counts)

    def test_a_decision_names_its_reason(self):
        self.assertEqual("canary", self.place().rollout)
        self.assertEqual("canary_expired", self.place(LEASE_S).rollout)


class SlowTests(RolloutCase):
    """One prompt is read after the other by each server."""

    def setUp(self):
        super().setUp()
        self.direct(Stage.CANARY)

    def stream(self, version: str) -> str:
        """Begin a stream at a version, and return its run."""
        ask = msgspec.structs.replace(
            request(version).ask, size=WorkSize(1_000, 100), route="advice"
        )
        placed = self.allocator.place(
            msgspec.structs.replace(request(), ask=ask, run_id=ask.request_id), 0.0
        )
        self.assertEqual(version, placed.version)
        return placed.run_id

    def end(self, run_id: str, first_s: float) -> None:
        report = RunReport(RunOutcome.COMPLETED, first_s, 0.004, first_s + 0.4)
        self.allocator.end(run_id, report, 0.0)

    def slow(self) -> int:
        return sum(row.slow for row in self.evidence().counts if row.is_new)

    def test_a_prompt_that_waits_for_others_on_its_server_is_slow(self):
        for _ in range(3):
            self.end(self.stream("v1"), 0.02)
        self.without("new-2")
        runs = [self.stream("v2") for _ in range(5)]
        for number, run_id in enumerate(runs, 1):
            self.end(run_id, number * 0.02)
        self.assertEqual(0, self.slow())
        self.end(self.stream("v2"), 0.08)
        self.assertEqual(1, self.slow())


class ShiftedTests(RolloutCase):
    """New requests go only to the new version."""

    def setUp(self):
        super().setUp()
        self.early = [self.place(version="v1") for _ in range(2)]
        self.direct(Stage.CANARY)
        self.direct(Stage.SHIFTED)

    def test_new_requests_go_to_the_new_version_only(self):
        self.assertEqual(2 * SLOTS, self.free())
        self.assertEqual({"v2"}, {placed.version for placed in self.fill()})
        self.assertEqual(2 * SLOTS, self.allocator.fleet.pool.slots("till"))

    def test_requests_wait_rather_than_go_to_old_servers(self):
        placed = self.fill()
        waiter = self.place()
        self.assertIsInstance(waiter, Waiter)
        self.assertEqual([], self.allocator.place_waiters(0.1))
        self.allocator.end(placed[0].run_id, DONE, 0.1)
        [(served, assignment)] = self.allocator.place_waiters(0.1)
        self.assertEqual((waiter, "v2"), (served, assignment.version))

    def test_spare_slots_of_old_servers_are_offered_to_other_domains(self):
        self.fill()
        [capacity] = self.allocator.reports.capacities(0.0)
        self.assertEqual(0, capacity.free)
        self.assertEqual(3 * SLOTS - 2, capacity.free_by_version["v1"])

    def test_a_stream_goes_on_at_an_old_server_while_new_ones_are_full(self):
        self.fill()
        while isinstance(self.place(version="v1"), Assignment):
            pass
        [waiter] = self.allocator._waiters.values()
        self.allocator.end(self.early[0].run_id, DONE, 0.1)
        [(served, assignment)] = self.allocator.place_waiters(0.1)
        self.assertEqual((waiter, "v1"), (served, assignment.version))

    def test_a_version_without_any_server_is_shifted_to(self):
        self.without("new")
        self.assertEqual("v1", self.place().version)
        self.assertEqual(3 * SLOTS - 3, self.free())

    def test_old_servers_here_are_used_while_the_new_ones_are_in_another_domain(self):
        here = [r for r in self.records if r.name.startswith("old")]
        self.allocator.fleet.replace_servers(here, 0.0)
        self.assertIsInstance(self.place(), Waiter)

    def test_requests_of_other_domains_wait_where_no_server_takes_them(self):
        here = [r for r in self.records if r.name.startswith("old")]
        self.allocator.fleet.replace_servers(here, 0.0)
        [capacity] = self.allocator.reports.capacities(0.0)
        neighbour = Neighbour({"till": capacity}, 0.0)
        self.assertIsNone(neighbour.less_urgent_rank("till", 0))
        self.assertIsNotNone(neighbour.less_urgent_rank("till", 0, "v1"))

    def test_old_servers_take_requests_again_once_the_directive_has_run_out(self):
        self.assertEqual(3 * SLOTS - 2, self.free(LEASE_S))
        self.assertEqual(Counter(v1=20), self.serve(20, LEASE_S))
        self.assertIs(Stage.CANARY, self.evidence(LEASE_S).stage)
        self.without("old", LEASE_S)
        self.assertEqual("v2", self.place(LEASE_S).version)

    def test_runs_on_old_servers_are_reported_until_they_end(self):
        """`COMPLETED` stops the old servers, so it waits for these runs."""
        self.assertEqual(2, self.evidence().old_runs)
        self.without("old")
        self.assertEqual(2, self.evidence().old_runs)
        for placed in self.early:
            self.allocator.end(placed.run_id, DONE, 0.0)
        self.assertEqual(0, self.evidence().old_runs)


class EndedTests(RolloutCase):
    """Rollouts that were completed or rolled back."""

    def test_nothing_begins_on_old_servers_after_completion(self):
        self.direct(Stage.SHIFTED)
        self.direct(Stage.COMPLETED)
        later = 100.0
        self.assertEqual(2 * SLOTS, self.free(later))
        self.assertEqual({"v2"}, {placed.version for placed in self.fill(later)})
        self.assertEqual(VERSION_GONE, self.place(later, version="v1"))
        [capacity] = self.allocator.reports.capacities(later)
        self.assertNotIn("v1", capacity.free_by_version)

    def test_old_servers_that_become_known_after_completion_get_requests(self):
        """An entry that has just started may learn of the stage first."""
        old = [r for r in self.records if r.name.startswith("old")]
        self.without("old")
        self.direct(Stage.COMPLETED)
        self.records += old
        self.list_servers(1.0)
        self.assertEqual(2 * SLOTS, self.free(1.0))

    def test_a_version_that_starts_after_completion_is_not_restricted(self):
        self.direct(Stage.COMPLETED)
        self.records.append(server("next-1", "v3"))
        self.list_servers(60.0)
        self.assertEqual(3 * SLOTS, self.free(60.0))

    def test_a_later_version_is_excluded_by_an_entry_that_starts_long_after(self):
        """All servers may have a version that came without an order."""
        self.records = [server("next-1", "v3")]
        self.list_servers()
        completed = directive(Stage.COMPLETED)
        completed = msgspec.structs.replace(completed, ended_s=3_600.0)
        self.rollouts.apply([completed], 0.0, 0.0)
        self.list_servers(1.0)
        self.assertEqual(SLOTS, self.free(1.0))
        [passed_on] = self.rollouts.directives(10.0)
        self.assertEqual(3_610.0, passed_on.ended_s)

    def test_a_completion_learned_late_leaves_old_servers_in_use(self):
        """An entry that was out of contact knows which servers are old."""
        self.direct(Stage.SHIFTED)
        completed = directive(Stage.COMPLETED)
        completed = msgspec.structs.replace(completed, ended_s=3_600.0)
        self.rollouts.apply([completed], 0.0, 0.0)
        self.assertEqual(2 * SLOTS, self.free(1.0))

    def test_counts_are_reported_for_good(self):
        """Each report goes to every control member once a second."""
        self.direct(Stage.CANARY)
        self.serve(20)
        self.direct(Stage.COMPLETED)
        [soon], [later] = self.rollouts.evidence(1.0), self.rollouts.evidence(60.0)
        self.assertNotEqual((), soon.counts)
        self.assertEqual((), later.counts)
        self.assertEqual(Stage.COMPLETED, later.stage)

    def test_nothing_begins_on_a_version_that_was_rolled_back(self):
        self.direct(Stage.CANARY)
        self.direct(Stage.ROLLED_BACK)
        later = 100.0
        self.assertEqual({"v1"}, {placed.version for placed in self.fill(later)})
        self.assertEqual(VERSION_GONE, self.place(later, version="v2"))
        self.without("old", later)
        self.assertEqual(0, self.free(later))

    def test_a_stream_that_waits_for_a_rejected_version_waits_in_vain(self):
        self.direct(Stage.CANARY)
        while isinstance(waiter := self.place(version="v2"), Assignment):
            pass
        self.direct(Stage.ROLLED_BACK)
        [(refused, refusal)] = self.allocator.expire_waiters(0.01)
        self.assertEqual((waiter, VERSION_GONE), (refused, refusal))

    def test_a_later_rollout_to_another_version_admits_a_rejected_one(self):
        self.direct(Stage.ROLLED_BACK)
        self.records.append(server("next-1", "v3"))
        self.list_servers()
        self.direct(Stage.CANARY, rollout=2, to="v3")
        self.assertNotIn("v2", self.serve(50))

    def test_another_order_to_a_rejected_version_admits_it(self):
        self.direct(Stage.ROLLED_BACK)
        self.direct(Stage.CANARY, rollout=2)
        self.assertEqual(5, self.serve(51)["v2"])

    def test_an_order_back_to_the_old_version_admits_its_servers(self):
        self.direct(Stage.COMPLETED)
        self.direct(Stage.SHIFTED, rollout=2, to="v1")
        self.assertEqual({"v1"}, {placed.version for placed in self.fill()})


class OnlyVersionTests(RolloutCase):
    """An order to the version that all servers have already."""

    def setUp(self):
        super().setUp()
        self.without("old")

    def test_an_order_to_the_only_version_leaves_its_service_without_servers(self):
        """None could begin within a share of none, and no other server could help."""
        for stage in (Stage.CANARY, Stage.SHIFTED, Stage.ROLLED_BACK):
            self.direct(stage)
            self.assertEqual(2 * SLOTS, self.free(LEASE_S))
            self.assertEqual(Counter(v2=20), self.serve(20, LEASE_S))

    def test_the_loss_of_all_old_servers_ends_the_limit_of_the_share(self):
        self.records.append(server("old-1", "v1"))
        self.list_servers()
        self.direct(Stage.CANARY)
        self.without("old")
        self.assertEqual(0, self.free())
        self.assertIsInstance(self.place(), Waiter)


class DirectiveOrderTests(RolloutCase):
    """Replies of several members overtake each other."""

    def stage(self) -> str:
        return self.rollouts.permission("till", 0.0).reason

    def test_an_earlier_stage_replaces_a_later_one(self):
        for stage in (Stage.SHIFTED, Stage.CANARY):
            self.direct(stage)
            self.assertEqual("shifted", self.stage())
        self.direct(Stage.ROLLED_BACK)
        for stage in (Stage.COMPLETED, Stage.SHIFTED, Stage.CANARY):
            self.direct(stage)
            self.assertEqual("rolled_back", self.stage())

    def test_an_earlier_rollout_replaces_a_later_one(self):
        self.direct(Stage.CANARY, rollout=7, to="v3")
        self.direct(Stage.COMPLETED, rollout=5)
        self.assertEqual("canary", self.stage())

    def test_a_later_rollout_begins_its_counts_again(self):
        self.direct(Stage.CANARY)
        self.serve(50)
        self.direct(Stage.CANARY, rollout=2, to="v3")
        self.assertEqual((), self.evidence().counts)

    def test_a_late_reply_extends_a_lease(self):
        self.direct(Stage.CANARY, 1.0)
        self.direct(Stage.CANARY, 0.0)
        [passed_on] = self.rollouts.directives(1.0)
        self.assertAlmostEqual(LEASE_S, passed_on.lease_s)
