"""When the caller of a refused request should come back.

It answers an overload that lasts for seconds. A caller that returns before a slot is
free for a request of its rank is refused once more, and callers that were refused
together and return together are a new burst. So the time is the expected wait for a
slot, spread at random.
"""

import random
from collections.abc import Hashable

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0
SPREAD = 0.25
"""Largest deviation from the expected wait, as a share of it."""

MAX_FLOWS = 1_000
"""Flows whose refusals are remembered before those that have passed are dropped."""


def retry_after_s(expected_wait_s: float, rng: random.Random) -> float:
    """Return the Retry-After of a refusal, given the expected wait for a slot."""
    wait_s = expected_wait_s * rng.uniform(1 - SPREAD, 1 + SPREAD)
    return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


class RefusedCallers:
    """Spreads the retries of callers that were refused together.

    Handles a burst whose excess is refused within milliseconds. Each caller of a flow
    gets the time of a run that is expected to start after those of the callers that
    were refused before it.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._next_at: dict[Hashable, float] = {}

    def retry_after_s(
        self, flow: Hashable, expected_wait_s: float, interval_s: float, at: float
    ) -> float:
        """Return the Retry-After of a refusal.

        `expected_wait_s` is the expected wait for a slot now, and `interval_s` the
        expected time between starts.
        """
        if len(self._next_at) > MAX_FLOWS:
            self._next_at = {f: t for f, t in self._next_at.items() if t > at}
        wait_s = max(expected_wait_s, self._next_at.get(flow, at) - at)
        if wait_s > MAX_RETRY_AFTER_S:
            # Room is expected later than a caller may be told.
            return self._random.uniform(MAX_RETRY_AFTER_S / 2, MAX_RETRY_AFTER_S)
        self._next_at[flow] = at + wait_s + interval_s
        return retry_after_s(wait_s, self._random)
