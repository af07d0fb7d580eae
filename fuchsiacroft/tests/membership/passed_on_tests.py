"""Tests of short renewals in place of whole announcements."""

import msgspec

from fuchsiacroft.membership.announcement import (
    Announcement,
    Offer,
    RelayedAnnouncement,
    RelayedRenewal,
    ReportedLoad,
)
from fuchsiacroft.membership.passed_on import WHOLE_PERIOD_S, PassedOn
from fuchsiacroft.tests.base import TestCase

FIRST = Announcement("s", "boot", "d", "10.0.0.1:1", (Offer("lens"),), 4)


class PassedOnTests(TestCase):
    """Only what says the same again is shortened."""

    def setUp(self):
        super().setUp()
        self.passed = PassedOn()
        self.passed.message("e", FIRST, 0.0)

    def test_a_repeat_carries_the_load_only(self):
        load = ReportedLoad(running=3)
        again = msgspec.structs.replace(FIRST, load=load)
        msg = self.passed.message("e", again, 1.0)
        self.assertEqual(RelayedRenewal("s", "boot", load, ()), msg)

    def test_a_change_is_told_whole_at_once(self):
        leaving = msgspec.structs.replace(FIRST, leaving=True)
        reborn = msgspec.structs.replace(FIRST, boot_id="other")
        for changed in (leaving, reborn):
            self.assertEqual(
                RelayedAnnouncement(changed), self.passed.message("e", changed, 1.0)
            )

    def test_another_entry_and_a_new_period_get_the_whole(self):
        self.assertIsInstance(self.passed.message("f", FIRST, 1.0), RelayedAnnouncement)
        late = self.passed.message("e", FIRST, WHOLE_PERIOD_S)
        self.assertIsInstance(late, RelayedAnnouncement)
