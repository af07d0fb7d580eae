"""Messages that distribute a published body from control members to entries."""

import zlib

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.config.bounds import Seconds, Whole
from fuchsiacroft.transport import codec

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Largest body that is published, before its compression."""


@codec.message("published.fetch")
class FetchPublishedUpdate(msgspec.Struct, frozen=True):
    """Requests a version above `version`; the reply may wait up to `wait_s`."""

    version: Whole
    wait_s: Seconds


@codec.message("published.news")
class PublishedUpdate(msgspec.Struct, frozen=True):
    """The sender's version, with its body if it is above the requested one.

    `confirmed` is true if the sender was in contact with a quorum within the
    last few seconds, so that the version is the newest or was until then.
    """

    version: Whole
    body: bytes = b""
    confirmed: bool = False


def decompress(body: bytes) -> Result[bytes, str]:
    """Return a published body, or why it can't be read."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(body, MAX_BODY_BYTES)
    except zlib.error as exc:
        return Error(f"is not compressed: {exc}")
    if not decompressor.eof:
        return Error(f"ends early, or exceeds {MAX_BODY_BYTES} bytes")
    return Ok(data)
