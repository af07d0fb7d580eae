"""Retry budgets: how often a workspace may retry refused requests."""

from collections import OrderedDict
from dataclasses import dataclass

from fuchsiacroft.routing.permits import PermitRequest
from fuchsiacroft.utils.clock import now

REFUSAL_RETENTION_S = 120.0
MAX_REFUSALS = 20_000
BURST_S = 5.0


@dataclass(slots=True)
class TokenBucket:
    """The token bucket of one workspace; each retry takes one token."""

    tokens: float
    refilled_at: float


class RetryBudgets:
    """Recognizes retries by fingerprint and limits them by workspace."""

    def __init__(self) -> None:
        self._refused: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._buckets: dict[str, TokenBucket] = {}

    def record_refusal(self, request: PermitRequest) -> None:
        """Record a refusal, so that a retry is recognized."""
        key = (request.workspace, request.fingerprint)
        self._refused[key] = now()
        self._refused.move_to_end(key)
        if len(self._refused) > MAX_REFUSALS:
            self._refused.popitem(last=False)

    def allows(self, request: PermitRequest) -> bool:
        """Return whether a request may proceed; a retry takes a token."""
        refused_at = self._refused.get((request.workspace, request.fingerprint))
        if refused_at is None or now() - refused_at > REFUSAL_RETENTION_S:
            return True
        bucket = self._refilled_bucket(request)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _refilled_bucket(self, request: PermitRequest) -> TokenBucket:
        capacity = max(1.0, request.retries_per_s * BURST_S)
        bucket = self._buckets.get(request.workspace)
        if bucket is None:
            bucket = self._buckets[request.workspace] = TokenBucket(capacity, now())
        refill = (now() - bucket.refilled_at) * request.retries_per_s
        bucket.tokens = min(capacity, bucket.tokens + refill)
        bucket.refilled_at = now()
        return bucket
