"""Permits to run a request on a backend server, and who holds them."""

from abc import ABC, abstractmethod

import msgspec

from fuchsiacroft.transport import codec


class HeldPermit(msgspec.Struct, frozen=True, array_like=True):
    """A permit that was handed out and not given back.

    `holder` and `boot_id` name the entry that runs the request.
    """

    permit_id: str
    backend_server: str
    holder: str
    boot_id: str
    age_s: float = 0.0


@codec.message("ownership.held_permits_request")
class HeldPermitsRequest(msgspec.Struct, frozen=True, array_like=True):
    """A new owner, whose view hashes to `view`, asks for held permits."""

    domain: str
    owner: str
    view: int
    backend_servers: tuple[str, ...]


@codec.message("ownership.held_permits_answer")
class HeldPermitsAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answers a `HeldPermitsRequest`.

    If the views are equal, the answerer hands out no permits for the backend
    servers any more; if they differ, the answer counts for nothing. `wait_s`
    is how long an entry that the answerer lost may hold its lease.
    """

    view: int
    permits: tuple[HeldPermit, ...]
    wait_s: float


class PermitHolder(ABC):
    """The part of an entry that hands out permits and holds them."""

    @abstractmethod
    def held_permits(self, backend_server: str) -> tuple[HeldPermit, ...]:
        """Return the permits held here, and those handed out from here."""

    @abstractmethod
    def replace_held_permits(
        self, backend_server: str, permits: tuple[HeldPermit, ...]
    ) -> None:
        """Count permits that others hold, before any new one is handed out.

        The permits replace what was counted before for the backend server.
        """


class NoPermits(PermitHolder):
    """An entry that never holds a permit."""

    def held_permits(self, backend_server: str) -> tuple[HeldPermit, ...]:
        """Return nothing."""
        return ()

    def replace_held_permits(
        self, backend_server: str, permits: tuple[HeldPermit, ...]
    ) -> None:
        """Do nothing."""
