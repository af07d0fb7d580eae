"""Announcements, which a backend server sends about once a second."""

import msgspec

from fuchsiacroft.config.bounds import (
    Count,
    DurationS,
    Hash64,
    Sequence,
    Slots,
    SoftwareVersion,
)
from fuchsiacroft.config.settings import Address, Name
from fuchsiacroft.transport import codec

MAX_DIGEST = 2**64 - 1


class Offer(msgspec.Struct, frozen=True):
    """A service that a backend server offers, with its adapters and version."""

    service: Name
    version: SoftwareVersion = ""
    adapters: tuple[str, ...] = ()


class ReportedLoad(msgspec.Struct, frozen=True):
    """The load that a backend server reports, measured `age_s` seconds ago."""

    running: Count = 0
    waiting: Count = 0
    age_s: DurationS = 0.0


class CacheEvent(msgspec.Struct, frozen=True):
    """A prompt prefix that was added to or evicted from a model engine's cache.

    `number` is a sequence number within one boot; a gap means lost events.
    """

    number: Sequence
    prefix: Hash64
    cached: bool

    def __post_init__(self) -> None:
        """Refuse a prefix of more than 64 bits, which no message can hold."""
        if not 0 <= self.prefix <= MAX_DIGEST:
            raise ValueError(f"`prefix` must be 0 to {MAX_DIGEST}, got {self.prefix}")


class Announcement(msgspec.Struct, frozen=True):
    """The body of `POST /announce`.

    An announcement with a new `boot_id` is from a new backend server, even if
    the name is the same.
    """

    name: Name
    boot_id: str
    failure_domain: Name
    address: Address
    offers: tuple[Offer, ...]
    slots: Slots
    role: str = "serve"
    generation: str = ""
    load: ReportedLoad | None = None
    leaving: bool = False
    checks_fencing: bool = False
    cache_events: tuple[CacheEvent, ...] = ()

    def offers_service(self, service: str, version: str | None = None) -> bool:
        """Return whether it offers a service, at a software version if one is given."""
        return any(
            offer.service == service and version in (None, offer.version)
            for offer in self.offers
        )

    def version_of(self, service: str) -> str:
        """Return the software version at which it offers a service."""
        return next((o.version for o in self.offers if o.service == service), "")

    @property
    def offered(self) -> str:
        """Return the offered services and software versions, for logs."""
        offers = (f"{offer.service}/{offer.version}" for offer in self.offers)
        return ",".join(offers) or "-"


@codec.message("membership.renewed")
class RelayedRenewal(msgspec.Struct, frozen=True, array_like=True):
    """A relayed announcement that differs from the last one in these fields only."""

    name: str
    boot_id: str
    load: ReportedLoad | None
    cache_events: tuple[CacheEvent, ...]


@codec.message("membership.announced")
class RelayedAnnouncement(msgspec.Struct, frozen=True):
    """An announcement relayed from one entry to another."""

    announcement: Announcement
