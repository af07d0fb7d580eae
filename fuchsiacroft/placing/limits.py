"""Limits that apply to all entries together."""

from dataclasses import dataclass

from fuchsiacroft.placing.quotas import QuotaTolerance
from fuchsiacroft.placing.retry_budget import RetryLimits


@dataclass(frozen=True, slots=True)
class SharedLimits:
    """The retry budget, and the tolerance with which quotas are enforced."""

    retries: RetryLimits = RetryLimits()
    quotas: QuotaTolerance = QuotaTolerance()
