"""Spaces the requests to backend servers that name a limit.

The VM that counts a server's requests lets them go at the rate of the limit: a token
bucket for each server, which starts empty, as it isn't known what others sent before.
The module does no I/O and gets the time as an argument.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from fuchsiacroft.membership.server_limits import UNLIMITED, ServerLimits
from fuchsiacroft.membership.server_notices import ServerInstance

BURST_S = 0.25
"""Requests of this time may go at once, one at least."""
MIN_PER_S = 0.2
"""A server gets this many requests a second however low its limit is, as only an
answer shows that the limit has ended."""
ROUNDING = 1e-9


@dataclass(slots=True)
class TokenBucket:
    """Requests that may go now, as of `updated_at`."""

    updated_at: float
    tokens: float = 0.0

    def refill(self, per_s: float, at: float) -> None:
        """Add the tokens of the time since the last update."""
        most = max(per_s * BURST_S, 1.0)
        gained = max(at - self.updated_at, 0.0) * per_s
        self.tokens = min(self.tokens + gained, most)
        self.updated_at = max(at, self.updated_at)


class RequestPacing:
    """Counts the requests to limited servers that this VM lets go.

    `share_of` returns the part of a server's limit that this VM may use, by the
    server's name.
    """

    def __init__(self, limits: ServerLimits) -> None:
        self.limits = limits
        self.share_of: Callable[[str], float] = lambda backend_server: 1.0
        self._buckets: dict[ServerInstance, TokenBucket] = {}
        self._restarted_at = -math.inf

    def per_s(self, server: ServerInstance) -> float:
        """Return how many requests a second this VM may let go to a server."""
        per_s = self.limits.per_s(server)
        if per_s == UNLIMITED:
            return per_s
        return max(per_s, MIN_PER_S) * self.share_of(server.name)

    def is_limited(self, server: ServerInstance) -> bool:
        """Return whether a server has a limit."""
        return not self.limits.is_empty and self.limits.per_s(server) != UNLIMITED

    def allowed(self, server: ServerInstance, at: float) -> float:
        """Return how many requests to a server may go now, infinity without a limit."""
        if not self.is_limited(server):
            self._buckets.pop(server, None)
            return math.inf
        return math.floor(self._filled(server, at).tokens + ROUNDING)

    def free_at(self, server: ServerInstance, at: float) -> float:
        """Return when the next request to a server may go."""
        if not self.is_limited(server):
            return at
        missing = max(1.0 - self._filled(server, at).tokens, 0.0)
        per_s = self.per_s(server)
        return at + missing / per_s if per_s > 0 else math.inf

    def take(self, server: ServerInstance, at: float) -> None:
        """Count a request that goes to a server."""
        if self.is_limited(server):
            self._filled(server, at).tokens -= 1.0

    def refund(self, server: ServerInstance, at: float) -> None:
        """Return the place of a request that was not sent."""
        if self.is_limited(server):
            bucket = self._filled(server, at)
            bucket.tokens += 1.0
            bucket.refill(self.per_s(server), at)

    def restart(self, at: float) -> None:
        """Start with empty buckets, when this VM begins to count the requests."""
        self._buckets.clear()
        self._restarted_at = at

    def restart_server(self, server: ServerInstance, at: float) -> None:
        """Start with an empty bucket for one server."""
        if self.is_limited(server):
            self._buckets[server] = TokenBucket(at)

    def _filled(self, server: ServerInstance, at: float) -> TokenBucket:
        bucket = self._buckets.get(server)
        if bucket is None:
            received_at = self.limits.statement(server).received_at
            bucket = TokenBucket(min(max(received_at, self._restarted_at), at))
            self._buckets[server] = bucket
        bucket.refill(self.per_s(server), at)
        return bucket


def create() -> RequestPacing:
    """Return the pacing of servers of which no limit is known yet."""
    return RequestPacing(ServerLimits())
