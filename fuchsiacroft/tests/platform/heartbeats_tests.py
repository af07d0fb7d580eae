"""Tests of reading what replicas tell of themselves."""

import msgspec

from fuchsiacroft.membership.registry_wire import ServerState
from fuchsiacroft.platform import heartbeats
from fuchsiacroft.tests.base import TestCase

BEAT = {
    "service": "lens",
    "address": "10.128.0.9:8080",
    "zone": "mvd-cordon",
    "version": "v1",
    "slots": 11,
    "state": "ready",
    "coldRemainingMs": 0,
    "stage": "unified",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "sequence": 4,
    "born": 1_700_000_000_000,
}


def beat(**changes) -> bytes:
    """Return a heartbeat with fields changed; None takes a field out."""
    fields = BEAT | changes
    return msgspec.json.encode({k: v for k, v in fields.items() if v is not None})


class HeartbeatTests(TestCase):
    """A heartbeat that is not whole names no replica to use."""

    def test_a_heartbeat_becomes_a_record(self):
        record = heartbeats.parse("i-1", beat()).ok
        self.assertEqual(("i-1", 1_700_000_000_000), record.incarnation)
        self.assertEqual((4, ServerState.SERVING), (record.sequence, record.life))
        told = record.announcement
        self.assertEqual(("10.128.0.9:8080", 11), (told.address, told.slots))
        self.assertEqual("mvd-cordon", told.failure_domain)

    def test_a_draining_replica_leaves(self):
        record = heartbeats.parse("i-1", beat(state="draining")).ok
        self.assertIs(ServerState.LEAVING, record.life)

    def test_what_another_writer_may_send_is_refused(self):
        refused = {
            "unreadable": b"\xff\x00{",
            "empty": b"",
            "a list": b"[1]",
            "no service": beat(service=None),
            "no sequence": beat(sequence=None),
            "a service of another type": beat(service=7),
            "an address that is none": beat(address="here"),
            "an unknown state": beat(state="resting"),
            "a state of another type": beat(state=["ready"]),
            "slots of another type": beat(slots="11"),
            "born of another type": beat(born="yesterday"),
            "born in fractions": beat(born=1.5),
        }
        for name, body in refused.items():
            with self.subTest(name):
                self.assertTrue(heartbeats.parse("i-1", body).is_error())

    def test_an_id_that_is_none_is_refused(self):
        self.assertTrue(heartbeats.parse("a b", beat()).is_error())

    def test_a_leave_may_tell_which_life_ends(self):
        self.assertEqual(5, heartbeats.parse_leave(b'{"born": 5}').ok)
        self.assertIsNone(heartbeats.parse_leave(b"").ok)
        self.assertTrue(heartbeats.parse_leave(b"{").is_error())
