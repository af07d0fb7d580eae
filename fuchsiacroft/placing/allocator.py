"""Decides where requests run, which wait and which are refused.

Nothing here knows of a network or a task: every call is told the time and
returns what it decided. The load that the rules answer: more requests than the
backend servers have places for, of which the urgent ones take few.

A request is placed at once if a place is free and nobody as urgent waits. It
waits if its turn is expected in time. One that will be late waits only as long
as few others do, for the places that come free after a burst; the others are
refused at once, so that their callers may come back when there is room.
"""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass, replace

from fuchsiacroft.config.route_table import RouteTable
from fuchsiacroft.membership.registry_wire import ServerRecord
from fuchsiacroft.placing.crashes import Crashes
from fuchsiacroft.placing.demand import Demand
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.messages import HeldRun, PlaceRequest
from fuchsiacroft.placing.queue import Queue, Waiter
from fuchsiacroft.placing.quotas import Quotas
from fuchsiacroft.placing.retry_budget import RetryBudget
from fuchsiacroft.placing.server_load import Run, ServerLoad
from fuchsiacroft.routing.ask import (
    Ask,
    Refusal,
    RefusalReason,
    RunOutcome,
    RunReport,
)

RUN_GRACE_S = 1.0
"""Past its timeout, a run whose end was never told is over."""
NOMINAL_RUN_S = 0.3
"""The mean run of a service until some have ended."""
LEARNING_RATE = 0.05
MIN_RETRY_AFTER_S = 0.2
CHOOSY_SHARE = 0.4
"""Of the time in which it would be in time, how long a request waits for a server
on which its prompt makes no stream pause for too long."""
LATE_HORIZON_S = 1.0
"""Late requests that wait may take the places of so many seconds, not more."""
HELD_RETRY_S = 10.0
"""A request that crashes backend servers is no use to its caller any sooner."""
OVERLOAD_RETRY_S = 2.0
"""A burst's usual rest; who comes back sooner is refused once more."""


@dataclass(frozen=True, slots=True)
class Place:
    """A run may begin on a backend server."""

    run_id: str
    backend_server: str
    address: str
    waited_s: float
    free_places: int


@dataclass(frozen=True, slots=True)
class Pressure:
    """What a request for a service met, for whoever asks why it was refused."""

    free: int
    slots: int
    waiting: int
    late: int
    expected_wait_s: float
    units_left: float


Decision = Place | Refusal | Waiter


class Allocator:
    """The queue of each service and the runs on each backend server."""

    def __init__(self, limits: SharedLimits) -> None:
        self._servers: dict[str, ServerLoad] = {}
        self._runs: dict[str, ServerLoad] = {}
        self._queues: dict[str, Queue] = {}
        self._waiters: dict[str, Waiter] = {}
        self._mean_run_s: dict[str, float] = {}
        self.slot_share = 1.0
        self.crashes = Crashes()
        self.demand = Demand()
        self.quotas = Quotas(limits.quotas)
        self.retries = RetryBudget(limits.retries)

    def dump(self) -> dict:
        """Return the servers, the queues and the quotas."""
        return {
            "servers": {
                name: {
                    "runs": len(load.runs),
                    "slots": load.slots,
                    "gap_ms": round((load.gap_s or 0) * 1000, 3),
                    "failures": round(load.failures, 3),
                }
                for name, load in self._servers.items()
            },
            "waiting": {name: q.by_rank() for name, q in self._queues.items()},
        }

    def waiting(self, service: str) -> int:
        """Return how many requests wait for a service."""
        queue = self._queues.get(service)
        return len(queue) if queue is not None else 0

    def set_table(self, table: RouteTable) -> None:
        """Take over the quotas of a new route table."""
        self.quotas.replace(table.workspaces)

    def set_servers(self, records: Iterable[ServerRecord], at: float) -> None:
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

    def _forget(self, name: str, at: float) -> None:
        """Count the runs of a server that is gone no more."""
        gone = self._servers.pop(name)
        self.crashes.note_death(gone.life, (), at)
        for run_id in gone.runs:
            self._runs.pop(run_id, None)

    def place(self, request: PlaceRequest, at: float) -> Decision:
        """Place a request, let it wait, or refuse it."""
        refusal = self.admit(request, at)
        if refusal is not None:
            return refusal
        return self.place_now(request, at) or self.wait(request, at)

    def admit(self, request: PlaceRequest, at: float) -> Refusal | None:
        """Take a request's part of shared limits; return why it has none left."""
        ask = request.ask
        if self.crashes.holds(ask.fingerprint, at):
            return Refusal(RefusalReason.QUARANTINED, HELD_RETRY_S)
        self.demand.note(ask.workspace, request.charge, at)
        wait_s = self.quotas.take(ask.workspace, request.charge, at)
        if wait_s > 0:
            return Refusal(RefusalReason.OVER_QUOTA, wait_s)
        if request.repeats and not self.retries.take_repeat(ask.service, at):
            self.give_back(request, at)
            return Refusal(RefusalReason.RETRY_BUDGET, MIN_RETRY_AFTER_S)
        if not request.repeats:
            self.retries.note_first(ask.service, at)
        return None

    def place_now(self, request: PlaceRequest, at: float) -> Place | None:
        """Place an admitted request if there is room that nobody waits for."""
        queue = self._queues.get(request.ask.service)
        if queue is not None and queue.ahead_of(request.ask.rank, late=False):
            return None
        load = self._choose(request, at)
        return None if load is None else self._begin(request, load, at, at)

    def wait(self, request: PlaceRequest, at: float) -> Waiter | Refusal:
        """Let an admitted request wait if its turn will come in time."""
        ask = request.ask
        if not any(load.offers(ask.service) for load in self._servers.values()):
            self.give_back(request, at)
            return Refusal(RefusalReason.NO_BACKEND_SERVER, MIN_RETRY_AFTER_S)
        queue = self._queues.setdefault(ask.service, Queue())
        waiter = Waiter(
            request,
            arrived_at=at,
            in_time_until=at + request.in_time_s,
            until=at + request.max_wait_s,
            run_s=self._usual_run_s(ask),
        )
        expected_s = self._expected_wait_s(ask, queue.ahead_of(ask.rank, late=False))
        waiter.late = expected_s > request.in_time_s
        if waiter.late and not self._has_late_room(queue, waiter):
            self.give_back(request, at)
            return Refusal(RefusalReason.OVERLOADED, OVERLOAD_RETRY_S)
        queue.add(waiter)
        self._waiters[request.run_id] = waiter
        return waiter

    def pressure(self, ask: Ask, at: float) -> Pressure:
        """Return what presses on a service, and on a workspace's quota."""
        queue = self._queues.get(ask.service, Queue())
        free = sum(
            max(load.free(at, self.slot_share), 0)
            for load in self._servers.values()
            if load.offers(ask.service)
        )
        return Pressure(
            free=free,
            slots=self._slots(ask.service),
            waiting=len(queue),
            late=queue.late(),
            expected_wait_s=self._expected_wait_s(
                ask, queue.ahead_of(ask.rank, late=False)
            ),
            units_left=self.quotas.left(ask.workspace, at),
        )

    def services_waited_for(self) -> list[str]:
        """Return the services for which requests wait."""
        return [name for name, queue in self._queues.items() if queue.head()]

    def take_head(self, service: str) -> Waiter | None:
        """Take the next waiter out, to be placed elsewhere or put back."""
        waiter = self._queues[service].head()
        if waiter is not None:
            self._queues[service].remove(waiter)
            self._waiters.pop(waiter.request.run_id, None)
        return waiter

    def put_back(self, waiter: Waiter) -> None:
        """Let a waiter wait again at its place in the order."""
        again = replace(waiter, gone=False)
        self._queues[again.request.ask.service].add(again)
        self._waiters[again.request.run_id] = again

    def rooms(self, at: float) -> dict[str, int]:
        """Return the free places of each service, less those who wait."""
        rooms: dict[str, int] = {}
        for load in self._servers.values():
            free = max(load.free(at, self.slot_share), 0)
            for offer in load.record.announcement.offers:
                rooms[offer.service] = rooms.get(offer.service, 0) + free
        return {name: free - self.waiting(name) for name, free in rooms.items()}

    def note_read(self, run_id: str) -> None:
        """Note that the prompt of a run has been read."""
        load = self._runs.get(run_id)
        if load is not None:
            load.note_read(run_id)

    def end(self, run_id: str, report: RunReport, at: float) -> None:
        """End a run, or forget a request that waits."""
        waiter = self._waiters.pop(run_id, None)
        if waiter is not None:
            self._queues[waiter.request.ask.service].remove(waiter)
            self.give_back(waiter.request, at)
        load = self._runs.pop(run_id, None)
        if load is None:
            return
        run = load.end(run_id)
        if run is None:
            return
        load.learn(run, report, at)
        self._note_crash(load, run, report, at)
        if report.outcome is RunOutcome.COMPLETED:
            self._learn_mean(run.ask.service, at - run.started_at)

    def _note_crash(
        self, load: ServerLoad, run: Run, report: RunReport, at: float
    ) -> None:
        """Take in what the end of a run says of its server's death."""
        match report.outcome:
            case RunOutcome.COMPLETED:
                self.crashes.clear(run.ask.fingerprint)
            case RunOutcome.CONNECTION_LOST:
                self.crashes.note_lost(load.life, run.ask.fingerprint, at)
            case RunOutcome.NOT_DISPATCHED:
                running = [other.ask.fingerprint for other in load.runs.values()]
                self.crashes.note_death(load.life, running, at)

    def adopt(self, held: HeldRun, at: float) -> None:
        """Count a run that began before this allocator was asked."""
        load = self._servers.get(held.backend_server)
        if load is None or held.run_id in self._runs:
            return
        run = Run(held.run_id, held.ask, at, at + _longest_s(held.ask), False)
        load.begin(run)
        self._runs[held.run_id] = load

    def serve(self, at: float) -> list[tuple[Waiter, Place]]:
        """Place the waiters for which there is room now."""
        placed = []
        for service, queue in self._queues.items():
            if queue.head() is not None and self._has_room(service, at):
                placed.extend(self._serve(queue, at))
        return placed

    def give_up(self, at: float) -> list[tuple[Waiter, Refusal]]:
        """Refuse the waiters whose time is over, and end forgotten runs."""
        refused = []
        for waiter in list(self._waiters.values()):
            if waiter.until <= at:
                refused.append((waiter, self._refuse_waiter(waiter, at)))
            elif not waiter.late and waiter.in_time_until <= at:
                self._make_late(waiter)
        for queue in self._queues.values():
            while (last := self._one_too_many(queue)) is not None:
                refused.append((last, self._refuse_waiter(last, at)))
        for load in self._servers.values():
            for run in list(load.runs.values()):
                if run.ends_by <= at:
                    load.end(run.run_id)
                    self._runs.pop(run.run_id, None)
        return refused

    def _expected_wait_s(self, ask: Ask, ahead: int) -> float:
        mean_s = self._mean_run_s.get(ask.service, NOMINAL_RUN_S)
        return (ahead + 1) * mean_s / max(self._slots(ask.service), 1)

    def _serve(self, queue: Queue, at: float) -> list[tuple[Waiter, Place]]:
        placed = []
        for waiter in queue.waiters():
            load = self._choose(waiter.request, at, at - waiter.arrived_at)
            if load is None:
                if not self._has_room(waiter.request.ask.service, at):
                    break
                continue
            queue.remove(waiter)
            self._waiters.pop(waiter.request.run_id, None)
            place = self._begin(waiter.request, load, at, waiter.arrived_at)
            placed.append((waiter, place))
        return placed

    def _has_room(self, service: str, at: float) -> bool:
        return any(
            load.free(at, self.slot_share) > 0
            for load in self._servers.values()
            if load.offers(service)
        )

    def _choose(
        self, request: PlaceRequest, at: float, waited_s: float = 0.0
    ) -> ServerLoad | None:
        """Return the free server with the earliest expected end, or None.

        A request that has time waits for one where it makes no stream pause.
        """
        ask = request.ask
        is_choosy = waited_s < CHOOSY_SHARE * request.in_time_s
        best, least = None, float("inf")
        for load in self._servers.values():
            if load.name in ask.avoid or not load.offers(ask.service):
                continue
            if load.free(at, self.slot_share) <= 0:
                continue
            if is_choosy and load.would_stall(ask, request.event_tokens):
                continue
            cost_s = load.expected_s(ask)
            if cost_s < least:
                best, least = load, cost_s
        return best

    def _begin(
        self, request: PlaceRequest, load: ServerLoad, at: float, since: float
    ) -> Place:
        ask = request.ask
        reading = ask.size.prompt_tokens > 0
        run = Run(request.run_id, ask, at, at + _longest_s(ask), reading)
        free = load.free(at, self.slot_share)
        load.begin(run)
        self._runs[run.run_id] = load
        address = load.record.announcement.address
        return Place(run.run_id, load.name, address, at - since, free)

    def _refuse_waiter(self, waiter: Waiter, at: float) -> Refusal:
        self._queues[waiter.request.ask.service].remove(waiter)
        self._waiters.pop(waiter.request.run_id, None)
        self.give_back(waiter.request, at)
        return Refusal(RefusalReason.TIMED_OUT, OVERLOAD_RETRY_S)

    def _make_late(self, waiter: Waiter) -> None:
        """Put a waiter that missed its time behind those that may make theirs."""
        queue = self._queues[waiter.request.ask.service]
        queue.remove(waiter)
        late = replace(waiter, late=True, gone=False)
        queue.add(late)
        self._waiters[late.request.run_id] = late

    def _has_late_room(self, queue: Queue, waiter: Waiter) -> bool:
        """Tell whether a late waiter may wait; one placed after it may not then."""
        if queue.late() < self._late_room(waiter.request.ask.service):
            return True
        last = queue.last_late()
        return last is not None and last.rank > waiter.rank

    def _one_too_many(self, queue: Queue) -> Waiter | None:
        if not queue.late():
            return None
        last = queue.last_late()
        room = self._late_room(last.request.ask.service)
        return last if queue.late() > room else None

    def _late_room(self, service: str) -> int:
        """Return how many late requests may wait for a service."""
        mean_s = self._mean_run_s.get(service, NOMINAL_RUN_S)
        return int(LATE_HORIZON_S * self._slots(service) / mean_s)

    def _slots(self, service: str) -> int:
        return sum(
            load.slots for load in self._servers.values() if load.offers(service)
        )

    def _usual_run_s(self, ask: Ask) -> float:
        """Return the expected time of a run on a server of middling speed."""
        times = [
            load.run_s(ask)
            for load in self._servers.values()
            if load.offers(ask.service)
        ]
        return statistics.median(times) if times else NOMINAL_RUN_S

    def give_back(self, request: PlaceRequest, at: float) -> None:
        """Return what a request took of its workspace's quota."""
        self.quotas.give_back(request.ask.workspace, request.charge, at)

    def _learn_mean(self, service: str, run_s: float) -> None:
        known = self._mean_run_s.get(service, run_s)
        self._mean_run_s[service] = known + LEARNING_RATE * (run_s - known)


def _longest_s(ask: Ask) -> float:
    return ask.timeout_s + RUN_GRACE_S
