"""Retry budgets: how often a workspace may send again what was refused."""

from collections import OrderedDict
from dataclasses import dataclass

from fuchsiacroft.routing.permits import PermitRequest
from fuchsiacroft.utils.clock import now

REMEMBERED_S = 120.0
MAX_REMEMBERED = 20_000
BURST_S = 5.0


@dataclass(slots=True)
class Bucket:
    """The tokens of one workspace; one is spent by each retry."""

    tokens: float
    filled_at: float


class RetryBudgets:
    """Recognizes retries by fingerprint and counts them by workspace."""

    def __init__(self) -> None:
        self._refused: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._buckets: dict[str, Bucket] = {}

    def note_refused(self, ask: PermitRequest) -> None:
        """Remember a refusal, so that a retry is known as one."""
        key = (ask.workspace, ask.fingerprint)
        self._refused[key] = now()
        self._refused.move_to_end(key)
        if len(self._refused) > MAX_REMEMBERED:
            self._refused.popitem(last=False)

    def allows(self, ask: PermitRequest) -> bool:
        """Tell whether an ask is new or within its workspace's budget."""
        refused_at = self._refused.get((ask.workspace, ask.fingerprint))
        if refused_at is None or now() - refused_at > REMEMBERED_S:
            return True
        bucket = self._filled(ask)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _filled(self, ask: PermitRequest) -> Bucket:
        most = max(1.0, ask.retries_per_s * BURST_S)
        bucket = self._buckets.get(ask.workspace)
        if bucket is None:
            bucket = self._buckets[ask.workspace] = Bucket(most, now())
        grown = (now() - bucket.filled_at) * ask.retries_per_s
        bucket.tokens = min(most, bucket.tokens + grown)
        bucket.filled_at = now()
        return bucket
