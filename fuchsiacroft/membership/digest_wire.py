"""Digests of a failure domain's load, as they travel."""

import msgspec

from fuchsiacroft.transport import codec

MAX_SERVICES = 64
MAX_CONTACTS = 4


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of one service: free slots, and requests that wait."""

    service: str
    free: int
    queued: int


@codec.message("digest.part")
class PartDigest(msgspec.Struct, frozen=True, array_like=True):
    """The load that one entry knows as an owner, sent within its domain."""

    domain: str
    node: str
    loads: tuple[ServiceLoad, ...]


@codec.message("digest.domain")
class DomainDigest(msgspec.Struct, frozen=True, array_like=True):
    """The load of a whole domain.

    `age_s` is its age when it was sent; `contacts` are addresses of a few of
    the domain's live entries.
    """

    region: str
    domain: str
    age_s: float
    contacts: tuple[str, ...]
    loads: tuple[ServiceLoad, ...]
