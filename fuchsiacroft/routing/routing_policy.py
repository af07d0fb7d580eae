"""Which backend server a request runs on: the interface and three baselines."""

import itertools
import random
from abc import ABC, abstractmethod

from fuchsiacroft.routing.owned_server import OwnedServer
from fuchsiacroft.routing.permits import PermitRequest


class RoutingPolicy(ABC):
    """Chooses among the backend servers that have room."""

    @abstractmethod
    def choose(
        self, request: PermitRequest, candidates: list[OwnedServer]
    ) -> OwnedServer:
        """Return one of the given backend servers, of which there is one."""


class RoundRobin(RoutingPolicy):
    """Each in its turn."""

    def __init__(self) -> None:
        self._last_turns: dict[str, int] = {}
        self._numbers = itertools.count(1)

    def choose(
        self, request: PermitRequest, candidates: list[OwnedServer]
    ) -> OwnedServer:
        """Return the one whose last turn is longest ago."""
        chosen = min(candidates, key=lambda owned: self._last_turns.get(owned.name, 0))
        self._last_turns[chosen.name] = next(self._numbers)
        return chosen


class LeastConnections(RoutingPolicy):
    """The fewest runs, by own count."""

    def choose(
        self, request: PermitRequest, candidates: list[OwnedServer]
    ) -> OwnedServer:
        """Return the one with the fewest runs."""
        return min(candidates, key=lambda owned: len(owned.running))


class PowerOfTwo(RoutingPolicy):
    """The less loaded of two taken at random, by their own load reports."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def choose(
        self, request: PermitRequest, candidates: list[OwnedServer]
    ) -> OwnedServer:
        """Return the one of two that reports less work."""
        two = self._random.sample(candidates, min(2, len(candidates)))
        return min(two, key=_reported_load)


def _reported_load(owned: OwnedServer) -> int:
    load = owned.server.announcement.load
    return 0 if load is None else load.running + load.waiting
