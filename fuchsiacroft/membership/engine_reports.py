"""The service "engine_reports": tells the leader which engines we own.

Changed engines are reported at once, all of them now and then.
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
    """The part of an entry that knows what runs and waits."""

    @abstractmethod
    def demand(self) -> tuple[ServiceDemand, ...]:
        """Return the requests that run or wait here, by service."""


class NoDemand(DemandSource):
    """An entry without requests."""

    def demand(self) -> tuple[ServiceDemand, ...]:
        """Return nothing."""
        return ()


class EngineReports(Service):
    """Reports to whichever control member leads."""

    name = "engine_reports"

    def __init__(self, settings: Settings) -> None:
        self._node = settings.node
        self._domain = settings.failure_domain
        self._control = [member.peers for member in settings.control]
        self._leader = self._control[0] if self._control else None
        self._source: DemandSource = NoDemand()
        self._told: dict[str, EngineStatus] = {}
        self._told_term = -1
        self._told_all_at = float("-inf")
        self._tasks = BackgroundTasks("engine_reports")

    async def start(self, kernel: Kernel) -> None:
        """Begin to report."""
        self._bus = kernel.get("bus", Bus)
        self._directory = kernel.get("backend_servers", BackendDirectory)
        self._ownership = kernel.get("ownership", OwnershipTable)
        self._document = kernel.get("document", CurrentDocument)
        self._tasks.spawn_critical(self._run(), "engine-reports")

    async def stop(self) -> None:
        """Report no more."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return who is told, and how many engines."""
        return {"leader": self._leader, "told": len(self._told)}

    def set_demand_source(self, source: DemandSource) -> None:
        """Name the part that knows the demand."""
        self._source = source

    async def _run(self) -> None:
        while self._leader is not None:
            await asyncio.sleep(REPORT_PERIOD_S)
            await self._report()

    async def _report(self) -> None:
        engines = {status.name: status for status in self._owned()}
        full = now() - self._told_all_at > FULL_REPORT_PERIOD_S
        changed = [
            status
            for status in engines.values()
            if full or self._told.get(status.name) != status
        ]
        known = {server.name for server in self._directory.all()}
        gone = tuple(name for name in self._told if name not in known)
        report = EngineReport(
            self._node, self._domain, tuple(changed), gone, self._source.demand()
        )
        match await self._bus.request(self._leader, report, REPORT_TIMEOUT_S):
            case Result(tag="ok", ok=EngineReportReply(taken=True, term=term)):
                self._note_told(engines, full, term)
            case Result(tag="ok", ok=EngineReportReply(leader=leader)):
                self._look_for_leader(leader)
            case _:
                self._look_for_leader(None)

    def _note_told(
        self, engines: dict[str, EngineStatus], full: bool, term: int
    ) -> None:
        self._told = engines
        if full:
            self._told_all_at = now()
        if term != self._told_term:
            self._told_term = term
            self._told_all_at = now() if full else float("-inf")

    def _look_for_leader(self, leader: str | None) -> None:
        self._told_all_at = float("-inf")
        if leader is None:
            here = self._control.index(self._leader)
            leader = self._control[(here + 1) % len(self._control)]
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
        """Tell whether a backend server offers a model, or nothing yet."""
        specs = [self._document.service(one.service) for one in announcement.offers]
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
    """Return the reporter of an entry."""
    return EngineReports(settings)
