"""Tests of which starts of backend servers are certain."""

from fuchsiacroft.membership.server_notices import NO_START, ServerInstance
from fuchsiacroft.membership.server_starts import (
    LATE_HEARTBEATS,
    LIST_DELAY_S,
    SETTLING_S,
    ServerStarts,
)
from fuchsiacroft.tests.base import TestCase

SERVER = ServerInstance("i-1", "1000")
RESTARTED = ServerInstance("i-1", "2000")
HEARTBEAT_S = 1.0
LISTED_S = 2 * LATE_HEARTBEATS * HEARTBEAT_S + LIST_DELAY_S


class ServerStartsTests(TestCase):
    """A server loses a run at 10 s; an event of it came at 9 s."""

    def setUp(self):
        super().setUp()
        self.starts = ServerStarts()
        self.starts.set_heartbeat_s(HEARTBEAT_S)
        self.assertTrue(self.starts.record_loss(SERVER, 9.0, 10.0))

    def is_certain(self, at: float, sent_at: float = float("inf")) -> bool:
        return self.starts.is_certain(SERVER, at, sent_at)

    def test_a_server_that_lost_a_run_is_taken_for_the_same_start(self):
        self.assertFalse(self.is_certain(10.0))
        self.assertFalse(self.starts.record_loss(SERVER, 10.5, 10.5))

    def test_another_start_of_the_name_is_doubted(self):
        self.assertTrue(self.starts.is_certain(RESTARTED, 10.0))

    def test_a_run_from_before_the_loss_is_doubted(self):
        self.assertTrue(self.is_certain(10.0, sent_at=8.0))
        self.assertFalse(self.is_certain(10.0, sent_at=9.5))

    def test_a_server_whose_other_runs_go_on_stays_uncertain(self):
        self.assertTrue(
            self.starts.record_progress(SERVER, 8.0, 10.0 + SETTLING_S),
        )
        self.assertTrue(self.is_certain(10.4))

    def test_bytes_that_were_under_way_prove_a_start(self):
        self.assertFalse(self.starts.record_progress(SERVER, 8.0, 10.1))
        self.assertFalse(self.is_certain(10.4))

    def test_a_run_that_may_be_of_the_next_start_proves_the_one_before(self):
        self.assertFalse(self.starts.record_progress(SERVER, 9.5, 12.0))
        self.assertFalse(self.is_certain(12.0))

    def test_a_run_between_two_losses_proves_the_start_before_both(self):
        self.starts.record_loss(SERVER, 11.0, 12.0)
        self.assertFalse(self.starts.record_progress(SERVER, 10.5, 13.0))
        self.assertTrue(self.starts.record_progress(SERVER, 8.0, 13.0))

    def test_a_late_heartbeat_proves_a_start(self):
        self.assertFalse(self.is_certain(10.0 + LISTED_S - 0.1))

    def test_a_server_that_stays_listed_stays_uncertain(self):
        self.assertTrue(self.is_certain(10.0 + LISTED_S))
        self.assertTrue(self.starts.is_empty)

    def test_a_list_that_is_not_renewed_proves_a_start(self):
        self.starts.record_unlisted(20.0)
        self.assertFalse(self.is_certain(10.0 + LISTED_S))
        self.assertTrue(self.is_certain(20.0 + LISTED_S))

    def test_a_server_that_loses_runs_all_the_time_stays_uncertain(self):
        """No run goes on over all losses, but each loss has one that spans it."""
        sent = (8.0, 9.5, 11.0, 12.5)
        for tenth in range(101, 141):
            at = tenth / 10
            if at <= 13.0:
                self.starts.record_loss(SERVER, at - 0.1, at)
            for sent_at in sent:
                if sent_at < at < sent_at + 3.0:
                    self.starts.record_progress(SERVER, sent_at, at)
        self.assertTrue(self.is_certain(14.0))

    def test_a_start_is_proven_by_runs_on_both_sides_of_its_end(self):
        for tenth in range(101, 141):
            at = tenth / 10
            self.starts.record_loss(SERVER, at - 0.1, at)
            self.starts.record_progress(SERVER, 10.1, at)
        self.assertFalse(self.is_certain(14.0))

    def test_an_answer_to_a_question_from_before_a_loss_proves_a_start(self):
        self.assertFalse(self.starts.record_alive(SERVER, 9.9))
        self.assertFalse(self.is_certain(10.5))

    def test_a_server_that_answers_after_a_loss_stays_uncertain(self):
        self.assertTrue(self.starts.record_alive(SERVER, 10.0))
        self.assertTrue(self.is_certain(10.5))

    def test_a_server_that_has_another_name_after_each_start_is_doubted(self):
        nameless = ServerInstance("i-1", NO_START)
        self.starts.record_loss(nameless, 9.0, 10.0)
        self.assertTrue(self.starts.is_certain(nameless, 10.0))
