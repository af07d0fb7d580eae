"""One typed codec for every message between the system's processes.

A message is a frozen `msgspec.Struct` registered under a kind. On the wire it
travels in an `Envelope`; bodies are MessagePack.
"""

from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.exceptions import InvariantError

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 4 * 1024 * 1024

S = TypeVar("S", bound=type[msgspec.Struct])

_KINDS: dict[str, type[msgspec.Struct]] = {}
_DECODERS: dict[str, msgspec.msgpack.Decoder] = {}
_NAMES: dict[type[msgspec.Struct], str] = {}
_ENCODER = msgspec.msgpack.Encoder()


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What travels: version, kind, correlation number, sender, body.

    `reply` is true in an answer to the request with the same number.
    """

    version: int
    kind: str
    number: int
    reply: bool
    sender: str
    body: msgspec.Raw


_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)


def message(kind: str):
    """Register a message type under its kind; kinds are unique."""

    def register(cls: S) -> S:
        if kind in _KINDS:
            raise InvariantError(f"two messages are of kind {kind}")
        _KINDS[kind] = cls
        _DECODERS[kind] = msgspec.msgpack.Decoder(cls)
        _NAMES[cls] = kind
        return cls

    return register


def encode(msg: msgspec.Struct, number: int, reply: bool, sender: str) -> bytes:
    """Return the bytes of a message in its envelope."""
    kind = _NAMES[type(msg)]
    body = msgspec.Raw(_ENCODER.encode(msg))
    envelope = Envelope(PROTOCOL_VERSION, kind, number, reply, sender, body)
    return _ENCODER.encode(envelope)


def decode(data: bytes) -> Result[tuple[Envelope, msgspec.Struct], str]:
    """Return the envelope and message, or why the bytes are refused."""
    if len(data) > MAX_MESSAGE_BYTES:
        return Error("too_large")
    try:
        envelope = _ENVELOPE_DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return Error("malformed")
    if envelope.version != PROTOCOL_VERSION:
        return Error("unknown_version")
    decoder = _DECODERS.get(envelope.kind)
    if decoder is None:
        return Error("unknown_kind")
    try:
        return Ok((envelope, decoder.decode(envelope.body)))
    except (msgspec.MsgspecError, RecursionError):
        return Error("malformed")


def pack(msg: msgspec.Struct) -> tuple[str, bytes]:
    """Return the kind and bytes of a registered message, without an envelope."""
    kind = _NAMES.get(type(msg))
    if kind is None:
        raise InvariantError(f"{type(msg).__name__} is not a registered message")
    return kind, _ENCODER.encode(msg)


def unpack(kind: str, body: bytes) -> Result[msgspec.Struct, str]:
    """Return the message of that kind, or why the bytes are refused."""
    decoder = _DECODERS.get(kind)
    if decoder is None:
        return Error("unknown_kind")
    try:
        return Ok(decoder.decode(body))
    except (msgspec.MsgspecError, RecursionError):
        return Error("malformed")
