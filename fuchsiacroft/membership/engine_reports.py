"""The service "engine_reports": reports the engines that this entry owns.

The reports go to the control member that leads. Most contain only changed
engines; a full report is sent periodically.
"""

import asyncio
from abc import ABC, abstractmethod

from expression import Result

from fuchsiacroft.config.current_document import CurrentDocument
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.control.inventory import (
    FULL_REPORT_PERIOD_S,
    EngineReport,
    EngineReportReply,
    EngineStatus,
    ServiceDemand,
)
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.announcement import Announcement
from fuchsiacroft.membership.backend_servers import BackendDirectory
from fuchsiacroft.membership.ownership import OwnershipTable
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.tasks import BackgroundTasks

REPORT_PERIOD_S = 5.0
REPORT_TIMEOUT_S = 2.0


class DemandSource(ABC):
    """Provides the numbers of running and waiting requests."""

    @abstractmethod
    def demand(self) -> tuple[ServiceDemand, ...]:
        """Return the requests that run or wait on this entry, by service."""


class NoDemand(DemandSource):
    """A demand source for an entry without requests."""

    def demand(self) -> tuple[ServiceDemand, ...]:
        """Return an empty tuple."""
        return ()


class EngineReports(Service):
    """Sends periodic reports to the control member that leads."""

    name = "engine_reports"

    def __init__(self, settings: Settings) -> None:
        self._node = settings.node
        self._domain = settings.failure_domain
        self._control = [member.peers for member in settings.control]
        self._leader = self._control[0] if self._control else None
        self._demand_source: DemandSource = NoDemand()
        self._reported: dict[str, EngineStatus] = {}
        self._reported_term = -1
        self._full_report_at = float("-inf")
        self._tasks = BackgroundTasks("engine_reports")

    async def start(self, kernel: Kernel) -> None:
        """Start the reporting task."""
        self._bus = kernel.get("bus", Bus)
        self._directory = kernel.get("backend_servers", BackendDirectory)
        self._ownership = kernel.get("ownership", OwnershipTable)
        self._document = kernel.get("document", CurrentDocument)
        self._tasks.spawn_critical(self._run(), "engine-reports")

    async def stop(self) -> None:
        """Stop the reporting task."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the address reported to and the number of engines reported."""
        return {"leader": self._leader, "told": len(self._reported)}

    def set_demand_source(self, source: DemandSource) -> None:
        """Set the source of the demand in reports."""
        self._demand_source = source

    async def _run(self) -> None:
        while self._leader is not None:
            await asyncio.sleep(REPORT_PERIOD_S)
            await self._report()

    async def _report(self) -> None:
        engines = {status.name: status for status in self._owned()}
        full = now() - self._full_report_at > FULL_REPORT_PERIOD_S
        changed = [
            status
            for status in engines.values()
            if full or self._reported.get(status.name) != status
        ]
        announced = {server.name for server in self._directory.all()}
        removed = tuple(name for name in self._reported if name not in announced)
        report = EngineReport(
            self._node,
            self._domain,
            tuple(changed),
            removed,
            self._demand_source.demand(),
        )
        match await self._bus.request(self._leader, report, REPORT_TIMEOUT_S):
            case Result(tag="ok", ok=EngineReportReply(taken=True, term=term)):
                self._record_report(engines, full, term)
            case Result(tag="ok", ok=EngineReportReply(leader=leader)):
                self._switch_leader(leader)
            case _:
                self._switch_leader(None)

    def _record_report(
        self, engines: dict[str, EngineStatus], full: bool, term: int
    ) -> None:
        self._reported = engines
        if full:
            self._full_report_at = now()
        if term != self._reported_term:
            self._reported_term = term
            self._full_report_at = now() if full else float("-inf")

    def _switch_leader(self, leader: str | None) -> None:
        self._full_report_at = float("-inf")
        if leader is None:
            index = self._control.index(self._leader)
            leader = self._control[(index + 1) % len(self._control)]
        if leader in self._control:
            self._leader = leader

    def _owned(self) -> list[EngineStatus]:
        return [
            self._status(server.announcement)
            for server in self._directory.all()
            if self._ownership.is_ready(server.name)
            and self._is_engine(server.announcement)
        ]

    def _is_engine(self, announcement: Announcement) -> bool:
        """Return whether a backend server offers a model, or no service yet."""
        specs = [self._document.service(offer.service) for offer in announcement.offers]
        return not specs or any(spec and spec.kind == "model" for spec in specs)

    def _status(self, announcement: Announcement) -> EngineStatus:
        return EngineStatus(
            announcement.name,
            announcement.boot_id,
            announcement.address,
            tuple(sorted(offer.service for offer in announcement.offers)),
            announcement.checks_fencing,
            announcement.leaving,
        )


def create(settings: Settings) -> EngineReports:
    """Return the engine report service of an entry."""
    return EngineReports(settings)
