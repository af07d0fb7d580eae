"""The weight store's rate: a token bucket of model loads."""

from fuchsiacroft.utils.clock import now

MAX_BURST_LOADS = 2.0


class LoadRateLimiter:
    """Allows a number of loads a minute; it starts empty.

    A new leader cannot know how much of the rate the old one has just used.
    """

    def __init__(self, loads_per_min: float) -> None:
        self._per_s = loads_per_min / 60.0
        self._tokens = 0.0
        self._filled_at = now()

    def available(self) -> int:
        """Return how many loads may begin now."""
        at = now()
        grown = (at - self._filled_at) * self._per_s
        self._tokens = min(MAX_BURST_LOADS, self._tokens + grown)
        self._filled_at = at
        return int(self._tokens)

    def consume(self) -> None:
        """Count a load that begins."""
        self._tokens -= 1.0
