"""What the coordinators of failure domains last reported of spent quotas."""

import math
from typing import Annotated

import msgspec

from fuchsiacroft.config.bounds import Age, SignedAmount
from fuchsiacroft.placing.quota_window import MAX_AGE_STEPS, Window
from fuchsiacroft.utils.bounded import set_newest

MAX_EPOCHS = 4
"""Coordinators of one failure domain whose reports are kept."""
MAX_APART_S = 60.0
"""Reports that are older than the newest by more are left out."""

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
    """The reports of each failure domain that a process has received.

    Those of one coordinator replace each other, in the order in which it sent them;
    those of several, as one may be late, are merged.
    """

    def __init__(self) -> None:
        self._reports: dict[str, dict[str, tuple[SpendingReport, float]]] = {}

    def record(self, domain: str, report: SpendingReport, at: float) -> None:
        """Store the report of a domain, unless it is older than one of its epoch."""
        reports = self._reports.setdefault(domain, {})
        known = reports.get(report.epoch)
        if known is None or report.counted_s >= known[0].counted_s:
            value = (report, at - report.age_s)
            set_newest(reports, report.epoch, value, MAX_EPOCHS)

    def get(
        self, domain: str, at: float, own: SpendingReport | None = None
    ) -> SpendingReport | None:
        """Return what a domain's reports show with their present age, or None.

        `own` is that of the process itself, if it knows what was spent.
        """
        reports = list(self._reports.get(domain, {}).values())
        if own is not None:
            reports.append((own, at - own.age_s))
        if not reports:
            return None
        newest, reported_at = max(reports, key=lambda known: known[1])
        units = newest.units
        for report, earlier_at in reports:
            if report is not newest and earlier_at > reported_at - MAX_APART_S:
                units = _merged(units, reported_at, report.units, earlier_at)
        age_s = at - reported_at
        return msgspec.structs.replace(newest, units=units, age_s=age_s)


def _merged(
    units: dict[str, UnitsByAge],
    at: float,
    earlier: dict[str, UnitsByAge],
    earlier_at: float,
) -> dict[str, UnitsByAge]:
    """Return what two reports show together, by age at the later one."""
    return {
        name: Window.from_ages(units.get(name, ()), at)
        .merged(Window.from_ages(earlier.get(name, ()), earlier_at))
        .by_age(at)
        for name in units.keys() | earlier.keys()
    }
