"""Digests of the services that each entry of a large failure domain owns.

In a small domain every entry receives every announcement. In a large one an
announcement goes to the owner only, and each owner sends the names of its services
to a few random entries, so that no message grows with the number of backend
servers.
"""

import asyncio
import random
from dataclasses import dataclass

import msgspec

from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.backend_servers import MAX_BROADCAST_ENTRIES
from fuchsiacroft.membership.service import Membership
from fuchsiacroft.routing.permit_queue import PermitQueue
from fuchsiacroft.transport import codec
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.tasks import BackgroundTasks

DIGEST_PERIOD_S = 1.0
DIGEST_PEERS = 3
DIGEST_RETENTION_S = 90.0


@codec.message("routing.owned_services")
class OwnedServices(msgspec.Struct, frozen=True):
    """The services of the backend servers that the sender owns."""

    services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReceivedDigest:
    """The services that an owner reported, and the time of receipt."""

    services: frozenset[str]
    received_at: float


class OwnerDigests(Service):
    """Exchanges the names of the services whose backend servers each entry owns."""

    name = "owner_digests"

    def __init__(self, seed: int) -> None:
        self._digests: dict[str, ReceivedDigest] = {}
        self._random = random.Random(seed)
        self._tasks = BackgroundTasks("owner_digests")

    async def start(self, kernel: Kernel) -> None:
        """Start sending and receiving digests."""
        self._membership = kernel.get("membership", Membership)
        self._permit_queue = kernel.get("permit_queue", PermitQueue)
        self._bus = kernel.get("bus", Bus)
        self._bus.register_handler(OwnedServices, self._on_owned_services)
        self._tasks.spawn_repeated(self._send_digests, "owner-digests")

    async def stop(self) -> None:
        """Stop sending digests."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the services that each owner reported."""
        return {node: sorted(digest.services) for node, digest in self._digests.items()}

    def owners_of(self, service: str) -> list[str]:
        """Return the live entries that reported servers of the service."""
        alive = {entry.node for entry in self._membership.alive()}
        oldest = now() - DIGEST_RETENTION_S
        return [
            node
            for node, digest in self._digests.items()
            if node in alive
            and digest.received_at >= oldest
            and service in digest.services
        ]

    async def _send_digests(self) -> None:
        await asyncio.sleep(DIGEST_PERIOD_S * self._random.uniform(0.9, 1.1))
        local_node = self._membership.local_entry.node
        others = [
            entry for entry in self._membership.alive() if entry.node != local_node
        ]
        if len(others) < MAX_BROADCAST_ENTRIES:
            return
        owned = tuple(
            name
            for name, service_queue in self._permit_queue.service_queues().items()
            if service_queue.servers
        )
        for peer in self._random.sample(others, DIGEST_PEERS):
            self._bus.send(peer.peers, OwnedServices(owned))

    def _on_owned_services(self, sender: str, msg: OwnedServices) -> None:
        self._digests[sender] = ReceivedDigest(frozenset(msg.services), now())


def create(seed: int = 0) -> OwnerDigests:
    """Create the owner digests of an entry."""
    return OwnerDigests(seed)
