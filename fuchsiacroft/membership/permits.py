"""Permits to run a request on a backend server, and their holders."""

from abc import ABC, abstractmethod
from collections.abc import Container

import msgspec

from fuchsiacroft.config.bounds import Age, Hash64, Seconds
from fuchsiacroft.membership.limit_reports import LimitReport
from fuchsiacroft.transport import codec


class HeldPermit(msgspec.Struct, frozen=True, array_like=True):
    """A permit that was granted and not yet released.

    `holder` and `boot_id` identify the entry that runs the request.
    """

    permit_id: str
    backend_server: str
    holder: str
    boot_id: str
    age_s: Age = 0.0


@codec.message("ownership.held_permits_request")
class HeldPermitsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the held permits; `view` is the view hash of the new owner."""

    domain: str
    owner: str
    view: Hash64
    backend_servers: tuple[str, ...]


@codec.message("ownership.held_permits_answer")
class HeldPermitsReply(msgspec.Struct, frozen=True, array_like=True):
    """Answers a `HeldPermitsRequest`.

    If the view hashes are equal, the sender of the reply grants no more permits
    for the backend servers; if they differ, the reply must be ignored. `wait_s`
    is how long an entry that this sender has lost may still hold its lease.
    `limits` are what the sender knows of the servers' limits.
    """

    view: Hash64
    permits: tuple[HeldPermit, ...]
    wait_s: Seconds
    limits: tuple[LimitReport, ...] = ()


class PermitHolder(ABC):
    """Holds the permits that an entry uses and those that it has granted."""

    @abstractmethod
    def held_permits(self, backend_server: str) -> tuple[HeldPermit, ...]:
        """Return the permits that this entry holds or has granted."""

    @abstractmethod
    def replace_held_permits(
        self, backend_server: str, permits: tuple[HeldPermit, ...]
    ) -> None:
        """Replace the permits counted for a backend server.

        A new owner calls this with the permits that other entries hold, before
        it grants any.
        """

    @abstractmethod
    def known_limits(self, backend_servers: Container[str]) -> tuple[LimitReport, ...]:
        """Return what this entry knows of the limits of some backend servers."""

    @abstractmethod
    def record_limits(self, reports: tuple[LimitReport, ...]) -> None:
        """Record what other entries know, before any permit is granted."""


class NoPermits(PermitHolder):
    """A permit holder without permits."""

    def held_permits(self, backend_server: str) -> tuple[HeldPermit, ...]:
        """Return an empty tuple."""
        return ()

    def replace_held_permits(
        self, backend_server: str, permits: tuple[HeldPermit, ...]
    ) -> None:
        """Do nothing."""

    def known_limits(self, backend_servers: Container[str]) -> tuple[LimitReport, ...]:
        """Return an empty tuple."""
        return ()

    def record_limits(self, reports: tuple[LimitReport, ...]) -> None:
        """Do nothing."""
