"""The limits that all entries together keep."""

from dataclasses import dataclass

from fuchsiacroft.placing.quotas import Tolerance
from fuchsiacroft.placing.retry_budget import RetryLimits


@dataclass(frozen=True, slots=True)
class SharedLimits:
    """How many requests may be repeated, and how exactly quotas are kept."""

    retries: RetryLimits = RetryLimits()
    quotas: Tolerance = Tolerance()
