"""Messages that distribute a published body from control members to entries."""

import msgspec

from fuchsiacroft.transport import codec


@codec.message("published.fetch")
class FetchPublishedUpdate(msgspec.Struct, frozen=True):
    """Requests a version above `version`; the reply may wait up to `wait_s`."""

    version: int
    wait_s: float


@codec.message("published.news")
class PublishedUpdate(msgspec.Struct, frozen=True):
    """The sender's version, with its body if it is above the requested one.

    `confirmed` is true if the sender was in contact with a quorum within the
    last few seconds, so that the version is the newest or was until then.
    """

    version: int
    body: bytes = b""
    confirmed: bool = False
