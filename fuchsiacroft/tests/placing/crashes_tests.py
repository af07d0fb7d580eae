"""Tests of the quarantine of requests that crash backend servers."""

from fuchsiacroft.placing.allocator import Allocator
from fuchsiacroft.placing.crashes import SUSPICION_TTL_S, CrashTracker
from fuchsiacroft.placing.fleet import Assignment
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.messages import PlaceRequest
from fuchsiacroft.routing.permits import (
    PermitRequest,
    Refusal,
    RefusalReason,
    RunOutcome,
    RunReport,
)
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.membership.server_table_tests import record

LOST = RunReport(RunOutcome.CONNECTION_LOST)
DONE = RunReport(RunOutcome.COMPLETED, duration_s=0.02)
UNREACHABLE = RunReport(RunOutcome.NOT_DISPATCHED)


class CrashTrackerTests(TestCase):
    """Requests are suspected after crashes and cleared by completion."""

    def setUp(self):
        super().setUp()
        self.crashes = CrashTracker()

    def test_three_crashes_quarantine_a_request(self):
        for number in range(3):
            self.assertFalse(self.crashes.is_quarantined("bad", number))
            self.crashes.record_lost_connection(f"i-{number}/1", "bad", number)
            self.crashes.record_crash(f"i-{number}/1", (), number + 0.5)
        self.assertTrue(self.crashes.is_quarantined("bad", 3.0))
        self.assertFalse(self.crashes.is_quarantined("bad", 3.0 + SUSPICION_TTL_S))

    def test_a_crash_that_several_runs_report_counts_once(self):
        for _ in range(5):
            self.crashes.record_lost_connection("i-1/1", "bad", 0.0)
            self.crashes.record_crash("i-1/1", ("bad",), 0.1)
        self.assertFalse(self.crashes.is_quarantined("bad", 1.0))

    def test_lost_connections_to_a_live_server_raise_no_suspicion(self):
        for number in range(9):
            self.crashes.record_lost_connection("i-1/1", "unlucky", float(number))
        self.assertFalse(self.crashes.is_quarantined("unlucky", 9.0))
        self.crashes.record_crash("i-1/1", (), 60.0)
        self.assertEqual({}, self.crashes.suspects(60.0))

    def test_a_completed_request_is_cleared(self):
        for number in range(2):
            self.crashes.record_crash(f"i-{number}/1", ("bad", "good"), 0.0)
        self.crashes.clear("good")
        self.crashes.record_crash("i-9/1", ("bad", "good"), 1.0)
        self.assertTrue(self.crashes.is_quarantined("bad", 1.0))
        self.assertFalse(self.crashes.is_quarantined("good", 1.0))

    def test_crashes_reported_by_other_domains_add_up(self):
        others = [CrashTracker() for _ in range(2)]
        for number, other in enumerate(others):
            other.record_crash(f"i-{number}/1", ("bad",), 0.0)
        self.crashes.record_crash("i-5/1", ("bad",), 0.0)
        for other in others:
            self.crashes.merge(other.suspects(0.1), 0.1)
        self.assertTrue(self.crashes.is_quarantined("bad", 0.2))


class QuarantineTests(TestCase):
    """The allocator detects crashes from ended runs and quarantines the request."""

    def request(self, number: int, fingerprint: str) -> PlaceRequest:
        permit_request = PermitRequest(
            f"a-{number}", "lens", 0, 1.0, "tills", fingerprint=fingerprint
        )
        return PlaceRequest(f"run-{number}", permit_request, 0.0, False, 0.1, 0.1)

    def test_a_retried_request_is_quarantined_after_three_servers(self):
        allocator = Allocator(SharedLimits())
        names = [f"i-{number}" for number in range(6)]
        allocator.fleet.replace_servers(
            [
                record(name, address=f"10.0.0.{number}:80")
                for number, name in enumerate(names)
            ],
            0.0,
        )
        reached, number, at = set(), 0, 0.0
        for _ in range(12):
            at += 1.0
            number += 1
            decision = allocator.place(self.request(number, "bad"), at)
            if isinstance(decision, Refusal):
                self.assertIs(RefusalReason.QUARANTINED, decision.reason)
                break
            self.assertIsInstance(decision, Assignment)
            reached.add(decision.backend_server)
            allocator.end(decision.run_id, LOST, at + 0.1)
            # Another request finds that the server is down.
            instance_id = f"{decision.backend_server}/1000"
            allocator.fleet.crashes.record_crash(instance_id, (), at + 0.4)
        self.assertEqual(3, len(reached))
        number += 1
        other = allocator.place(self.request(number, "good"), at + 5.0)
        self.assertIsInstance(other, Assignment)
