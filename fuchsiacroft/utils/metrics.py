"""Metrics with aioprometheus; metric names end in the unit of their values."""

from collections.abc import Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry, render

LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5)
LATENCY_BUCKETS_S += (5, 10, 30, 60, 120, float("inf"))


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._registry = Registry()

    def counter(self, name: str, doc: str) -> Counter:
        """Return a new counter."""
        return Counter(name, doc, registry=self._registry)

    def gauge(self, name: str, doc: str) -> Gauge:
        """Return a new gauge."""
        return Gauge(name, doc, registry=self._registry)

    def histogram(
        self, name: str, doc: str, buckets: Sequence[float] = LATENCY_BUCKETS_S
    ) -> Histogram:
        """Return a new histogram; buckets are in the unit of the name."""
        return Histogram(name, doc, registry=self._registry, buckets=buckets)

    def render(self, accepts: Sequence[str]) -> tuple[bytes, dict]:
        """Return the exposition and its HTTP headers."""
        return render(self._registry, accepts)
