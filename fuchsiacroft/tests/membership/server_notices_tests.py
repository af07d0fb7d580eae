"""Tests of what backend servers say of themselves."""

from fuchsiacroft.membership.server_notices import (
    MAX_RAMP_S,
    NoticeReason,
    ServerInstance,
    ServerNotices,
)
from fuchsiacroft.tests.base import TestCase

SERVER = ServerInstance("i-1", "1000")
RESTARTED = ServerInstance("i-1", "2000")
SLOTS = 4


class ServerNoticesTests(TestCase):
    """A notice holds for its instance and its time."""

    def setUp(self):
        super().setUp()
        self.notices = ServerNotices()

    def reason(self, at, running=0, server=SERVER):
        return self.notices.reason(server, running, SLOTS, at)

    def test_a_leaving_server_is_used_again(self):
        self.assertTrue(self.notices.record_leaving(SERVER))
        self.assertFalse(self.notices.record_leaving(SERVER))
        self.assertIs(NoticeReason.LEAVING, self.reason(0.0))
        self.assertIs(NoticeReason.LEAVING, self.reason(1_000.0))
        self.assertEqual(
            float("inf"), self.notices.resumes_at(SERVER, 0, SLOTS, 1_000.0)
        )

    def test_a_restarted_server_stays_unused(self):
        self.notices.record_leaving(SERVER)
        self.notices.record_pause(SERVER, 5.0, 0.0)
        self.assertIsNone(self.reason(1.0, server=RESTARTED))

    def test_a_pause_ends_too_early_or_never(self):
        self.notices.record_pause(SERVER, 2.0, 10.0)
        self.notices.record_pause(SERVER, 0.5, 10.5)
        self.assertIs(NoticeReason.PAUSED, self.reason(11.9))
        self.assertEqual(12.0, self.notices.resumes_at(SERVER, 0, SLOTS, 11.0))
        self.assertIsNone(self.reason(12.0))

    def test_a_server_gets_its_whole_share_at_the_end_of_its_pause(self):
        self.notices.record_pause(SERVER, 2.0, 10.0)
        most = []
        for at in (12.0, 12.6, 13.1, 13.6, 14.0):
            running = 0
            while running < SLOTS and self.reason(at, running) is None:
                running += 1
            most.append(running)
        self.assertEqual([1, 2, 3, 4, 4], most)
        self.assertTrue(self.notices.is_empty)

    def test_a_long_pause_is_followed_by_a_ramp_as_long(self):
        self.notices.record_pause(SERVER, 60.0, 0.0)
        self.assertIsNone(self.reason(60.0 + MAX_RAMP_S, SLOTS))

    def test_notices_of_servers_that_are_gone_stay_in_memory(self):
        self.notices.record_leaving(SERVER)
        self.notices.record_pause(SERVER, 5.0, 0.0)
        self.notices.forget(lambda server: server == RESTARTED)
        self.assertTrue(self.notices.is_empty)
