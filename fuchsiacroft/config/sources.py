"""The sources that a process fetches the document from: a tree of bounded width.

Two relays of each failure domain fetch from the control VMs; the other entries
of the domain fetch from the relays. A process that cannot reach its source
falls back to the control VMs, and then to other entries.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from fuchsiacroft.config.settings import Settings

RELAY_COUNT = 2
NEIGHBOUR_COUNT = 3


@dataclass(frozen=True, slots=True)
class FetchPeer:
    """Another process: its node name and its peers address."""

    node: str
    address: str


LivePeers = Callable[[], tuple[FetchPeer, ...]]


class Sources:
    """Orders the peers that a process may fetch from by preference."""

    def __init__(
        self, settings: Settings, live_peers: LivePeers, rng: random.Random
    ) -> None:
        self._node = settings.node
        self._domain = settings.failure_domain
        self._control = [member.peers for member in settings.control]
        self._domain_addresses = [
            member.peers
            for member in settings.entries
            if member.failure_domain == settings.failure_domain
            and member.node != settings.node
        ]
        self._other_domain_addresses = [
            member.peers
            for member in settings.entries
            if member.failure_domain != settings.failure_domain
        ]
        self._live_peers = live_peers
        self._rng = rng

    def preferred_addresses(self) -> list[str]:
        """Return the addresses that this process should fetch from."""
        relays = self._relays()
        if any(relay.node == self._node for relay in relays):
            return self._control
        return [relay.address for relay in relays]

    def ordered_addresses(self) -> list[str]:
        """Return every source in the order in which to try them."""
        alive = [peer.address for peer in self._live_peers() if peer.node != self._node]
        neighbours = alive or self._domain_addresses
        groups = (
            self.preferred_addresses(),
            self._control,
            self._sample(neighbours),
            self._sample(self._other_domain_addresses),
        )
        ordered: dict[str, None] = {}
        for group in groups:
            for address in self._rng.sample(group, len(group)):
                ordered.setdefault(address)
        return list(ordered)

    def _relays(self) -> list[FetchPeer]:
        alive = sorted(self._live_peers(), key=self._relay_score, reverse=True)
        return alive[:RELAY_COUNT]

    def _relay_score(self, peer: FetchPeer) -> int:
        return xxhash.xxh64_intdigest(f"{self._domain}/{peer.node}".encode())

    def _sample(self, addresses: list[str]) -> list[str]:
        return self._rng.sample(addresses, min(NEIGHBOUR_COUNT, len(addresses)))


def static_live_peers(settings: Settings) -> LivePeers:
    """Return a function that reports all listed entries of the domain as alive."""
    peers = tuple(
        FetchPeer(member.node, member.peers)
        for member in settings.entries
        if member.failure_domain == settings.failure_domain
    )
    return lambda: peers
