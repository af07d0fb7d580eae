"""Keeps reports on spent quotas on a control member.

They are in memory only: what counts is that entries and control members rarely stop at
the same moment.
"""

from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.placing.spending_messages import (
    DomainSpending,
    SpendingKnown,
    SpendingQuery,
)
from fuchsiacroft.placing.spending_reports import SpendingReports
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now


class SpendingStore(Service):
    """The last report of each failure domain's coordinator."""

    name = "spending_store"

    def __init__(self) -> None:
        self._reports = SpendingReports()

    async def start(self, kernel: Kernel) -> None:
        """Register the handlers of reports and queries."""
        self._started_at = now()
        bus = kernel.get("bus", Bus)
        bus.register_handler(DomainSpending, self._on_spending)
        bus.register_handler(SpendingQuery, self._on_query)

    def _on_spending(self, sender: str, msg: DomainSpending) -> None:
        self._reports.record(msg.failure_domain, msg.report, now())

    def _on_query(self, sender: str, msg: SpendingQuery) -> SpendingKnown:
        at = now()
        report = self._reports.get(msg.failure_domain, at)
        return SpendingKnown(report, at - self._started_at)


def create() -> SpendingStore:
    """Return the store of a control member."""
    return SpendingStore()
