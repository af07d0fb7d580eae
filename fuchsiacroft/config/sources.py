"""From whom a process fetches the document: a tree of bounded width.

Two relays of each failure domain fetch from the control VMs; the other
entries of the domain fetch from the relays. Who cannot reach its source falls
back to the control VMs, and then to neighbours.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from fuchsiacroft.config.settings import Settings

RELAYS = 2
NEIGHBOURS = 3


@dataclass(frozen=True, slots=True)
class Peer:
    """Another process: its node name and its peers address."""

    node: str
    address: str


LivePeers = Callable[[], tuple[Peer, ...]]


class Sources:
    """Orders the peers that a process may fetch from, the best first."""

    def __init__(
        self, settings: Settings, alive: LivePeers, rng: random.Random
    ) -> None:
        self._node = settings.node
        self._domain = settings.failure_domain
        self._control = [member.peers for member in settings.control]
        self._listed = [
            member.peers
            for member in settings.entries
            if member.failure_domain == settings.failure_domain
            and member.node != settings.node
        ]
        self._others = [
            member.peers
            for member in settings.entries
            if member.failure_domain != settings.failure_domain
        ]
        self._alive = alive
        self._rng = rng

    def preferred(self) -> list[str]:
        """Return the addresses that this process should fetch from."""
        relays = self._relays()
        if any(relay.node == self._node for relay in relays):
            return self._control
        return [relay.address for relay in relays]

    def order(self) -> list[str]:
        """Return every source to try, in this order."""
        alive = [peer.address for peer in self._alive() if peer.node != self._node]
        neighbours = alive or self._listed
        groups = (
            self.preferred(),
            self._control,
            self._some(neighbours),
            self._some(self._others),
        )
        ordered: dict[str, None] = {}
        for group in groups:
            for address in self._rng.sample(group, len(group)):
                ordered.setdefault(address)
        return list(ordered)

    def _relays(self) -> list[Peer]:
        alive = sorted(self._alive(), key=self._weight, reverse=True)
        return alive[:RELAYS]

    def _weight(self, peer: Peer) -> int:
        return xxhash.xxh64_intdigest(f"{self._domain}/{peer.node}".encode())

    def _some(self, addresses: list[str]) -> list[str]:
        return self._rng.sample(addresses, min(NEIGHBOURS, len(addresses)))


def static_live_peers(settings: Settings) -> LivePeers:
    """Return a view in which every listed entry of the domain is alive."""
    peers = tuple(
        Peer(member.node, member.peers)
        for member in settings.entries
        if member.failure_domain == settings.failure_domain
    )
    return lambda: peers
