"""What a backend server says of itself, about once a second."""

import msgspec

from fuchsiacroft.config.settings import Address, Name
from fuchsiacroft.transport import codec


class Offer(msgspec.Struct, frozen=True):
    """A service that a backend server offers, with its adapters and version."""

    service: Name
    version: str = ""
    adapters: tuple[str, ...] = ()


class ReportedLoad(msgspec.Struct, frozen=True):
    """A backend server's own view of its load, `age_s` seconds old."""

    running: int = 0
    waiting: int = 0
    age_s: float = 0.0


class CacheEvent(msgspec.Struct, frozen=True):
    """A prompt prefix that entered or left a model engine's cache.

    `number` counts the events of one boot; a gap means that some were lost.
    """

    number: int
    prefix: int
    cached: bool


class Announcement(msgspec.Struct, frozen=True):
    """The body of `POST /announce`.

    A new `boot_id` is a new backend server, even under the same name.
    """

    name: Name
    boot_id: str
    failure_domain: Name
    address: Address
    offers: tuple[Offer, ...]
    slots: int
    role: str = "serve"
    generation: str = ""
    load: ReportedLoad | None = None
    leaving: bool = False
    checks_fencing: bool = False
    cache_events: tuple[CacheEvent, ...] = ()


@codec.message("membership.renewed")
class RelayedRenewal(msgspec.Struct, frozen=True, array_like=True):
    """An announcement that differs from the last one in these fields only."""

    name: str
    boot_id: str
    load: ReportedLoad | None
    cache_events: tuple[CacheEvent, ...]


@codec.message("membership.announced")
class RelayedAnnouncement(msgspec.Struct, frozen=True):
    """An announcement passed on between entries."""

    announcement: Announcement
