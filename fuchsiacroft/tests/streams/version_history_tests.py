"""Tests of which versions an entry has seen."""

from fuchsiacroft.membership.registry_wire import ServerState
from fuchsiacroft.streams.version_history import VersionHistory
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.membership.server_table_tests import record

V1 = record("i-1", version="v1")
V2 = record("i-2", version="v2", address="10.0.0.2:80")


class VersionHistoryTests(TestCase):
    """A version that has ended may have begun a stream that is taken up now."""

    def setUp(self):
        super().setUp()
        self.history = VersionHistory(0.0)

    def test_a_version_is_forgotten_as_soon_as_its_servers_end(self):
        self.history.update([V1, V2], 1.0)
        self.history.update([V2], 10.0)
        self.assertEqual({"v1", "v2"}, self.history.versions("lens", 9.0))
        self.assertEqual({"v2"}, self.history.versions("lens", 11.0))

    def test_a_server_that_leaves_counts_as_gone(self):
        leaving = record("i-1", version="v1", life=ServerState.LEAVING)
        self.history.update([leaving], 1.0)
        self.assertEqual({"v1"}, self.history.versions("lens", 50.0))
        self.history.update([leaving.as_left()], 2.0)
        self.assertEqual(set(), self.history.versions("lens", 3.0))

    def test_an_entry_that_has_just_started_counts_as_having_seen_all(self):
        self.assertFalse(self.history.is_complete(-5.0))
        self.assertTrue(self.history.is_complete(0.0))

    def test_a_time_without_control_members_counts_as_seen(self):
        self.history.restart(20.0)
        self.assertFalse(self.history.is_complete(19.0))
        self.assertTrue(self.history.is_complete(20.0))
