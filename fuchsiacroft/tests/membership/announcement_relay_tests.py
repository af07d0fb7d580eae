"""Tests of the choice between full announcements and short renewals."""

import msgspec

from fuchsiacroft.membership.announcement import (
    Announcement,
    Offer,
    RelayedAnnouncement,
    RelayedRenewal,
    ReportedLoad,
)
from fuchsiacroft.membership.announcement_relay import (
    FULL_ANNOUNCEMENT_PERIOD_S,
    AnnouncementRelay,
)
from fuchsiacroft.tests.base import TestCase

FIRST = Announcement("s", "boot", "d", "10.0.0.1:1", (Offer("lens"),), 4)


class AnnouncementRelayTests(TestCase):
    """Only an unchanged announcement is shortened."""

    def setUp(self):
        super().setUp()
        self.relay = AnnouncementRelay()
        self.relay.next_message("e", FIRST, 0.0)

    def test_an_unchanged_announcement_is_sent_as_a_renewal(self):
        load = ReportedLoad(running=3)
        again = msgspec.structs.replace(FIRST, load=load)
        msg = self.relay.next_message("e", again, 1.0)
        self.assertEqual(RelayedRenewal("s", "boot", load, ()), msg)

    def test_a_change_is_sent_in_full_at_once(self):
        leaving = msgspec.structs.replace(FIRST, leaving=True)
        restarted = msgspec.structs.replace(FIRST, boot_id="other")
        for changed in (leaving, restarted):
            self.assertEqual(
                RelayedAnnouncement(changed), self.relay.next_message("e", changed, 1.0)
            )

    def test_another_entry_and_a_new_period_get_a_full_announcement(self):
        self.assertIsInstance(
            self.relay.next_message("f", FIRST, 1.0), RelayedAnnouncement
        )
        late = self.relay.next_message("e", FIRST, FULL_ANNOUNCEMENT_PERIOD_S)
        self.assertIsInstance(late, RelayedAnnouncement)
