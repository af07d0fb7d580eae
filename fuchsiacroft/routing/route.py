"""Which backend server a request runs on: the interface and three baselines."""

import itertools
import random
from abc import ABC, abstractmethod

from fuchsiacroft.routing.owned import OwnedServer
from fuchsiacroft.routing.permits import PermitRequest


class Route(ABC):
    """Chooses among the backend servers that have room."""

    @abstractmethod
    def choose(self, ask: PermitRequest, roomy: list[OwnedServer]) -> OwnedServer:
        """Return one of the given backend servers, of which there is one."""


class RoundRobin(Route):
    """Each in its turn."""

    def __init__(self) -> None:
        self._turns: dict[str, int] = {}
        self._numbers = itertools.count(1)

    def choose(self, ask: PermitRequest, roomy: list[OwnedServer]) -> OwnedServer:
        """Return the one whose last turn is longest ago."""
        chosen = min(roomy, key=lambda owned: self._turns.get(owned.name, 0))
        self._turns[chosen.name] = next(self._numbers)
        return chosen


class LeastConnections(Route):
    """The fewest runs, by own count."""

    def choose(self, ask: PermitRequest, roomy: list[OwnedServer]) -> OwnedServer:
        """Return the one with the fewest runs."""
        return min(roomy, key=lambda owned: len(owned.running))


class PowerOfTwo(Route):
    """The less loaded of two taken at random, by their own load reports."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def choose(self, ask: PermitRequest, roomy: list[OwnedServer]) -> OwnedServer:
        """Return the one of two that reports less work."""
        two = self._random.sample(roomy, min(2, len(roomy)))
        return min(two, key=_reported)


def _reported(owned: OwnedServer) -> int:
    load = owned.server.announcement.load
    return 0 if load is None else load.running + load.waiting
