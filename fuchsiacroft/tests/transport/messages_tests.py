"""Properties of the messages between processes and of what servers say in headers."""

import importlib
import math
import pkgutil
from datetime import UTC, datetime

import msgspec
from hypothesis import given
from hypothesis import strategies as st

import fuchsiacroft
from fuchsiacroft.membership import limit_recorder
from fuchsiacroft.tests.base import TestCase
from fuchsiacroft.tests.fakes.properties import EDGES, FOREIGN_BYTES, TEXTS, VALUES
from fuchsiacroft.transport import codec
from fuchsiacroft.utils import retry_after

PACKAGES = ("config", "control", "membership", "placing", "quarantine", "routing")
PACKAGES += ("streams", "transport")
HEADER_TEXTS = st.one_of(
    TEXTS,
    st.sampled_from([str(edge) for edge in EDGES]),
    st.floats().map(str),
    st.sampled_from(
        ("9" * 5_000, "1_0", "Sun, 31 Dec 9999 23:59:59 -2359", "1 Jan 0001")
    ),
)


def kinds() -> list[str]:
    """Return the kinds of all messages of the product."""
    for package in PACKAGES:
        path = f"{fuchsiacroft.__path__[0]}/{package}"
        for module in pkgutil.walk_packages([path], f"fuchsiacroft.{package}."):
            importlib.import_module(module.name)
    return sorted(kind for kind in codec.kinds() if not kind.startswith("test."))


def packable(value: object) -> bool:
    """Return whether MessagePack can hold a value."""
    try:
        msgspec.msgpack.encode(value)
    except OverflowError:
        return False
    return True


KINDS = kinds()


class MessageTests(TestCase):
    """A message of a peer is refused, or can be sent on."""

    kinds = KINDS

    def check(self, data: bytes) -> None:
        decoded = codec.decode(data)
        if isinstance(decoded, codec.CodecError):
            return
        envelope, message = decoded
        again = codec.encode(message, envelope.number, envelope.reply, envelope.sender)
        self.assertIsInstance(again, bytes)

    @given(FOREIGN_BYTES)
    def test_foreign_bytes_raise_in_the_codec(self, data):
        self.check(data)
        for kind in self.kinds[:5]:
            codec.unpack(kind, data)

    @given(st.sampled_from(KINDS), VALUES.filter(packable), st.sampled_from(EDGES[:8]))
    def test_a_body_of_other_values_raises_in_the_codec(self, kind, body, number):
        envelope = [codec.PROTOCOL_VERSION, kind, number, False, "n", body]
        self.check(msgspec.msgpack.encode(envelope))


class HeaderTests(TestCase):
    """A number of a server is a sensible one, or refused with a reason."""

    @given(HEADER_TEXTS)
    def test_a_pause_without_sense_is_obeyed(self, text):
        parsed = retry_after.parse(text, datetime(2026, 1, 1, tzinfo=UTC))
        if parsed.is_ok():
            self.assertTrue(0 <= parsed.ok <= retry_after.MAX_RETRY_AFTER_S)

    @given(HEADER_TEXTS)
    def test_a_limit_without_sense_is_obeyed(self, text):
        parsed = limit_recorder.parse_limit(text)
        if parsed.is_ok():
            self.assertTrue(math.isfinite(parsed.ok) and 0 <= parsed.ok <= 1e12)
