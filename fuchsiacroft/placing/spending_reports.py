"""What the coordinators of failure domains last reported of spent quotas."""

import math
from typing import Annotated

import msgspec

from fuchsiacroft.config.bounds import Age, SignedAmount
from fuchsiacroft.placing.quota_window import MAX_AGE_STEPS

UnitsByAge = Annotated[tuple[SignedAmount, ...], msgspec.Meta(max_length=MAX_AGE_STEPS)]


class SpendingReport(msgspec.Struct, frozen=True):
    """What a domain's coordinator and its predecessors spent in the quota window.

    `units` holds each workspace's by age, as `Window.by_age` returns them. `epoch` is
    that of the coordinator, which had counted for `counted_s` seconds. The report is
    `age_s` old.
    """

    epoch: str
    units: dict[str, UnitsByAge]
    counted_s: Age = math.inf
    age_s: Age = 0.0


class SpendingReports:
    """The last report of each failure domain that a process has received."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[SpendingReport, float]] = {}

    def record(self, domain: str, report: SpendingReport, at: float) -> None:
        """Store the report of a domain."""
        self._reports[domain] = (report, at - report.age_s)

    def get(self, domain: str, at: float) -> SpendingReport | None:
        """Return the last report of a domain with its present age, or None."""
        known = self._reports.get(domain)
        if known is None:
            return None
        report, reported_at = known
        return msgspec.structs.replace(report, age_s=at - reported_at)
