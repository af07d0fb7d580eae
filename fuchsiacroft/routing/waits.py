"""How long waiting work is going to wait, from how fast work has started."""

import math
import random

from fuchsiacroft.utils.clock import now

MEMORY_S = 10.0
MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0
SPREAD = (0.75, 1.75)


class StartRate:
    """Starts a second, where older starts fade away."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at = now()
        self._since = self._at

    def note(self) -> None:
        """Count one start."""
        self._fade()
        self._count += 1.0

    def per_s(self) -> float:
        """Return the starts a second lately."""
        self._fade()
        seen = 1.0 - math.exp(-(self._at - self._since) / MEMORY_S)
        return self._count / (MEMORY_S * max(seen, 0.05))

    def _fade(self) -> None:
        at = now()
        self._count *= math.exp(-(at - self._at) / MEMORY_S)
        self._at = at


class Waits:
    """The start rates of one service by rank."""

    def __init__(self) -> None:
        self._rates: dict[int, StartRate] = {}

    def note_start(self, rank: int) -> None:
        """Count a waiter that has got its permit, here or elsewhere."""
        rate = self._rates.get(rank)
        if rate is None:
            rate = self._rates[rank] = StartRate()
        rate.note()

    def wait_s(self, rank: int, ahead: int, share: float) -> float:
        """Return the expected wait behind `ahead` others of the same share."""
        if not ahead:
            return 0.0
        rate = self._rates.get(rank)
        per_s = rate.per_s() * share if rate is not None else 0.0
        return ahead / per_s if per_s > 0 else math.inf


def spread_retry_s(wait_s: float, rng: random.Random) -> float:
    """Return when to try again: after the wait, spread so that not all return."""
    bounded = min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
    return min(MAX_RETRY_S, bounded * rng.uniform(*SPREAD))
