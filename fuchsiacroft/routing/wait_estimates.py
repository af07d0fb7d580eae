"""Estimates the wait of queued requests from the recent rate of starts."""

import math
import random

from fuchsiacroft.utils.clock import now

AVERAGING_TIME_S = 10.0
MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0
RETRY_JITTER = (0.75, 1.75)


class StartRate:
    """An exponentially weighted rate of starts."""

    def __init__(self) -> None:
        self._count = 0.0
        self._updated_at = now()
        self._started_at = self._updated_at

    def record_start(self) -> None:
        """Record one start."""
        self._decay()
        self._count += 1.0

    def per_s(self) -> float:
        """Return the recent starts per second."""
        self._decay()
        observed_share = 1.0 - math.exp(
            -(self._updated_at - self._started_at) / AVERAGING_TIME_S
        )
        return self._count / (AVERAGING_TIME_S * max(observed_share, 0.05))

    def _decay(self) -> None:
        at = now()
        self._count *= math.exp(-(at - self._updated_at) / AVERAGING_TIME_S)
        self._updated_at = at


class WaitEstimates:
    """The start rates of one service by rank."""

    def __init__(self) -> None:
        self._rates: dict[int, StartRate] = {}

    def record_start(self, rank: int) -> None:
        """Record a waiter that was granted a permit, here or elsewhere."""
        rate = self._rates.get(rank)
        if rate is None:
            rate = self._rates[rank] = StartRate()
        rate.record_start()

    def wait_s(self, rank: int, ahead: int, share: float) -> float:
        """Return the expected wait in seconds behind `ahead` waiters.

        `share` is their part of the starts. The wait is infinite if none started.
        """
        if not ahead:
            return 0.0
        rate = self._rates.get(rank)
        per_s = rate.per_s() * share if rate is not None else 0.0
        return ahead / per_s if per_s > 0 else math.inf


def jittered_retry_s(wait_s: float, rng: random.Random) -> float:
    """Return a retry delay: the wait, with jitter to spread the retries."""
    bounded = min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
    return min(MAX_RETRY_S, bounded * rng.uniform(*RETRY_JITTER))
