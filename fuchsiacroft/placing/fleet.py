"""The backend servers of a failure domain: what runs there, and which to choose.

Like the allocator it is told the time, and knows neither network nor task.
"""

import statistics
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from fuchsiacroft.membership.registry_wire import ServerRecord
from fuchsiacroft.placing.crashes import CrashTracker
from fuchsiacroft.placing.messages import HeldRun, PlaceRequest
from fuchsiacroft.placing.server_load import Run, ServerLoad, averaged
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport

RUN_GRACE_S = 1.0
"""Past its timeout, a run whose end was never told is over."""
NOMINAL_RUN_S = 0.3
"""The mean run of a service until some have ended."""
LEAST_RUN_S = 0.001
"""A run whose begin and end are heard in one turn of the loop takes no time by it."""
LEARNING_RATE = 0.05
"""Weight of the newest run in the mean of its service."""
CHOOSY_SHARE = 0.4
"""Of the time in which it would be in time, how long a request waits for a server
on which its prompt makes no stream pause for too long."""


@dataclass(frozen=True, slots=True)
class Assignment:
    """A run may begin on a backend server."""

    run_id: str
    backend_server: str
    address: str
    waited_s: float


class Fleet:
    """The servers that take work, and the runs on each.

    `share` is the part of each server's slots that may be used from here.
    """

    def __init__(self) -> None:
        self._servers: dict[str, ServerLoad] = {}
        self._by_service: dict[str, list[ServerLoad]] = {}
        self._runs: dict[str, ServerLoad] = {}
        self._mean_run_s: dict[str, float] = {}
        self.share = 1.0
        self.crashes = CrashTracker()

    def dump(self) -> dict:
        """Return each server with its runs, speed and failures."""
        return {
            name: {
                "runs": len(load.runs),
                "slots": load.slots,
                "gap_ms": round((load.gap_s or 0) * 1000, 3),
                "failures": round(load.failures, 3),
            }
            for name, load in self._servers.items()
        }

    def replace_servers(self, records: Iterable[ServerRecord], at: float) -> None:
        """Take over the backend servers that take work."""
        found = {record.name: record for record in records}
        for name in self._servers.keys() - found.keys():
            self._forget(name, at)
        for name, record in found.items():
            load = self._servers.get(name)
            if load is not None and load.record.incarnation == record.incarnation:
                load.record = record
                continue
            if load is not None:
                self._forget(name, at)
            self._servers[name] = ServerLoad(record)
        self._by_service = {}
        for load in self._servers.values():
            for service in load.services:
                self._by_service.setdefault(service, []).append(load)

    def serves(self, service: str) -> bool:
        """Tell whether any server offers a service."""
        return bool(self._offering(service))

    def slots(self, service: str) -> int:
        """Return how many requests of a service run at a time."""
        return sum(load.slots for load in self._offering(service))

    def free(self, service: str, at: float) -> int:
        """Return the free places of a service."""
        return sum(self._free(load, at) for load in self._offering(service))

    def services(self) -> set[str]:
        """Return the services that are offered."""
        return set(self._by_service)

    def mean_run_s(self, service: str) -> float:
        """Return the mean time of a service's runs."""
        return self._mean_run_s.get(service, NOMINAL_RUN_S)

    def usual_run_s(self, ask: PermitRequest) -> float:
        """Return the expected time of a run on a server of middling speed."""
        times = [load.run_s(ask) for load in self._offering(ask.service)]
        return statistics.median(times) if times else NOMINAL_RUN_S

    def choose(
        self, request: PlaceRequest, at: float, waited_s: float = 0.0
    ) -> ServerLoad | None:
        """Return the free server with the earliest expected end, or None.

        A request that has time waits for one where it makes no stream pause.
        """
        ask = request.ask
        is_choosy = waited_s < CHOOSY_SHARE * request.in_time_s
        best, least = None, float("inf")
        for load in self._offering(ask.service):
            if load.name in ask.avoid or not self._free(load, at):
                continue
            if is_choosy and load.would_stall(ask, request.event_tokens):
                continue
            cost_s = load.expected_s(ask)
            if cost_s < least:
                best, least = load, cost_s
        return best

    def begin(
        self, request: PlaceRequest, load: ServerLoad, at: float, since: float
    ) -> Assignment:
        """Count a run that begins now for a request that came at `since`."""
        ask = request.ask
        reading = ask.size.prompt_tokens > 0
        self._count(load, Run(request.run_id, ask, at, _ends_by(ask, at), reading))
        address = load.record.announcement.address
        return Assignment(request.run_id, load.name, address, at - since)

    def adopt(self, held: HeldRun, at: float) -> None:
        """Count a run that began under another coordinator."""
        load = self._servers.get(held.backend_server)
        if load is None or held.run_id in self._runs:
            return
        ends_by = _ends_by(held.ask, at)
        self._count(load, Run(held.run_id, held.ask, at, ends_by, reading=False))

    def mark_prefilled(self, run_id: str) -> None:
        """Note that the prompt of a run has been read."""
        load = self._runs.get(run_id)
        if load is not None:
            load.mark_prefilled(run_id)

    def end(self, run_id: str, report: RunReport, at: float) -> None:
        """Count a run no more, and learn from how it ended."""
        load = self._runs.pop(run_id, None)
        run = load.end(run_id) if load is not None else None
        if run is None:
            return
        load.learn(run, report, at)
        self._note_crash(load, run, report, at)
        if report.outcome is RunOutcome.COMPLETED:
            self._learn_mean(run.ask.service, at - run.started_at)

    def drop_forgotten(self, at: float) -> None:
        """End the runs whose time is over and whose end was never told."""
        for load in self._servers.values():
            for run in list(load.runs.values()):
                if run.ends_by <= at:
                    load.end(run.run_id)
                    self._runs.pop(run.run_id, None)

    def _count(self, load: ServerLoad, run: Run) -> None:
        load.begin(run)
        self._runs[run.run_id] = load

    def _offering(self, service: str) -> Sequence[ServerLoad]:
        return self._by_service.get(service, ())

    def _free(self, load: ServerLoad, at: float) -> int:
        return max(load.free(at, self.share), 0)

    def _forget(self, name: str, at: float) -> None:
        """Count the runs of a server that is gone no more."""
        gone = self._servers.pop(name)
        self.crashes.record_crash(gone.instance_id, (), at)
        for run_id in gone.runs:
            self._runs.pop(run_id, None)

    def _note_crash(
        self, load: ServerLoad, run: Run, report: RunReport, at: float
    ) -> None:
        """Take in what the end of a run says of its server's death."""
        match report.outcome:
            case RunOutcome.COMPLETED:
                self.crashes.clear(run.ask.fingerprint)
            case RunOutcome.CONNECTION_LOST:
                self.crashes.record_lost_connection(
                    load.instance_id, run.ask.fingerprint, at
                )
            case RunOutcome.NOT_DISPATCHED:
                running = [other.ask.fingerprint for other in load.runs.values()]
                self.crashes.record_crash(load.instance_id, running, at)

    def _learn_mean(self, service: str, run_s: float) -> None:
        known = self._mean_run_s.get(service)
        seen = max(run_s, LEAST_RUN_S)
        self._mean_run_s[service] = averaged(known, seen, LEARNING_RATE)


def _ends_by(ask: PermitRequest, at: float) -> float:
    return at + ask.timeout_s + RUN_GRACE_S
