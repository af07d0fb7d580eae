"""When the caller of a refused request should come back.

It answers an overload that lasts for seconds. A caller that returns before a slot is
free for a request of its rank is refused once more, and callers that were refused
together and return together are a new burst. So the time is the expected wait for a
slot, spread at random.
"""

import random

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0
SPREAD = 0.25
"""Largest deviation from the expected wait, as a share of it."""


def retry_after_s(expected_wait_s: float, rng: random.Random) -> float:
    """Return the Retry-After of a refusal, given the expected wait for a slot."""
    wait_s = expected_wait_s * rng.uniform(1 - SPREAD, 1 + SPREAD)
    return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
