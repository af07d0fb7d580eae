"""Which entry hands out the permits of a backend server."""

from abc import ABC, abstractmethod

import xxhash

from fuchsiacroft.config.settings import Member, Settings


class Owners(ABC):
    """Maps each backend server of the failure domain to one live entry."""

    @abstractmethod
    def owner_of(self, backend_server: str) -> Member | None:
        """Return the owner, or None while no entry is known to be alive."""

    @abstractmethod
    def is_ready(self, backend_server: str) -> bool:
        """Tell whether this entry may hand out permits for what it owns.

        It is False during a takeover, until the holders of permits have been
        heard or their leases have run out.
        """

    def share(self, backend_server: str) -> float:
        """Return the part, up to 1, of its limit that this entry may hand out.

        It is less than 1 while the failure domain may be split in two.
        """
        return 1.0


class RendezvousOwners(Owners):
    """Rendezvous hashing over a given list of entries."""

    def __init__(self, members: list[Member]) -> None:
        self._members = members
        self._cached: dict[str, Member] = {}

    def replace(self, members: list[Member]) -> None:
        """Put another list of live entries in force."""
        self._members = members
        self._cached.clear()

    def owner_of(self, backend_server: str) -> Member | None:
        """Return the entry with the highest hash for the backend server."""
        owner = self._cached.get(backend_server)
        if owner is None and self._members:
            owner = max(
                self._members,
                key=lambda member: _weight(member.node, backend_server),
            )
            self._cached[backend_server] = owner
        return owner

    def is_ready(self, backend_server: str) -> bool:
        """Return True: a fixed list never takes over."""
        return True


def create(settings: Settings) -> RendezvousOwners:
    """Return the owners among the entries of the own failure domain."""
    return RendezvousOwners(
        [
            member
            for member in settings.entries
            if member.failure_domain == settings.failure_domain
        ]
    )


def _weight(node: str, backend_server: str) -> int:
    return xxhash.xxh64_intdigest(f"{node} {backend_server}".encode())
