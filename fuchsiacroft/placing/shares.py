"""Tracks the use of shared quotas by a region's other failure domains.

While every domain reports, each counts what all of them spent. While one is silent,
its spending is unknown; each domain then keeps to its share of the quota in the last
complete reports, so that the shares of partitioned domains never add up to more than
the whole.
"""

import math
from dataclasses import dataclass

from fuchsiacroft.placing.quotas import RemoteUsage

REPORT_TTL_S = 0.3
"""A domain without a report for this long, several periods, counts as silent."""
DOMAIN_TTL_S = 60.0
"""A domain silent for longer is taken to have no entries; its share is released."""
MIN_SHARE = 0.02
"""Share of a quota that a domain keeps although it spent none of it recently."""
MAX_REPORT_DELAY_S = 0.03
"""Maximum age of a report on arrival."""


@dataclass(frozen=True, slots=True)
class DomainReport:
    """The units that another domain spent and its demand, with the time of receipt."""

    spent: dict[str, float]
    demand: dict[str, float]
    at: float


class Shares:
    """Computes this domain's shares of quotas from the other domains' reports."""

    def __init__(self) -> None:
        self._reports: dict[str, DomainReport] = {}
        self._last_shares: dict[str, float] = {}
        self._is_frozen = True
        self._domains = 1

    @property
    def reported_at(self) -> float:
        """Return when another domain has last reported, minus infinity if none has."""
        return max((report.at for report in self._reports.values()), default=-math.inf)

    def set_domains(self, count: int) -> None:
        """Set the number of failure domains of the region."""
        self._domains = max(count, 1)

    def update_domain(
        self, domain: str, spent: dict[str, float], demand: dict[str, float], at: float
    ) -> None:
        """Store the report of another domain."""
        self._reports[domain] = DomainReport(spent, demand, at)

    def remote_usage(self, workspace: str, at: float) -> RemoteUsage:
        """Return what the others spent, or this domain's share while one is silent."""
        even_share = 1.0 / self._domains
        share = self._last_shares.get(workspace, even_share)
        if self._is_frozen:
            return RemoteUsage(share=share)
        spent = sum(
            _estimated_spent(report, workspace, at) for report in self._reports.values()
        )
        return RemoteUsage(spent, pace=max(share, even_share))

    def update(self, own: dict[str, float], at: float) -> None:
        """Detect silent domains, and update the shares if there is none."""
        self._reports = {
            domain: report
            for domain, report in self._reports.items()
            if at - report.at < DOMAIN_TTL_S
        }
        others = self._reports.values()
        is_complete = len(others) + 1 >= self._domains
        self._is_frozen = not is_complete or any(
            at - report.at > REPORT_TTL_S for report in others
        )
        if not self._is_frozen:
            names = set(own).union(*(report.spent for report in others))
            self._last_shares = {name: self._share(name, own) for name in names}

    def _share(self, name: str, own: dict[str, float]) -> float:
        count = len(self._reports) + 1
        own_units = own.get(name, 0.0)
        total = own_units + sum(
            report.spent.get(name, 0.0) for report in self._reports.values()
        )
        if total <= 0:
            return 1 / count
        return MIN_SHARE + (1.0 - MIN_SHARE * count) * own_units / total


def _estimated_spent(report: DomainReport, workspace: str, at: float) -> float:
    """Return a domain's estimated spending, assuming its demand since the report."""
    age_s = at - report.at + MAX_REPORT_DELAY_S
    return report.spent.get(workspace, 0.0) + report.demand.get(workspace, 0.0) * age_s
