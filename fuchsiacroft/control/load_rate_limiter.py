"""A token bucket that limits model loads to the rate of the weight store."""

from fuchsiacroft.utils.clock import now

BURST_LOADS = 2.0


class LoadRateLimiter:
    """Limits the loads per minute; the bucket starts empty.

    A new leader does not know how many loads the previous one has just started.
    """

    def __init__(self, loads_per_min: float) -> None:
        self._per_s = loads_per_min / 60.0
        self._tokens = 0.0
        self._filled_at = now()

    def available(self) -> int:
        """Return how many loads may start now."""
        at = now()
        refill = (at - self._filled_at) * self._per_s
        self._tokens = min(BURST_LOADS, self._tokens + refill)
        self._filled_at = at
        return int(self._tokens)

    def consume(self) -> None:
        """Take the token for one load."""
        self._tokens -= 1.0
