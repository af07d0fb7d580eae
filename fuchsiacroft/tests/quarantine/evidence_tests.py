"""Tests of the evidence on content that crashes backend servers."""

import itertools
import random

import msgspec

from fuchsiacroft.quarantine import evidence
from fuchsiacroft.quarantine.evidence import (
    ANSWERED_CONVICTION_S,
    CONVICTION_S,
    INCIDENT_S,
    LOST_RUN_ISOLATION_S,
    MAX_CRASHES,
    CrashEvidence,
    Treatment,
)
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.transport.codec import MAX_MESSAGE_BYTES

REQUESTS_PER_SERVER = 5
SERVERS = 18


class CrashEvidenceTests(TestCase):
    """Crashes are held against content until an answer clears it."""

    def setUp(self):
        super().setUp()
        self.evidence = CrashEvidence()
        self.numbers = itertools.count(1)

    def crash(self, *content: str, at: float) -> None:
        """Record a crash beside a request that no other crash has."""
        number = next(self.numbers)
        self.evidence.record_crash(f"i-{number}/1", (*content, f"own-{number}"), at)

    def treatment(self, *content: str, at: float) -> Treatment:
        return self.evidence.treatment(content, at)

    def test_new_requests_with_a_part_of_two_crashes_are_refused(self):
        self.crash("deadly", at=1.0)
        self.assertIs(Treatment.ISOLATED, self.treatment("deadly", "new", at=1.1))
        self.crash("deadly", at=1.2)
        self.assertIs(Treatment.REFUSED, self.treatment("deadly", "new", at=1.3))

    def test_an_answered_part_beside_the_deadly_one_stays_served(self):
        self.evidence.record_answer(("common",), 0.5)
        for number in range(8):
            self.crash("common", "deadly", at=1.0 + 0.2 * number)
        self.assertIs(Treatment.REFUSED, self.treatment("common", "deadly", at=3.0))
        for others in (("sound",), ()):
            treatment = self.treatment("common", *others, at=3.0)
            self.assertIs(Treatment.ISOLATED, treatment)
        self.evidence.record_answer(("common", "sound"), 3.1)
        self.assertIs(Treatment.UNRESTRICTED, self.treatment("common", at=3.2))

    def test_one_crash_does_not_restrict_an_answered_part(self):
        self.evidence.record_answer(("common",), 0.5)
        self.crash("common", "deadly", at=1.0)
        self.assertIs(Treatment.UNRESTRICTED, self.treatment("common", at=1.0))

    def test_parts_that_always_crashed_together_are_told_apart(self):
        self.crash("first", "deadly", at=1.0)
        self.crash("first", "deadly", at=1.2)
        self.assertIs(Treatment.REFUSED, self.treatment("first", "deadly", at=1.3))
        self.assertIs(Treatment.ISOLATED, self.treatment("first", "sound", at=1.3))
        self.assertIs(Treatment.ISOLATED, self.treatment("other", "deadly", at=1.3))
        self.evidence.record_answer(("first", "sound"), 1.4)
        self.assertIs(Treatment.REFUSED, self.treatment("other", "deadly", at=1.5))
        self.assertIs(Treatment.UNRESTRICTED, self.treatment("first", "new", at=1.5))

    def test_servers_that_fail_at_once_convict_no_answered_part(self):
        self.evidence.record_answer(("common", "frequent"), 0.5)
        for number in range(SERVERS):
            self.crash("common", "frequent", at=1.0 + number * INCIDENT_S / SERVERS)
        for content in ("common", "frequent"):
            treatment = self.treatment(content, "new", at=2.0)
            self.assertIsNot(Treatment.REFUSED, treatment)

    def test_servers_that_fail_in_turn_convict_a_part_that_all_requests_share(self):
        self.evidence.record_answer(("common",), 0.5)
        for number in range(3):
            self.crash("common", f"frequent-{number}", at=1.0 + 6.0 * number)
            treatment = self.treatment("common", "new", at=2.0 + 6.0 * number)
            self.assertIsNot(Treatment.REFUSED, treatment)
        self.evidence.record_answer(("common",), 15.0)
        self.assertIs(Treatment.UNRESTRICTED, self.treatment("common", at=15.1))

    def test_two_deadly_parts_convict_an_answered_part_beside_them(self):
        self.evidence.record_answer(("common", "sound"), 0.5)
        for number in range(8):
            deadly = f"deadly-{number % 2}"
            self.crash("common", "sound", deadly, at=1.0 + 1.5 * number)
        for number in range(2):
            treatment = self.treatment("common", f"deadly-{number}", "new", at=12.0)
            self.assertIs(Treatment.REFUSED, treatment)
        treatment = self.treatment("common", "sound", "new", at=12.0)
        self.assertIs(Treatment.ISOLATED, treatment)

    def test_a_part_that_was_answered_before_is_refused_for_a_minute(self):
        self.evidence.record_answer(("common",), 0.5)
        for number in range(4):
            self.crash("common", at=1.0 + 6.0 * number)
        self.assertIs(Treatment.REFUSED, self.treatment("common", "new", at=19.1))
        at = 19.0 + ANSWERED_CONVICTION_S
        self.assertIs(Treatment.ISOLATED, self.treatment("common", "new", at=at + 0.1))

    def test_an_answered_part_that_turned_deadly_reaches_servers_without_end(self):
        self.evidence.record_answer(("common",), 0.5)
        crashed_at = []
        for at in range(1, 300):
            treatment = self.treatment("common", "new", at=at)
            if treatment is not Treatment.REFUSED:
                self.crash("common", at=at)
                crashed_at.append(at)
        self.assertLessEqual(len(crashed_at), 5 + 3)

    def test_a_request_lost_twice_while_other_servers_fail_is_not_refused(self):
        self.crash("unlucky", at=1.0)
        self.crash("else", at=1.2)
        self.crash("unlucky", at=1.4)
        self.assertIs(Treatment.ISOLATED, self.treatment("unlucky", at=1.5))
        self.crash("unlucky", at=3.0)
        self.assertIs(Treatment.REFUSED, self.treatment("unlucky", at=3.1))

    def test_a_crash_that_several_runs_report_counts_once(self):
        for _ in range(5):
            self.evidence.record_crash("i-1/1", ("bad",), 0.1)
        self.assertIs(Treatment.ISOLATED, self.treatment("bad", at=0.2))

    def test_an_answer_outweighs_the_crashes_before_it(self):
        self.crash("bad", "good", at=0.0)
        self.evidence.record_answer(("good",), 0.5)
        self.crash("bad", "good", at=1.0)
        self.assertIs(Treatment.REFUSED, self.treatment("bad", at=1.1))
        self.assertIs(Treatment.UNRESTRICTED, self.treatment("good", at=1.1))

    def test_a_lost_run_is_isolated_only_until_its_server_proves_alive(self):
        self.evidence.record_lost_run(("unlucky",), 1.0)
        self.assertIs(Treatment.ISOLATED, self.treatment("unlucky", at=1.1))
        at = 1.1 + LOST_RUN_ISOLATION_S
        self.assertIs(Treatment.UNRESTRICTED, self.treatment("unlucky", at=at))

    def test_a_conviction_ends_in_isolation_and_lasts_longer_after_a_relapse(self):
        self.crash("bad", at=1.0)
        self.crash("bad", at=1.5)
        self.assertIs(Treatment.REFUSED, self.treatment("bad", at=1.0 + CONVICTION_S))
        at = 2.0 + CONVICTION_S
        self.assertIs(Treatment.ISOLATED, self.treatment("bad", at=at))
        self.crash("bad", at=at)
        self.assertIs(Treatment.REFUSED, self.treatment("bad", at=at + CONVICTION_S))

    def test_a_lifted_conviction_needs_new_crashes(self):
        self.crash("bad", at=1.0)
        self.crash("bad", at=1.5)
        self.assertTrue(self.evidence.dump(2.0)["bad"]["quarantined"])
        self.assertTrue(self.evidence.lift("bad", 2.0))
        self.assertFalse(self.evidence.lift("bad", 2.0))
        self.assertIs(Treatment.UNRESTRICTED, self.treatment("bad", at=2.1))
        self.assertNotIn("bad", self.evidence.dump(2.1))

    def test_memory_is_bounded_while_servers_keep_crashing(self):
        for number in range(3 * MAX_CRASHES):
            self.crash("a", f"b-{number}", at=0.1 * number)
        at = 0.3 * MAX_CRASHES
        report = self.evidence.report(at)
        self.assertEqual(MAX_CRASHES, len(report.crashes))
        self.assertEqual(2 * MAX_CRASHES + 1, len(self.evidence.dump(at)))

    def test_a_report_fits_into_a_message_whatever_crashed(self):
        for number in range(MAX_CRASHES):
            content = [f"prefix:{number:04x}{n:012x}" for n in range(1_000)]
            self.crash(*content, at=0.1 * number)
        data = msgspec.msgpack.encode(self.evidence.report(30.0))
        self.assertLess(len(data), MAX_MESSAGE_BYTES)

    def test_entries_agree_whatever_the_order_of_reports(self):
        for seed in range(40):
            rng = random.Random(seed)
            source = CrashEvidence()
            reports = []
            for number in range(12):
                at = 0.3 * number
                content = rng.sample(("a", "b", "c", "d", "e"), 3)
                if rng.random() < 0.3:
                    source.record_answer(content[:1], at)
                else:
                    source.record_crash(f"i-{number}/1", content, at)
                reports.append((at, source.take_changes(at)))
            others = [CrashEvidence(), CrashEvidence()]
            for other in others:
                repeated = reports + rng.sample(reports, 4)
                rng.shuffle(repeated)
                for at, report in repeated:
                    other.merge(report, at)
            late = CrashEvidence()
            late.merge(source.report(4.0), 4.0)
            for other in (*others, late):
                self.assertEqual(source.dump(4.0), other.dump(4.0), seed)
                self.assertEqual(source.digest(4.0), other.digest(4.0), seed)

    def test_content_is_forgotten_after_a_while(self):
        self.crash("bad", at=0.0)
        at = evidence.RETENTION_S + 1.0
        self.assertIs(Treatment.UNRESTRICTED, self.treatment("bad", at=at))
        self.assertEqual({}, self.evidence.dump(at))
