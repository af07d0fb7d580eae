"""Tests of parsing replicas' heartbeats."""

import msgspec

from fuchsiacroft.membership.registry_wire import ServerState
from fuchsiacroft.platform import heartbeats
from fuchsiacroft.tests.base import TestCase

HEARTBEAT = {
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
REQUIRED_FIELDS = (
    *("service", "address", "zone", "version", "slots", "state"),
    *("coldRemainingMs", "sequence"),
)
TYPED_FIELDS = (*REQUIRED_FIELDS, "born")


def heartbeat(**changes) -> bytes:
    """Return a heartbeat with fields changed; None removes a field."""
    fields = HEARTBEAT | changes
    return msgspec.json.encode({k: v for k, v in fields.items() if v is not None})


class HeartbeatTests(TestCase):
    """Valid heartbeats become records; invalid ones are refused."""

    def test_a_heartbeat_becomes_a_record(self):
        record = heartbeats.parse("i-1", heartbeat()).ok
        self.assertEqual(("i-1", 1_700_000_000_000), record.instance_id)
        self.assertEqual((4, ServerState.SERVING), (record.sequence, record.life))
        announcement = record.announcement
        self.assertEqual(
            ("10.128.0.9:8080", 11), (announcement.address, announcement.slots)
        )
        self.assertEqual("mvd-cordon", announcement.failure_domain)

    def test_a_draining_replica_is_leaving(self):
        record = heartbeats.parse("i-1", heartbeat(state="draining")).ok
        self.assertIs(ServerState.LEAVING, record.life)

    def test_invalid_heartbeats_are_refused(self):
        refused = {
            "unreadable": b"\xff\x00{",
            "empty": b"",
            "a list": b"[1]",
            "no service": heartbeat(service=None),
            "no sequence": heartbeat(sequence=None),
            "a service of another type": heartbeat(service=7),
            "an invalid address": heartbeat(address="here"),
            "an unknown state": heartbeat(state="resting"),
            "a state of another type": heartbeat(state=["ready"]),
            "slots of another type": heartbeat(slots="11"),
            "born of another type": heartbeat(born="yesterday"),
            "born in fractions": heartbeat(born=1.5),
        }
        for name, body in refused.items():
            with self.subTest(name):
                self.assertTrue(heartbeats.parse("i-1", body).is_error())

    def test_a_heartbeat_without_a_required_field_names_a_server(self):
        for field in REQUIRED_FIELDS:
            with self.subTest(field):
                refusal = heartbeats.parse("i-1", heartbeat(**{field: None})).error
                self.assertIn(field, refusal)

    def test_a_heartbeat_without_a_start_is_refused_where_none_is_told(self):
        """Whether others tell theirs is for the registry to know."""
        self.assertEqual(0, heartbeats.parse("i-1", heartbeat(born=None)).ok.born_ms)

    def test_a_mistyped_field_names_a_server(self):
        for field in TYPED_FIELDS:
            for value in (True, [], {}, 1.5 if field != "coldRemainingMs" else "1.5"):
                with self.subTest(field, value=value):
                    refusal = heartbeats.parse("i-1", heartbeat(**{field: value})).error
                    self.assertIn(field, refusal)

    def test_a_number_out_of_bounds_is_in_a_record(self):
        limits = {"sequence": 2**63 - 1, "born": 253_402_300_799_999, "slots": 10**6}
        for field, limit in limits.items():
            for number in (limit + 1, 2**64, 10**30, -1):
                with self.subTest(field, number=number):
                    refusal = heartbeats.parse("i-1", heartbeat(**{field: number}))
                    bound = limit if number > 0 else int(field == "slots")
                    for text in (f"$.{field}", str(number), str(bound)):
                        self.assertIn(text, refusal.error)
            self.assertTrue(
                heartbeats.parse("i-1", heartbeat(**{field: limit})).is_ok()
            )

    def test_a_number_of_thousands_of_digits_is_in_a_record(self):
        body = heartbeat(sequence=4).replace(b":4,", b":" + b"4" * 5_000 + b",")
        self.assertIn("$.sequence", heartbeats.parse("i-1", body).error)

    def test_a_line_end_in_a_name_or_address_is_in_a_record(self):
        for field in ("service", "zone", "address"):
            value = HEARTBEAT[field] + "\n"
            with self.subTest(field):
                refusal = heartbeats.parse("i-1", heartbeat(**{field: value})).error
                self.assertIn(f"$.{field}", refusal)
        self.assertTrue(heartbeats.parse("i-1\n", heartbeat()).is_error())

    def test_an_address_to_which_no_connection_can_be_opened_is_in_a_record(self):
        for address in (
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.256:80",
            "10.0.0.1:99999",
        ):
            with self.subTest(address):
                parsed = heartbeats.parse("i-1", heartbeat(address=address))
                self.assertTrue(parsed.is_error())

    def test_a_leave_with_a_start_time_out_of_bounds_is_believed(self):
        for born in (2**64, -1, 10**30):
            refusal = heartbeats.parse_leave(f'{{"born": {born}}}'.encode()).error
            self.assertIn(str(born), refusal)

    def test_an_empty_field_stands_for_a_missing_one(self):
        for changes in ({"service": ""}, {"zone": ""}, {"version": ""}, {"slots": 0}):
            with self.subTest(changes):
                self.assertTrue(
                    heartbeats.parse("i-1", heartbeat(**changes)).is_error()
                )

    def test_an_invalid_id_is_refused(self):
        self.assertTrue(heartbeats.parse("a b", heartbeat()).is_error())

    def test_a_leave_may_name_the_incarnation(self):
        self.assertEqual(5, heartbeats.parse_leave(b'{"born": 5}').ok)
        self.assertIsNone(heartbeats.parse_leave(b"").ok)
        self.assertTrue(heartbeats.parse_leave(b"{").is_error())
