"""How a published body travels from control members to the entries."""

import msgspec

from fuchsiacroft.transport import codec


@codec.message("published.fetch")
class FetchPublishedUpdate(msgspec.Struct, frozen=True):
    """Ask for a version above `version`; the answer may wait `wait_s` for it."""

    version: int
    wait_s: float


@codec.message("published.news")
class PublishedUpdate(msgspec.Struct, frozen=True):
    """The version held; its body if it is above the one that was asked about.

    `confirmed` tells whether the sender knew of a quorum less than a few
    seconds ago, so that the version is the newest or was until then.
    """

    version: int
    body: bytes = b""
    confirmed: bool = False
