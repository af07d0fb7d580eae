"""Tests of which statement on a server's limit counts."""

import itertools
import unittest

from fuchsiacroft.membership import limit_reports
from fuchsiacroft.membership.limit_recorder import LimitRecorder, parse_limit
from fuchsiacroft.membership.limit_reports import MAX_REPORTS, LimitReports
from fuchsiacroft.membership.server_limits import (
    MAX_LIMITS,
    RETENTION_S,
    UNLIMITED,
    LimitStatement,
    ServerLimits,
)
from fuchsiacroft.membership.server_notices import (
    NoticedAnswer,
    ServerInstance,
    ServerNotice,
)
from fuchsiacroft.tests.base import PausedTestCase
from fuchsiacroft.transport import codec

SERVER = ServerInstance("e-1", "1")
RESTARTED = ServerInstance("e-1", "2")


def limits_after(*statements: LimitStatement) -> ServerLimits:
    limits = ServerLimits()
    for statement in statements:
        limits.record(SERVER, statement)
    return limits


class ServerLimitsTests(unittest.TestCase):
    """Answers cross each other on the way."""

    def test_an_answer_to_a_request_sent_before_ends_a_limit(self):
        named = LimitStatement(5.0, sent_at=1.0, received_at=2.0)
        crossing = LimitStatement(UNLIMITED, sent_at=1.9, received_at=3.0)
        for order in itertools.permutations((named, crossing)):
            self.assertEqual(5.0, limits_after(*order).per_s(SERVER))

    def test_an_answer_to_a_request_sent_later_does_not_end_a_limit(self):
        named = LimitStatement(5.0, sent_at=1.0, received_at=2.0)
        ended = LimitStatement(UNLIMITED, sent_at=2.0, received_at=3.0)
        for order in itertools.permutations((named, ended)):
            limits = limits_after(*order)
            self.assertEqual(UNLIMITED, limits.per_s(SERVER))
            self.assertTrue(limits.is_empty)

    def test_the_higher_of_two_crossing_limits_counts(self):
        low = LimitStatement(3.0, sent_at=1.0, received_at=3.0)
        high = LimitStatement(8.0, sent_at=2.0, received_at=4.0)
        for order in itertools.permutations((low, high)):
            self.assertEqual(3.0, limits_after(*order).per_s(SERVER))

    def test_a_raised_limit_stays_low(self):
        low = LimitStatement(3.0, sent_at=1.0, received_at=2.0)
        raised = LimitStatement(8.0, sent_at=2.5, received_at=3.0)
        for order in itertools.permutations((low, raised)):
            self.assertEqual(8.0, limits_after(*order).per_s(SERVER))

    def test_a_restarted_server_has_the_limit_of_its_last_start(self):
        limits = limits_after(LimitStatement(3.0, 1.0, 2.0))
        self.assertEqual(UNLIMITED, limits.per_s(RESTARTED))

    def test_a_limit_in_force_is_forgotten_or_that_of_a_lost_server_kept(self):
        limits = limits_after(LimitStatement(3.0, 1.0, 2.0))
        later = 2.0 + RETENTION_S + 1.0
        limits.forget(lambda server: True, later)
        self.assertEqual(3.0, limits.per_s(SERVER))
        limits.forget(lambda server: False, later)
        self.assertTrue(limits.is_empty)
        self.assertEqual([], list(limits.statements()))

    def test_a_limit_that_is_named_again_and_again_is_forgotten_first(self):
        limits = limits_after(LimitStatement(3.0, 0.0, 0.0))
        for number in range(MAX_LIMITS):
            limits.record(SERVER, LimitStatement(3.0, number, number + 0.5))
            other = ServerInstance(f"other-{number}", "1")
            limits.record(other, LimitStatement(1.0, number, number + 0.5))
        self.assertEqual(3.0, limits.per_s(SERVER))

    def test_the_report_of_many_limits_exceeds_a_message(self):
        limits = ServerLimits()
        for number in range(MAX_REPORTS * 2):
            server = ServerInstance(f"server-with-a-long-name-{number}", "1" * 13)
            limits.record(server, LimitStatement(1.5, 0.0, float(number)))
        reports = limit_reports.reports(limits, 5_000.0)
        self.assertEqual(MAX_REPORTS, len(reports))
        data = codec.encode(LimitReports(reports), 1, False, "entry-1")
        self.assertLess(len(data), codec.MAX_MESSAGE_BYTES)
        decoded = codec.decode(data)[1]
        self.assertEqual(reports, decoded.reports)


class LimitRecorderTests(PausedTestCase):
    """What an answer names, and what its silence says."""

    def setUp(self):
        super().setUp()
        self.limits = ServerLimits()
        self.recorder = LimitRecorder(self.limits)

    def record(self, limit, *, has_run=True, is_limited=False):
        async def play():
            notice = ServerNotice(limit=limit, has_run=has_run)
            answer = NoticedAnswer(SERVER, notice, "r-1", 0.0, 1.0, is_limited)
            return self.recorder.record_answer(answer)

        return self.run_paused(play())

    def test_a_value_without_sense_counts_as_a_limit(self):
        for value in ("soon", "", "nan", "inf", "-1"):
            self.assertTrue(parse_limit(value).is_error(), value)
            self.assertIsNone(self.record(value))
        self.assertTrue(self.limits.is_empty)

    def test_an_answer_without_a_limit_is_reported_for_a_server_without_one(self):
        self.assertIsNone(self.record(None))
        self.assertEqual(UNLIMITED, self.record(None, is_limited=True).per_s)

    def test_a_server_that_ran_nothing_ends_its_limit_by_naming_none(self):
        self.limits.record(SERVER, LimitStatement(5.0, -2.0, -1.0))
        self.assertIsNone(self.record(None, has_run=False))
        self.assertEqual(5.0, self.limits.per_s(SERVER))
        self.record(None)
        self.assertEqual(UNLIMITED, self.limits.per_s(SERVER))
