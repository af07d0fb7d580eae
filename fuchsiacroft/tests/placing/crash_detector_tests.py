"""Tests of recognizing crashes from runs, and of placing suspected requests."""

from fuchsiacroft.placing.allocator import Allocator
from fuchsiacroft.placing.fleet import Assignment
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.messages import PlaceRequest
from fuchsiacroft.placing.queue import Waiter
from fuchsiacroft.quarantine.evidence import (
    ANSWER_SURVIVAL_S,
    CONVICTION_S,
    Treatment,
)
from fuchsiacroft.routing.permits import (
    PermitRequest,
    Refusal,
    RefusalReason,
    RunOutcome,
    RunReport,
    WorkSize,
)
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.membership.server_table_tests import record

LOST = RunReport(RunOutcome.CONNECTION_LOST)
LOST_AFTER_ANSWER = RunReport(
    RunOutcome.CONNECTION_LOST, first_token_s=0.1, duration_s=2.0
)
DONE = RunReport(RunOutcome.COMPLETED, duration_s=0.02)
UNREACHABLE = RunReport(RunOutcome.NOT_DISPATCHED)
NOT_IN_TIME = RunReport(RunOutcome.NOT_DISPATCHED, is_timed_out=True)


class CrashDetectorTestCase(TestCase):
    """An allocator with a few servers, and requests with prompt parts."""

    servers = 8

    def setUp(self):
        super().setUp()
        self.allocator = Allocator(SharedLimits())
        self.records = [
            record(f"i-{n}", address=f"10.0.0.{n}:80") for n in range(self.servers)
        ]
        self.allocator.fleet.replace_servers(self.records, 0.0)
        self.evidence = self.allocator.fleet.crash_detector.evidence
        self.sent = 0

    def request(
        self,
        *parts: str,
        fingerprint: str = "",
        wait_s: float = 0.1,
        service: str = "lens",
    ) -> PlaceRequest:
        self.sent += 1
        permit_request = PermitRequest(
            f"a-{self.sent}",
            service,
            0,
            1.0,
            "tills",
            size=WorkSize(1000, 100),
            fingerprint=fingerprint or f"own-{self.sent}",
            shared_parts=parts,
            token_gap_target_s=9.0,
        )
        run_id = f"run-{self.sent}"
        return PlaceRequest(run_id, permit_request, 0.0, False, wait_s, wait_s)

    def place(self, *parts: str, at: float, **fields):
        return self.allocator.place(self.request(*parts, **fields), at)

    def place_on(
        self, server: str, *parts: str, at: float, service: str = "lens"
    ) -> Assignment:
        """Place a request on one server."""
        request = self.request(*parts, service=service)
        load = self.allocator.fleet.pool.get(server)
        return self.allocator.fleet.begin(request, load, at, at)

    def treatment(self, part: str, at: float) -> Treatment:
        return self.evidence.treatment((f"part:{part}@lens",), at)


class CrashDetectorTests(CrashDetectorTestCase):
    """Which runs a crash is blamed on, and when it is recognized."""

    def test_a_crash_is_recognized_when_all_runs_are_lost_at_once(self):
        runs = [self.place_on("i-0", f"p-{n}", at=1.0) for n in range(3)]
        for run in runs[:2]:
            self.allocator.end(run.run_id, LOST, 1.1)
        self.assertEqual({}, self.evidence.dump(1.1))
        self.allocator.end(runs[2].run_id, LOST, 1.12)
        for n in range(3):
            self.assertIn(f"part:p-{n}@lens", self.evidence.dump(1.12))

    def test_runs_that_had_begun_their_answers_are_not_blamed(self):
        begun = self.place_on("i-0", "begun", at=1.0)
        new = self.place_on("i-0", "new", at=1.5)
        self.allocator.end(begun.run_id, LOST_AFTER_ANSWER, 1.7)
        self.allocator.end(new.run_id, LOST, 1.7)
        self.assertIn("part:new@lens", self.evidence.dump(1.7))
        self.assertNotIn("part:begun@lens", self.evidence.dump(1.7))

    def test_runs_placed_on_a_server_after_its_crash_are_not_blamed(self):
        lost = self.place_on("i-0", "lost", at=1.0)
        self.allocator.end(lost.run_id, LOST, 1.1)
        late = [self.place_on("i-0", f"late-{n}", at=1.2) for n in range(3)]
        for run in late:
            self.allocator.end(run.run_id, UNREACHABLE, 1.25)
        self.assertIn("part:lost@lens", self.evidence.dump(1.3))
        for n in range(3):
            self.assertNotIn(f"part:late-{n}@lens", self.evidence.dump(1.3))

    def test_a_server_that_nobody_reaches_is_taken_for_a_crashed_one(self):
        """Its VM is cut off, or this entry is; no connection is refused."""
        for number in range(2):
            self.place_on(f"i-{number}", "new", at=1.0)
            late = self.place_on(f"i-{number}", f"late-{number}", at=1.1)
            self.allocator.end(late.run_id, NOT_IN_TIME, 1.5)
        self.assertIs(Treatment.UNRESTRICTED, self.treatment("new", 1.5))

    def test_one_lost_run_of_several_is_no_crash(self):
        lost = self.place_on("i-0", "lost", at=1.0)
        self.place_on("i-0", "other", at=1.0)
        self.allocator.end(lost.run_id, LOST, 1.1)
        self.assertEqual({}, self.evidence.dump(1.2))

    def test_a_server_that_leaves_by_plan_has_not_crashed(self):
        run = self.place_on("i-0", "lost", at=1.0)
        self.allocator.end(run.run_id, LOST, 1.1)
        self.allocator.fleet.replace_servers(self.records[1:], 1.2, (), {"i-0"})
        self.assertEqual({}, self.evidence.dump(1.2))

    def test_a_server_that_ends_without_notice_has_crashed(self):
        run = self.place_on("i-0", "lost", at=1.0)
        self.allocator.end(run.run_id, LOST, 1.1)
        self.allocator.fleet.replace_servers(self.records[1:], 1.2)
        self.assertIn("part:lost@lens", self.evidence.dump(1.2))

    def test_an_answer_that_goes_on_clears_its_parts(self):
        self.evidence.record_crash("i-9/1", ("part:p@lens",), 0.5)
        run = self.place_on("i-0", "p", at=1.0)
        self.allocator.fleet.mark_prefilled(run.run_id, 1.1)
        self.allocator.expire_waiters(1.2)
        self.assertIs(Treatment.ISOLATED, self.treatment("p", 1.2))
        at = 1.1 + ANSWER_SURVIVAL_S
        self.allocator.expire_waiters(at)
        self.assertIs(Treatment.UNRESTRICTED, self.treatment("p", at))

    def test_an_answer_of_another_service_clears_nothing(self):
        self.evidence.record_crash("i-9/1", ("part:p@lens",), 0.5)
        run = self.place_on("i-0", "p", at=1.0, service="till")
        self.allocator.end(run.run_id, DONE, 1.1)
        self.assertIs(Treatment.ISOLATED, self.treatment("p", 1.2))

    def test_an_answer_that_breaks_off_at_once_clears_nothing(self):
        self.evidence.record_crash("i-9/1", ("part:p@lens",), 0.5)
        run = self.place_on("i-0", "p", at=1.0)
        self.allocator.fleet.mark_prefilled(run.run_id, 1.1)
        self.allocator.end(run.run_id, LOST, 1.15)
        self.allocator.expire_waiters(3.0)
        self.assertIs(Treatment.REFUSED, self.treatment("p", 3.0))


class SuspectedRequestTests(CrashDetectorTestCase):
    """The allocator isolates suspected requests and refuses convicted ones."""

    def test_a_retried_request_crashes_two_servers_at_most(self):
        reached = set()
        for number in range(12):
            decision = self.place(at=1.0 + number, fingerprint="bad")
            if isinstance(decision, Refusal):
                self.assertIs(RefusalReason.QUARANTINED, decision.reason)
                break
            self.assertIsInstance(decision, Assignment)
            reached.add(decision.backend_server)
            self.allocator.end(decision.run_id, LOST, 1.1 + number)
            # Another request finds that the server is down.
            server = next(r for r in self.records if r.name == decision.backend_server)
            rest = [r for r in self.records if r is not server]
            self.allocator.fleet.replace_servers(rest, 1.4 + number)
            self.records = rest
        self.assertEqual(2, len(reached))
        self.assertIsInstance(self.place(at=6.0, fingerprint="good"), Assignment)

    def convict(self, part: str, at: float) -> None:
        for number in range(2):
            content = (f"part:{part}@lens", f"own-x{number}")
            self.evidence.record_crash(f"x-{number}/1", content, at)

    def test_a_waiter_whose_part_is_convicted_is_refused_at_once(self):
        self.fill()
        waiter = self.place("bad", at=1.0, wait_s=5.0)
        self.assertIsInstance(waiter, Waiter)
        self.convict("bad", 1.1)
        [(refused, refusal)] = self.allocator.expire_waiters(1.2)
        self.assertEqual(waiter.request.run_id, refused.request.run_id)
        self.assertIs(RefusalReason.QUARANTINED, refusal.reason)

    def fill(self) -> None:
        while isinstance(self.place("p", at=0.9, wait_s=0.0), Assignment):
            pass
        self.allocator.expire_waiters(0.91)

    def test_a_suspected_request_that_is_lost_alone_counts_as_a_crash_at_once(self):
        first = self.place("p", at=1.0)
        self.allocator.end(first.run_id, LOST, 1.1)
        self.assertEqual({}, self.evidence.dump(1.1))
        second = self.place("p", at=1.2)
        self.allocator.end(second.run_id, LOST, 1.3)
        self.assertIn("part:p@lens", self.evidence.dump(1.3))
        third = self.place("p", at=1.4)
        self.allocator.end(third.run_id, LOST, 1.5)
        refusal = self.place("p", at=1.6)
        self.assertIs(RefusalReason.QUARANTINED, refusal.reason)

    def test_suspected_requests_with_one_part_run_one_at_a_time(self):
        self.evidence.record_crash("i-9/1", ("part:p@lens",), 0.5)
        first = self.place("p", at=1.0, wait_s=5.0)
        second = self.place("p", at=1.0, wait_s=5.0)
        self.assertIsInstance(first, Assignment)
        self.assertIsInstance(second, Waiter)
        self.allocator.end(first.run_id, DONE, 1.1)
        [(waiter, _)] = self.allocator.place_waiters(1.1)
        self.assertEqual(second.request.run_id, waiter.request.run_id)

    def test_nothing_is_placed_beside_an_isolated_run_before_its_answer(self):
        self.evidence.record_crash("i-9/1", ("part:p@lens",), 0.5)
        isolated = self.place("p", at=1.0)
        placed = [self.place("q", at=1.0) for _ in range(3 * self.servers)]
        beside = [
            run for run in placed if run.backend_server == isolated.backend_server
        ]
        self.assertEqual([], beside)
        self.allocator.fleet.mark_prefilled(isolated.run_id, 1.2)
        placed = [self.place("q", at=1.2) for _ in range(3 * self.servers)]
        self.assertIn(isolated.backend_server, {run.backend_server for run in placed})

    def test_isolated_runs_of_one_service_do_not_hold_up_those_of_another(self):
        self.evidence.record_crash("i-9/1", ("part:p@lens", "part:p@till"), 0.5)
        servers = [
            record(f"t-{n}", address=f"10.0.1.{n}:80", service="till") for n in range(2)
        ]
        self.allocator.fleet.replace_servers([*self.records[:4], *servers], 0.6)
        self.assertIsInstance(self.place("p", at=1.0), Assignment)
        self.assertIsInstance(self.place("p", at=1.0, service="till"), Assignment)

    def test_a_suspected_request_at_the_head_does_not_hold_up_others(self):
        self.evidence.record_crash("i-9/1", ("part:p@lens",), 0.5)
        self.place("p", at=1.0)
        waiter = self.place("p", at=1.0, wait_s=5.0)
        self.assertIsInstance(waiter, Waiter)
        self.assertIsInstance(self.place("q", at=1.0), Assignment)
        self.assertEqual([], self.allocator.queue_heads(1.0))

    def test_a_convicted_part_stays_refused_while_requests_come(self):
        self.convict("bad", 1.0)
        for second in range(2, int(CONVICTION_S)):
            refusal = self.place("bad", at=float(second))
            self.assertIs(RefusalReason.QUARANTINED, refusal.reason)


class LittleTrafficTests(CrashDetectorTestCase):
    """New requests with a deadly part come one after the other, and nothing else."""

    servers = 5

    def crashes(self, *, back_after_s: float, period_s: float, requests: int) -> int:
        """Send requests, each of which crashes its server; return how many do.

        The next start of a server is known `back_after_s` later.
        """
        crashes = 0
        starts: list[tuple[float, str]] = []
        for number in range(requests):
            at = 1.0 + period_s * number
            while starts and starts[0][0] <= at:
                self.restart(starts[0][1], starts[0][0])
                starts.pop(0)
            placed = self.place("deadly", at=at, wait_s=0.0)
            if isinstance(placed, Refusal):
                continue
            self.assertIsInstance(placed, Assignment)
            crashes += 1
            outcome = LOST
            if placed.backend_server in {name for _, name in starts}:
                outcome = UNREACHABLE
                crashes -= 1
            else:
                starts.append((at + back_after_s, placed.backend_server))
            self.allocator.end(placed.run_id, outcome, at + 0.05)
        return crashes

    def restart(self, name: str, at: float) -> None:
        self.records = [
            record(
                known.name,
                born_ms=known.born_ms + int(1000 * at) * (known.name == name),
                address=known.announcement.address,
            )
            for known in self.records
        ]
        self.allocator.fleet.replace_servers(self.records, at)

    def test_a_crash_by_a_run_that_is_lost_alone_is_never_recorded(self):
        crashes = self.crashes(back_after_s=5.2, period_s=2.7, requests=22)
        self.assertLessEqual(crashes, 5)

    def test_a_crash_is_never_recorded_if_its_server_is_back_late(self):
        crashes = self.crashes(back_after_s=12.0, period_s=5.0, requests=12)
        self.assertLessEqual(crashes, 5)

    def test_a_crash_is_known_only_when_its_server_is_gone_for_seconds(self):
        run = self.place_on("i-0", "lost", at=1.0)
        self.allocator.end(run.run_id, LOST, 1.1)
        self.allocator.fleet.replace_servers(self.records[1:], 8.5)
        self.assertIn("part:lost@lens", self.evidence.dump(8.5))

    def test_a_part_that_was_answered_since_is_blamed_for_a_late_crash(self):
        run = self.place_on("i-0", "lost", "shared", at=1.0)
        self.allocator.end(run.run_id, LOST, 1.1)
        other = self.place_on("i-1", "shared", at=1.5)
        self.allocator.end(other.run_id, DONE, 2.0)
        self.allocator.fleet.replace_servers(self.records[1:], 8.5)
        self.assertIn("part:lost@lens", self.evidence.dump(8.5))
        self.assertNotIn("part:shared@lens", self.evidence.dump(8.5))

    def test_a_run_whose_server_went_on_is_blamed_for_a_later_crash(self):
        run = self.place_on("i-0", "lost", at=1.0)
        self.allocator.end(run.run_id, LOST, 1.1)
        fleet = self.allocator.fleet
        self.assertTrue(
            fleet.starts.record_progress(fleet.pool.get("i-0").instance, 0.0, 2.0)
        )
        fleet.replace_servers(self.records[1:], 8.5)
        self.assertEqual({}, self.evidence.dump(8.5))
