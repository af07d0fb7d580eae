"""Tests of merging reports of backend servers."""

from fuchsiacroft.membership.announcement import Announcement, Offer
from fuchsiacroft.membership.registry_wire import ServerRecord, ServerState
from fuchsiacroft.membership.server_table import LEFT_RETENTION_S, ServerTable
from fuchsiacroft.tests.base import TestCase


def record(
    name: str = "i-1",
    *,
    born_ms: int = 1_000,
    sequence: int = 1,
    life: ServerState = ServerState.SERVING,
    address: str = "10.0.0.1:80",
    domain: str = "mvd-cordon",
    service: str = "lens",
    version: str = "",
    slots: int = 11,
) -> ServerRecord:
    """Return a report of a backend server."""
    announcement = Announcement(
        name=name,
        boot_id=f"{name}/{born_ms}",
        failure_domain=domain,
        address=address,
        offers=(Offer(service, version),),
        slots=slots,
    )
    return ServerRecord(announcement, born_ms, sequence, life)


class ServerTableTests(TestCase):
    """Reports may be delayed, duplicated, reordered or from earlier lives."""

    def setUp(self):
        super().setUp()
        self.table = ServerTable()

    def life(self, name: str = "i-1") -> ServerState:
        return self.table.get(name).life

    def test_a_late_report_does_not_undo_that_a_server_leaves(self):
        self.table.merge(record(sequence=5, life=ServerState.LEAVING), 0)
        self.assertEqual((), self.table.merge(record(sequence=4), 1))
        self.assertEqual((), self.table.merge(record(sequence=6), 2))
        self.assertIs(ServerState.LEAVING, self.life())

    def test_a_report_of_the_far_future_hides_a_server_for_good(self):
        for future in (record(born_ms=10**14), record(sequence=2**62)):
            self.table = ServerTable()
            self.table.merge(record(sequence=5), 0.0)
            self.table.merge(future, 1.0)
            self.assertEqual((), self.table.merge(record(sequence=6), 2.0))
            self.table.remove_expired(1.5, 3.0)
            self.table.merge(record(sequence=7), 3.0)
            self.assertEqual(record(sequence=7), self.table.get("i-1"))

    def test_a_late_report_brings_back_a_leaving_server_that_fell_silent(self):
        self.table.merge(record(sequence=5, life=ServerState.LEAVING), 0.0)
        self.assertEqual(("i-1",), self.table.remove_expired(5.0, 10.0))
        self.assertEqual((), self.table.merge(record(sequence=4), 11.0))
        self.assertIs(ServerState.LEFT, self.life())
        self.table.merge(record(born_ms=2_000), 12.0)
        self.assertIs(ServerState.SERVING, self.life())

    def test_a_server_that_left_is_kept_for_good(self):
        self.table.merge(record(life=ServerState.LEAVING), 0.0)
        self.table.remove_expired(5.0, 10.0)
        self.table.remove_expired(10.0, 11.0 + LEFT_RETENTION_S)
        self.assertEqual(0, len(self.table))

    def test_a_leave_is_not_kept_as_a_later_server_has_the_address(self):
        self.table.merge(record("i-2", born_ms=2_000), 0.0)
        self.table.merge(record("i-1", life=ServerState.LEFT), 1.0)
        self.assertEqual((), self.table.merge(record("i-1"), 2.0))
        self.assertIs(ServerState.LEFT, self.life("i-1"))
        self.assertIs(ServerState.SERVING, self.life("i-2"))

    def test_a_late_report_does_not_bring_back_a_server_that_left(self):
        self.table.merge(record(sequence=5), 0)
        self.table.merge(record(sequence=5, life=ServerState.LEFT), 1)
        self.table.merge(record(sequence=9), 2)
        self.assertIs(ServerState.LEFT, self.life())

    def test_a_new_life_under_the_same_name_is_accepted(self):
        self.table.merge(record(sequence=50, life=ServerState.LEFT), 0)
        changed = self.table.merge(record(born_ms=2_000, sequence=1), 1)
        self.assertEqual(1, len(changed))
        self.assertIs(ServerState.SERVING, self.life())

    def test_a_report_of_an_earlier_life_is_ignored(self):
        self.table.merge(record(born_ms=2_000), 0)
        self.assertEqual((), self.table.merge(record(born_ms=1_000, sequence=99), 1))
        self.assertEqual(2_000, self.table.get("i-1").born_ms)

    def test_an_address_goes_to_the_later_life(self):
        self.table.merge(record("i-1", born_ms=1_000), 0)
        changed = self.table.merge(record("i-2", born_ms=2_000), 1)
        self.assertEqual(["i-1", "i-2"], [updated.name for updated in changed])
        self.assertIs(ServerState.LEFT, self.life("i-1"))
        late = self.table.merge(record("i-1", born_ms=1_000, sequence=7), 2)
        self.assertEqual((), late)
        self.assertIs(ServerState.LEFT, self.life("i-1"))

    def test_an_earlier_life_does_not_take_an_address_back(self):
        self.table.merge(record("i-2", born_ms=2_000), 0)
        self.assertEqual((), self.table.merge(record("i-1", born_ms=1_000), 1))
        self.assertIsNone(self.table.get("i-1"))
        self.assertIs(ServerState.SERVING, self.life("i-2"))

    def test_expired_servers_are_removed_and_left_records_are_kept_longer(self):
        self.table.merge(record("i-1"), 0)
        left = record("i-2", life=ServerState.LEFT, address="10.0.0.2:80")
        self.table.merge(left, 0)
        self.assertEqual(("i-1",), self.table.remove_expired(oldest=5, at=10))
        self.assertIs(ServerState.LEFT, self.life("i-2"))
        removed = self.table.remove_expired(oldest=5, at=LEFT_RETENTION_S + 1)
        self.assertEqual(("i-2",), removed)

    def test_a_duplicate_report_changes_nothing_but_a_new_one_refreshes(self):
        self.table.merge(record(sequence=1), 0)
        self.assertEqual((), self.table.merge(record(sequence=1), 4))
        self.assertEqual(("i-1",), self.table.remove_expired(oldest=3, at=4))
        self.table.merge(record(sequence=1), 5)
        self.assertEqual((), self.table.merge(record(sequence=2), 9))
        self.assertEqual((), self.table.remove_expired(oldest=8, at=9))

    def test_equal_tables_have_equal_digests_whatever_the_order(self):
        other = ServerTable()
        first, second = record("i-1"), record("i-2", address="10.0.0.2:80")
        self.table.merge(first, 0)
        self.table.merge(second, 0)
        other.merge(second, 3)
        other.merge(first, 3)
        self.assertEqual(self.table.digest, other.digest)
        other.merge(record("i-1", sequence=2, life=ServerState.LEAVING), 4)
        self.assertNotEqual(self.table.digest, other.digest)
