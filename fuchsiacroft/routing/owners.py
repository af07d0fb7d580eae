"""Ownership of backend servers: the entry that grants their permits."""

from abc import ABC, abstractmethod

import xxhash

from fuchsiacroft.config.settings import Member, Settings


class Owners(ABC):
    """Maps each backend server of the failure domain to one live entry."""

    @abstractmethod
    def owner_of(self, backend_server: str) -> Member | None:
        """Return the owner, or None while no live entry is known."""

    @abstractmethod
    def is_ready(self, backend_server: str) -> bool:
        """Return whether this entry may grant permits for a server it owns.

        It is False during a takeover, until the holders of permits have reported
        them or their leases have expired.
        """

    def share(self, backend_server: str) -> float:
        """Return the share, up to 1, of its limit that this entry may grant.

        It is less than 1 while the failure domain may be partitioned.
        """
        return 1.0


class RendezvousOwners(Owners):
    """Rendezvous hashing over a given list of entries."""

    def __init__(self, members: list[Member]) -> None:
        self._members = members
        self._cached: dict[str, Member] = {}

    def replace(self, members: list[Member]) -> None:
        """Replace the list of live entries."""
        self._members = members
        self._cached.clear()

    def owner_of(self, backend_server: str) -> Member | None:
        """Return the entry with the highest weight for the backend server."""
        owner = self._cached.get(backend_server)
        if owner is None and self._members:
            owner = max(
                self._members,
                key=lambda member: _weight(member.node, backend_server),
            )
            self._cached[backend_server] = owner
        return owner

    def is_ready(self, backend_server: str) -> bool:
        """Return True: with a fixed list there is no takeover."""
        return True


def create(settings: Settings) -> RendezvousOwners:
    """Create the owners from the listed entries of this failure domain."""
    return RendezvousOwners(
        [
            member
            for member in settings.entries
            if member.failure_domain == settings.failure_domain
        ]
    )


def _weight(node: str, backend_server: str) -> int:
    return xxhash.xxh64_intdigest(f"{node} {backend_server}".encode())
