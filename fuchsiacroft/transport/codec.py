"""The codec of all messages between the processes of the system.

A message is a frozen `msgspec.Struct` that is registered under a kind. On the
wire it is wrapped in an `Envelope`; both are encoded as MessagePack.
"""

import enum
from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.config.bounds import Whole
from fuchsiacroft.exceptions import InvariantError

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MESSAGE_OVERHEAD_BYTES = 64 * 1024
"""Left for envelopes, and for what travels with an entry of the replicated log."""
MAX_ENTRY_BYTES = MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES
"""Largest change that the replicated log takes, as it has to be sent to others."""

S = TypeVar("S", bound=type[msgspec.Struct])

_TYPES_BY_KIND: dict[str, type[msgspec.Struct]] = {}
_DECODERS_BY_KIND: dict[str, msgspec.msgpack.Decoder] = {}
_KINDS_BY_TYPE: dict[type[msgspec.Struct], str] = {}
_ENCODER = msgspec.msgpack.Encoder()


class CodecError(enum.Enum):
    """Why a message can't be sent, or why received bytes are no message.

    `NOT_ENCODABLE` is a number over 64 bits or text that isn't Unicode.
    """

    NOT_ENCODABLE = "not_encodable"
    TOO_LARGE = "too_large"
    MALFORMED = "malformed"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_KIND = "unknown_kind"


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """The wire format: version, kind, correlation number, reply, sender, body.

    `reply` is true in a reply to the request with the same number.
    """

    version: Whole
    kind: str
    number: Whole
    reply: bool
    sender: str
    body: msgspec.Raw


Decoded = tuple[Envelope, msgspec.Struct]
"""A received message with its envelope."""

_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)


def message(kind: str):
    """Return a class decorator that registers a message type under a unique kind."""

    def register(cls: S) -> S:
        if kind in _TYPES_BY_KIND:
            raise InvariantError(f"two messages are of kind {kind}")
        _TYPES_BY_KIND[kind] = cls
        _DECODERS_BY_KIND[kind] = msgspec.msgpack.Decoder(cls)
        _KINDS_BY_TYPE[cls] = kind
        return cls

    return register


def kind_of(msg: msgspec.Struct) -> str:
    """Return the kind of a registered message."""
    return _KINDS_BY_TYPE[type(msg)]


def kinds() -> tuple[str, ...]:
    """Return the kinds of the registered messages."""
    return tuple(_TYPES_BY_KIND)


def encode(
    msg: msgspec.Struct, number: int, reply: bool, sender: str
) -> bytes | CodecError:
    """Encode a message in its envelope, or return why no peer could read it.

    A `Result` would cost more than the encoding, and processes are busy with messages.
    """
    kind = _KINDS_BY_TYPE[type(msg)]
    try:
        body = msgspec.Raw(_ENCODER.encode(msg))
    except (OverflowError, UnicodeEncodeError, RecursionError):
        return CodecError.NOT_ENCODABLE
    envelope = Envelope(PROTOCOL_VERSION, kind, number, reply, sender, body)
    data = _ENCODER.encode(envelope)
    return data if len(data) <= MAX_MESSAGE_BYTES else CodecError.TOO_LARGE


def is_encodable(value: msgspec.Struct) -> bool:
    """Return whether a message can carry a value."""
    try:
        return len(_ENCODER.encode(value)) <= MAX_MESSAGE_BYTES
    except (OverflowError, UnicodeEncodeError, RecursionError):
        return False


def decode(data: bytes) -> Decoded | CodecError:
    """Decode an envelope and its message, or return why the bytes are invalid."""
    if len(data) > MAX_MESSAGE_BYTES:
        return CodecError.TOO_LARGE
    try:
        envelope = _ENVELOPE_DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return CodecError.MALFORMED
    if envelope.version != PROTOCOL_VERSION:
        return CodecError.UNKNOWN_VERSION
    decoder = _DECODERS_BY_KIND.get(envelope.kind)
    if decoder is None:
        return CodecError.UNKNOWN_KIND
    try:
        return envelope, decoder.decode(envelope.body)
    except (msgspec.MsgspecError, RecursionError):
        return CodecError.MALFORMED


def pack(msg: msgspec.Struct) -> tuple[str, bytes]:
    """Encode a registered message without an envelope; return its kind and bytes."""
    kind = _KINDS_BY_TYPE.get(type(msg))
    if kind is None:
        raise InvariantError(f"{type(msg).__name__} is not a registered message")
    return kind, _ENCODER.encode(msg)


def unpack(kind: str, body: bytes) -> Result[msgspec.Struct, str]:
    """Decode a message of a kind, or return why the bytes are invalid."""
    decoder = _DECODERS_BY_KIND.get(kind)
    if decoder is None:
        return Error("unknown_kind")
    try:
        return Ok(decoder.decode(body))
    except (msgspec.MsgspecError, RecursionError):
        return Error("malformed")
