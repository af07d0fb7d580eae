"""Choice of the backend server for a request: the interface and baselines."""

import itertools
import random
from abc import ABC, abstractmethod

from fuchsiacroft.routing.owned_server import OwnedServer
from fuchsiacroft.routing.permits import PermitRequest


class RoutingPolicy(ABC):
    """Chooses among the backend servers with available capacity."""

    @abstractmethod
    def choose(
        self, request: PermitRequest, candidates: list[OwnedServer]
    ) -> OwnedServer:
        """Return one of the candidates, of which there is at least one."""


class RoundRobin(RoutingPolicy):
    """Chooses the backend servers in turn."""

    def __init__(self) -> None:
        self._last_turns: dict[str, int] = {}
        self._numbers = itertools.count(1)

    def choose(
        self, request: PermitRequest, candidates: list[OwnedServer]
    ) -> OwnedServer:
        """Return the candidate that was chosen least recently."""
        chosen = min(candidates, key=lambda owned: self._last_turns.get(owned.name, 0))
        self._last_turns[chosen.name] = next(self._numbers)
        return chosen


class LeastConnections(RoutingPolicy):
    """Chooses the server with the fewest runs, as counted by this entry."""

    def choose(
        self, request: PermitRequest, candidates: list[OwnedServer]
    ) -> OwnedServer:
        """Return the candidate with the fewest runs."""
        return min(candidates, key=lambda owned: len(owned.running))


class PowerOfTwo(RoutingPolicy):
    """Chooses the less loaded of two random ones, by their load reports."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def choose(
        self, request: PermitRequest, candidates: list[OwnedServer]
    ) -> OwnedServer:
        """Return the one of two sampled candidates that reports the lower load."""
        sampled = self._random.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=_reported_load)


def _reported_load(owned: OwnedServer) -> int:
    load = owned.server.announcement.load
    return 0 if load is None else load.running + load.waiting
