"""The runs on a failure domain's backend servers, and what they tell of services."""

from collections.abc import Iterable

from fuchsiacroft.placing.isolation import IsolatedRuns
from fuchsiacroft.placing.messages import HeldRun
from fuchsiacroft.placing.moving_average import moving_average
from fuchsiacroft.placing.server_load import Run, ServerLoad
from fuchsiacroft.placing.slot_reserve import SlotReserve
from fuchsiacroft.routing.permits import PermitRequest
from fuchsiacroft.utils.bounded import set_newest

DEFAULT_RUN_S = 0.3
"""Mean run time of a service until one of its runs has completed."""
MIN_RUN_S = 0.001
"""Lower bound, as a run measures 0 s if one event loop iteration starts and ends it."""
MAX_ENDED_RUNS = 2_000
"""Ended runs that are remembered, as a list of runs may come after the end of one."""
LEARNING_RATE = 0.05
"""Weight of the newest run in the moving average of its service."""


class FleetRuns:
    """Finds runs by their ids, and counts them by service and rank.

    `isolated` are those that may share their server with no other.
    """

    def __init__(self) -> None:
        self._servers: dict[str, ServerLoad] = {}
        self._ended: dict[str, None] = {}
        self._mean_run_s: dict[str, float] = {}
        self._turnaround_s: dict[str, float] = {}
        self._reserves: dict[str, SlotReserve] = {}
        self.isolated = IsolatedRuns()

    def server_of(self, run_id: str) -> ServerLoad | None:
        """Return the server of a run, None if it isn't in progress here."""
        return self._servers.get(run_id)

    def is_known(self, run_id: str) -> bool:
        """Return whether a run is counted, or its end is known."""
        return run_id in self._servers or run_id in self._ended

    def add(self, load: ServerLoad, run: Run) -> None:
        """Count a run on a server."""
        load.begin(run)
        self.isolated.add(run, load)
        self._servers[run.run_id] = load
        permit_request = run.permit_request
        self.reserve(permit_request.service).add(permit_request.rank, 1, run.started_at)

    def end(self, run_id: str, at: float) -> tuple[ServerLoad, Run] | None:
        """Remove a run and remember its end; return it, None if it isn't counted."""
        set_newest(self._ended, run_id, None, MAX_ENDED_RUNS)
        load = self._servers.pop(run_id, None)
        run = load.end(run_id, at) if load is not None else None
        if run is None:
            return None
        self._record_end(run, at)
        return load, run

    def expire(self, load: ServerLoad, at: float) -> None:
        """Remove the runs of a server that are past their timeout."""
        for run in list(load.runs.values()):
            if run.ends_by <= at:
                load.end(run.run_id, at)
                self._forget(run, at)

    def drop_all(self, load: ServerLoad, at: float) -> None:
        """Remove the runs of a server that accepts no more work."""
        for run in load.runs.values():
            run.is_running = False
            self._forget(run, at)

    def held(self, servers: Iterable[ServerLoad]) -> tuple[HeldRun, ...]:
        """Return the runs that are counted on servers."""
        return tuple(
            HeldRun(run.run_id, load.name, run.permit_request)
            for load in servers
            for run in load.runs.values()
        )

    def urgent_load(self, service: str, rank: int, at: float) -> float:
        """Return the recent mean number of runs that are more urgent than a rank."""
        return self.reserve(service).urgent_load(rank, at)

    def ranks(self, service: str) -> list[int]:
        """Return the ranks of a service's requests, the most urgent first."""
        return self.reserve(service).ranks()

    def mean_run_s(self, service: str) -> float:
        """Return the mean run time of a service."""
        return self._mean_run_s.get(service, DEFAULT_RUN_S)

    def turnaround_s(self, service: str) -> float:
        """Return for how long a slot is taken beyond its run, in the mean.

        It is spent on messages, and while processes are late.
        """
        return self._turnaround_s.get(service, 0.0)

    def dump_turnarounds(self) -> dict[str, float]:
        """Return the mean turnaround of each service, in seconds."""
        return {name: round(mean_s, 4) for name, mean_s in self._turnaround_s.items()}

    def record_completed(
        self, permit_request: PermitRequest, run_s: float, duration_s: float
    ) -> None:
        """Record for how long a run took its slot, and how long it took itself."""
        service = permit_request.service
        turnaround_s = moving_average(
            self._turnaround_s.get(service), max(run_s - duration_s, 0.0), LEARNING_RATE
        )
        self._turnaround_s[service] = turnaround_s
        known = self._mean_run_s.get(service)
        sample = max(run_s, MIN_RUN_S)
        self.reserve(service).record_run(permit_request.rank, sample)
        self._mean_run_s[service] = moving_average(known, sample, LEARNING_RATE)

    def reserve(self, service: str) -> SlotReserve:
        """Return the slots that a service's urgent requests keep free."""
        return self._reserves.setdefault(service, SlotReserve())

    def _forget(self, run: Run, at: float) -> None:
        self._servers.pop(run.run_id, None)
        self._record_end(run, at)

    def _record_end(self, run: Run, at: float) -> None:
        self.isolated.discard(run.run_id)
        permit_request = run.permit_request
        self.reserve(permit_request.service).add(permit_request.rank, -1, at)
