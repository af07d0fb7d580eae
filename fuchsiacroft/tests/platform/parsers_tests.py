"""Properties of the parsers of what the platform's programs send."""

import math
import tempfile
from pathlib import Path

import msgspec
from hypothesis import given

from fuchsiacroft.control.published import Publish
from fuchsiacroft.membership.registry_wire import ServersChanged
from fuchsiacroft.platform import documents, heartbeats, protocol_adapter, settings
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.fakes import platform_wire
from fuchsiacroft.tests.fakes.properties import (
    FOREIGN_BYTES,
    TEXTS,
    changed,
    numbers_of,
)
from fuchsiacroft.tests.platform.documents_tests import CONFIG
from fuchsiacroft.tests.platform.heartbeats_tests import HEARTBEAT
from fuchsiacroft.transport import codec

SETTINGS = platform_wire.settings(
    "10.0.0.1",
    ["10.0.0.2"],
    zone="mvd-cordon",
    data_dir=None,
    heartbeatMs=1200,
    faultTolerance={"machines": 1},
    bounds={"graceS": 8, "retryWindowS": 10, "quotaWindowS": 8, "budgetSlack": 20},
)
LARGEST = 2**63 - 1


class PromptPartTests(TestCase):
    """What entries keep of a prompt's parts is of bounded size."""

    def test_a_long_id_of_a_part_is_kept_as_it_is(self):
        long = "a" * 16_000
        parts = protocol_adapter._shared_parts(f"short:1,{long}:2,{long}b:3,last:4")
        self.assertEqual("short", parts[0])
        self.assertEqual(3, len(set(parts)))
        self.assertLessEqual(max(map(len, parts)), protocol_adapter.MAX_PART_CHARS)


class ParserTests(TestCase):
    """A parser returns a value that others can carry on, or a reason."""

    def check_heartbeat(self, replica_id: str, body: bytes) -> None:
        parsed = heartbeats.parse(replica_id, body)
        if parsed.is_error():
            self.assertTrue(parsed.error)
            return
        message = ServersChanged("10.0.0.1:1", (parsed.ok,))
        data = codec.encode(message, 1, False, "n")
        self.assertEqual(message, codec.decode(data)[1])

    @given(changed(HEARTBEAT), TEXTS)
    def test_a_changed_heartbeat_becomes_a_record_that_cannot_be_sent(self, beat, name):
        body = msgspec.json.encode(beat)
        self.check_heartbeat("i-1", body)
        self.check_heartbeat(name, body)

    @given(FOREIGN_BYTES)
    def test_foreign_bytes_raise_in_a_parser(self, body):
        self.check_heartbeat("i-1", body)
        heartbeats.parse_leave(body)
        documents.parse(body)

    @given(changed(CONFIG))
    def test_a_changed_configuration_becomes_a_table_without_sense(self, config):
        body = msgspec.json.encode(config)
        parsed = documents.parse(body)
        if parsed.is_error():
            self.assertTrue(all(str(issue) for issue in parsed.error))
            return
        table = parsed.ok
        self.assertTrue(codec.is_encodable(Publish(table.version, body)))
        for route in table.routes:
            self.assert_sensible(
                [route.timeout_s, route.latency_target_s, route.gap_target_s]
            )
            self.assert_sensible([route.rank, route.attempts])
            self.assert_sensible([target.weight for target in route.targets])

    def assert_sensible(self, value: object) -> None:
        for number in numbers_of(value):
            self.assertTrue(math.isfinite(number))
            self.assertLessEqual(abs(number), LARGEST)

    @given(changed(SETTINGS))
    def test_changed_settings_become_settings_without_sense(self, document):
        self.check_settings(msgspec.json.encode(document))

    @given(FOREIGN_BYTES)
    def test_a_foreign_settings_file_raises(self, body):
        self.check_settings(body)

    def check_settings(self, body: bytes) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_bytes(body)
            loaded = settings.load(path)
        if loaded.is_ok():
            self.assert_sensible(msgspec.to_builtins(loaded.ok))
            settings.entry_settings(loaded.ok)
