"""The service "inventory": engines and demand of all failure domains.

Entries report the engines they own when these change, and all of them
periodically. The inventory is not replicated: a new leader rebuilds it from the
reports.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from fuchsiacroft.config.bounds import Whole
from fuchsiacroft.control.log import ReplicatedLog
from fuchsiacroft.control.placement import Engine
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.transport import codec
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now

FULL_REPORT_PERIOD_S = 20.0
REPORT_TTL_S = 3 * FULL_REPORT_PERIOD_S
MAX_ENGINES = 50_000


class EngineStatus(msgspec.Struct, frozen=True, array_like=True):
    """The state of an engine as reported by its owner."""

    name: str
    boot_id: str
    address: str
    models: tuple[str, ...]
    checks_fencing: bool
    leaving: bool


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """The number of requests of a service running or queued at an entry."""

    service: str
    requests: Whole


@codec.message("inventory.report")
class EngineReport(msgspec.Struct, frozen=True, array_like=True):
    """An entry's changed (or all) engines, its removed engines, and its demand."""

    node: str
    failure_domain: str
    engines: tuple[EngineStatus, ...]
    gone: tuple[str, ...]
    demand: tuple[ServiceDemand, ...]


@codec.message("inventory.answer")
class EngineReportReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether the report was accepted; if not, the current leader."""

    taken: bool
    term: Whole
    leader: str | None


@dataclass(frozen=True, slots=True)
class _ReportedEngine:
    engine: Engine
    reported_at: float


@dataclass(frozen=True, slots=True)
class _ReportedDemand:
    demand: tuple[ServiceDemand, ...]
    reported_at: float


class Inventory(Service, ABC):
    """The engines and the demand known to the leader."""

    name = "inventory"

    @abstractmethod
    def engines(self) -> tuple[Engine, ...]:
        """Return all engines that were reported recently."""

    @abstractmethod
    def demand(self) -> Mapping[str, float]:
        """Return the number of running or queued requests by service."""


class ReportedInventory(Inventory):
    """An inventory of the entries' reports while this member is leader."""

    def __init__(self) -> None:
        self._engines: dict[str, _ReportedEngine] = {}
        self._demand: dict[str, _ReportedDemand] = {}
        self._counts: Counter[str] = Counter()

    async def start(self, kernel: Kernel) -> None:
        """Register the handler for engine reports."""
        self._log = kernel.get("log", ReplicatedLog)
        kernel.get("bus", Bus).register_handler(EngineReport, self._on_report)

    def dump(self) -> dict:
        """Return the engines and the demand."""
        return {
            "engines": {
                engine.name: {
                    "domain": engine.failure_domain,
                    "models": sorted(engine.models),
                    "checks_fencing": engine.checks_fencing,
                    "leaving": engine.leaving,
                }
                for engine in self.engines()
            },
            "demand": dict(self.demand()),
            "counts": dict(self._counts),
        }

    def engines(self) -> tuple[Engine, ...]:
        """Return all engines that were reported recently."""
        self._remove_expired()
        return tuple(report.engine for report in self._engines.values())

    def demand(self) -> Mapping[str, float]:
        """Return the number of running or queued requests by service."""
        total: Counter[str] = Counter()
        for report in self._demand.values():
            for service_demand in report.demand:
                total[service_demand.service] += service_demand.requests
        return total

    def _on_report(self, sender: str, report: EngineReport) -> EngineReportReply:
        if not self._log.is_leader:
            return EngineReportReply(False, self._log.term, self._log.leader_peer)
        for name in report.gone:
            self._engines.pop(qualified_engine_name(report.failure_domain, name), None)
        for status in report.engines:
            self._update_engine(report.failure_domain, status)
        self._demand[report.node] = _ReportedDemand(report.demand, now())
        return EngineReportReply(True, self._log.term, None)

    def _update_engine(self, domain: str, status: EngineStatus) -> None:
        key = qualified_engine_name(domain, status.name)
        if key not in self._engines and len(self._engines) >= MAX_ENGINES:
            self._counts["dropped_full"] += 1
            return
        engine = Engine(
            key,
            status.boot_id,
            status.address,
            domain,
            frozenset(status.models),
            status.checks_fencing,
            status.leaving,
        )
        self._engines[key] = _ReportedEngine(engine, now())

    def _remove_expired(self) -> None:
        oldest = now() - REPORT_TTL_S
        for name, report in tuple(self._engines.items()):
            if report.reported_at < oldest:
                del self._engines[name]
        for node, report in tuple(self._demand.items()):
            if report.reported_at < oldest:
                del self._demand[node]


def qualified_engine_name(failure_domain: str, name: str) -> str:
    """Return the engine name prefixed with its failure domain."""
    return f"{failure_domain}/{name}"


def create() -> ReportedInventory:
    """Return an empty inventory."""
    return ReportedInventory()
