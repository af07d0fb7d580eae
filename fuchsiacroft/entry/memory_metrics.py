"""Metrics and log lines of what a process holds for its callers."""

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.entry.memory_budget import Claim, MemoryBudget, Use, budget_bytes
from fuchsiacroft.utils.metrics import Metrics
from fuchsiacroft.utils.rate_limited_log import RateLimitedLog

MAX_LOGS_PER_S = 5
"""Log limit, because a crowd of callers would log with every connection."""


class MemoryMetrics:
    """Records what a budget refuses and drops."""

    def __init__(self, budget: MemoryBudget, metrics: Metrics) -> None:
        self._budget = budget
        self._held = metrics.gauge(
            "fuchsiacroft_memory_held_bytes", "Bytes held for callers, by use"
        )
        self._refused = metrics.counter(
            "fuchsiacroft_memory_refused_total", "Claims without room, by use"
        )
        self._dropped = metrics.counter(
            "fuchsiacroft_memory_dropped_total",
            "Claims without progress that were dropped for others, by use",
        )
        self._refused_log = RateLimitedLog("memory_refused", MAX_LOGS_PER_S)
        self._dropped_log = RateLimitedLog("memory_dropped", MAX_LOGS_PER_S)
        metrics.gauge(
            "fuchsiacroft_memory_budget_bytes", "Bytes that may be held for callers"
        ).set({}, budget.max_bytes)
        budget.on_refused = self._record_refused
        budget.on_dropped = self._record_dropped

    def update(self) -> None:
        """Set the gauges to what is held now."""
        for use in Use:
            self._held.set({"use": use.value}, self._budget.held_by[use])

    def _record_refused(self, use: Use, size: int) -> None:
        self._refused.inc({"use": use.value})
        self._refused_log.event(
            use=use.value,
            size=size,
            held=self._budget.held,
            budget=self._budget.max_bytes,
        )

    def _record_dropped(self, claim: Claim, at: float) -> None:
        self._dropped.inc({"use": claim.use.value})
        self._dropped_log.event(
            use=claim.use.value,
            size=claim.size,
            stalled_s=round(claim.stalled_s(at), 2),
            held=self._budget.held,
            budget=self._budget.max_bytes,
        )


def create(settings: Settings, metrics: Metrics) -> tuple[MemoryBudget, MemoryMetrics]:
    """Return the budget of a process and its metrics."""
    budget = MemoryBudget(budget_bytes(settings.memory_mb))
    return budget, MemoryMetrics(budget, metrics)
