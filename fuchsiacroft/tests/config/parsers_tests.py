"""Properties of the parsers of documents, settings and announcements."""

import math

import msgspec
from hypothesis import given

from fuchsiacroft.config import document
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.config.validation import decode_json, decode_wire
from fuchsiacroft.membership.announcement import Announcement, RelayedAnnouncement
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.fakes.cluster import sample_document
from fuchsiacroft.tests.fakes.properties import FOREIGN_BYTES, changed, numbers_of
from fuchsiacroft.transport import codec

SETTINGS = {
    "node": "entry-1",
    "failure_domain": "d-1",
    "region": "mvd",
    "addresses": {"operators": "10.0.0.1:9464", "peers": "10.0.0.1:7600"},
    "control": [
        {"node": "control-1", "failure_domain": "d-1", "peers": "10.0.0.2:7600"}
    ],
    "policies": {"queue_limit": 100},
    "wanted_voters": 3,
    "weight_loads_per_min": 6.0,
    "drain_timeout_s": 10.0,
}
ANNOUNCEMENT = {
    "name": "s-1",
    "boot_id": "b",
    "failure_domain": "d-1",
    "address": "10.0.0.1:8000",
    "offers": [{"service": "lens", "version": "v1"}],
    "slots": 4,
    "load": {"running": 1, "waiting": 2, "age_s": 0.1},
    "cache_events": [{"number": 1, "prefix": 2, "cached": True}],
}


class ParserTests(TestCase):
    """A parser returns a value that others can carry on, or a reason."""

    def check(self, parsed) -> None:
        if parsed.is_error():
            self.assertTrue(parsed.error)
            return
        self.assertTrue(codec.is_encodable(parsed.ok))
        for number in numbers_of(msgspec.to_builtins(parsed.ok)):
            self.assertTrue(math.isfinite(number))
            self.assertLess(abs(number), 2**64)

    @given(changed(sample_document()))
    def test_a_changed_document_becomes_one_that_cannot_be_sent(self, value):
        self.check(document.parse(value))

    @given(changed(SETTINGS))
    def test_changed_settings_become_settings_without_sense(self, value):
        self.check(decode_json(msgspec.json.encode(value), Settings))

    @given(changed(ANNOUNCEMENT))
    def test_a_changed_announcement_becomes_one_that_cannot_be_sent(self, value):
        parsed = decode_wire(msgspec.json.encode(value), Announcement)
        self.check(parsed)
        if parsed.is_ok():
            message = RelayedAnnouncement(parsed.ok)
            data = codec.encode(message, 1, False, "n")
            self.assertEqual(message, codec.decode(data)[1])

    @given(FOREIGN_BYTES)
    def test_foreign_bytes_raise_in_a_parser(self, data):
        for cls in (document.Document, Settings):
            self.check(decode_json(data, cls))
        self.check(decode_wire(data, Announcement))

    def test_a_prefix_over_64_bits_is_in_an_announcement(self):
        for prefix in (2**64, -1):
            value = ANNOUNCEMENT | {
                "cache_events": [{"number": 1, "prefix": prefix, "cached": True}]
            }
            refusal = decode_wire(msgspec.json.encode(value), Announcement).error
            self.assertIn(str(prefix), refusal.message)
