"""Decides where requests run, which wait and which are refused.

Nothing here knows of a network or a task: every call is told the time and
returns what it decided. The load that the rules answer: more requests than the
backend servers have places for, of which the urgent ones take few.

A request is placed at once if a place is free and nobody as urgent waits. It
waits if its turn is expected in time. One that will be late waits only as long
as few others do, for the places that come free after a burst; the others are
refused at once, so that their callers may come back when there is room.
"""

from dataclasses import dataclass, replace

from fuchsiacroft.config.route_table import RouteTable
from fuchsiacroft.placing.demand import Demand
from fuchsiacroft.placing.fleet import Assignment, Fleet
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.messages import PlaceRequest, ServiceRoom
from fuchsiacroft.placing.queue import Position, Queue, Waiter, position
from fuchsiacroft.placing.quotas import Quotas
from fuchsiacroft.placing.retry_budget import RetryBudget
from fuchsiacroft.routing.permits import (
    PermitRequest,
    Refusal,
    RefusalReason,
    RunReport,
)

MIN_RETRY_AFTER_S = 0.2
LATE_HORIZON_S = 1.0
"""Late requests that wait may take the places of so many seconds, not more."""
QUICK_SHARE = 0.5
"""Of a service's mean run, up to which a request counts as quick."""
HELD_RETRY_S = 10.0
"""A request that crashes backend servers is no use to its caller any sooner."""
OVERLOAD_RETRY_S = 2.0
"""A burst's usual rest; who comes back sooner is refused once more."""


@dataclass(frozen=True, slots=True)
class Pressure:
    """What a request for a service met, for whoever asks why it was refused."""

    free: int
    slots: int
    waiting: int
    late: int
    expected_wait_s: float
    units_left: float


Decision = Assignment | Refusal | Waiter


class Allocator:
    """The queue of each service, before a fleet of backend servers."""

    def __init__(self, limits: SharedLimits) -> None:
        self._queues: dict[str, Queue] = {}
        self._waiters: dict[str, Waiter] = {}
        self.fleet = Fleet()
        self.demand = Demand()
        self.quotas = Quotas(limits.quotas)
        self.retries = RetryBudget(limits.retries)

    def dump(self) -> dict:
        """Return the servers and the queues."""
        return {
            "servers": self.fleet.dump(),
            "waiting": {name: q.by_rank() for name, q in self._queues.items()},
        }

    def waiting(self, service: str) -> int:
        """Return how many requests wait for a service."""
        queue = self._queues.get(service)
        return len(queue) if queue is not None else 0

    def set_table(self, table: RouteTable) -> None:
        """Take over the quotas of a new route table."""
        self.quotas.replace(table.workspaces)

    def place(self, request: PlaceRequest, at: float) -> Decision:
        """Place a request, let it wait, or refuse it."""
        refusal = self.admit(request, at)
        if refusal is not None:
            return refusal
        return self.place_now(request, at) or self.wait(request, at, at)

    def admit(self, request: PlaceRequest, at: float) -> Refusal | None:
        """Take a request's part of shared limits; return why it has none left."""
        ask = request.ask
        if self.fleet.crashes.is_quarantined(ask.fingerprint, at):
            return Refusal(RefusalReason.QUARANTINED, HELD_RETRY_S)
        self.demand.record(ask.workspace, request.charge, at)
        wait_s = self.quotas.take(ask.workspace, request.charge, at)
        if wait_s > 0:
            return Refusal(RefusalReason.OVER_QUOTA, wait_s)
        if request.repeats and not self.retries.take_repeat(ask.service, at):
            self.refund_quota(request, at)
            return Refusal(RefusalReason.RETRY_BUDGET, MIN_RETRY_AFTER_S)
        if not request.repeats:
            self.retries.note_first(ask.service, at)
        return None

    def refund_quota(self, request: PlaceRequest, admitted_at: float) -> None:
        """Return what a request took of its workspace's quota."""
        self.quotas.refund(request.ask.workspace, request.charge, admitted_at)

    def place_now(self, request: PlaceRequest, at: float) -> Assignment | None:
        """Place an admitted request if there is room that nobody waits for."""
        queue = self._queues.get(request.ask.service)
        if queue and queue.ahead_of(self._position_in_time(request.ask)):
            return None
        load = self.fleet.choose(request, at)
        return None if load is None else self.fleet.begin(request, load, at, at)

    def wait(
        self, request: PlaceRequest, admitted_at: float, at: float
    ) -> Waiter | Refusal:
        """Let an admitted request wait if its turn will come in time."""
        ask = request.ask
        if not self.fleet.serves(ask.service):
            self.refund_quota(request, admitted_at)
            return Refusal(RefusalReason.NO_BACKEND_SERVER, MIN_RETRY_AFTER_S)
        queue = self._queues.setdefault(ask.service, Queue())
        run_s = self.fleet.usual_run_s(ask)
        waiter = Waiter(
            request,
            admitted_at=admitted_at,
            arrived_at=at,
            in_time_until=at + request.in_time_s,
            until=at + request.max_wait_s,
            run_s=run_s,
            is_quick=self._is_quick(ask.service, run_s),
        )
        waiter.late = self.expected_wait_s(waiter) > request.in_time_s
        if waiter.late and not self._has_late_room(queue, waiter):
            self.refund_quota(request, admitted_at)
            return Refusal(RefusalReason.OVERLOADED, OVERLOAD_RETRY_S)
        self._add(queue, waiter)
        return waiter

    def end(self, run_id: str, report: RunReport, at: float) -> None:
        """End a run, or forget a request that waits."""
        waiter = self._waiters.get(run_id)
        if waiter is not None:
            self._remove(waiter)
            self.refund_quota(waiter.request, waiter.admitted_at)
        self.fleet.end(run_id, report, at)

    def place_waiters(self, at: float) -> list[tuple[Waiter, Assignment]]:
        """Place the waiters for which there is room now."""
        placed = []
        for service, queue in self._queues.items():
            if queue.head() is not None and self.fleet.free(service, at):
                placed.extend(self._serve(service, queue, at))
        return placed

    def expire_waiters(self, at: float) -> list[tuple[Waiter, Refusal]]:
        """Refuse the waiters whose time is over, and end forgotten runs."""
        refused = []
        for waiter in list(self._waiters.values()):
            if waiter.until <= at:
                refused.append((waiter, self._refuse_waiter(waiter)))
            elif not waiter.late and waiter.in_time_until <= at:
                self._make_late(waiter)
        for service, queue in self._queues.items():
            while queue.late() > self._late_room(service):
                last = queue.last_late()
                refused.append((last, self._refuse_waiter(last)))
        self.fleet.drop_forgotten(at)
        return refused

    def services_with_waiters(self) -> list[str]:
        """Return the services for which requests wait."""
        return [name for name, queue in self._queues.items() if queue.head()]

    def pop_head(self, service: str) -> Waiter | None:
        """Take the next waiter out, to be placed elsewhere or put back."""
        waiter = self._queues[service].head()
        if waiter is not None:
            self._remove(waiter)
        return waiter

    def requeue(self, waiter: Waiter) -> None:
        """Let a waiter wait again at its place in the order."""
        queue = self._queues[waiter.request.ask.service]
        self._add(queue, replace(waiter, removed=False))

    def dequeue(self, run_id: str) -> bool:
        """Take a waiter out that was placed elsewhere; return whether it was here."""
        waiter = self._waiters.get(run_id)
        if waiter is not None:
            self._remove(waiter)
        return waiter is not None

    def expected_wait_s(self, waiter: Waiter) -> float:
        """Return when the turn of a request just like this one would be."""
        service = waiter.request.ask.service
        return self._expected_wait_s(service, waiter.position_in_time)

    def rooms(self, at: float) -> tuple[ServiceRoom, ...]:
        """Return the room of each service, for other failure domains."""
        return tuple(
            ServiceRoom(
                service,
                self.fleet.free(service, at) - self.waiting(service),
                self._head_rank(service),
            )
            for service in self.fleet.services()
        )

    def _head_rank(self, service: str) -> int | None:
        queue = self._queues.get(service)
        head = queue.head() if queue is not None else None
        return head.rank if head is not None else None

    def pressure(self, ask: PermitRequest, at: float) -> Pressure:
        """Return what presses on a service, and on a workspace's quota."""
        queue = self._queues.get(ask.service, Queue())
        return Pressure(
            free=self.fleet.free(ask.service, at),
            slots=self.fleet.slots(ask.service),
            waiting=len(queue),
            late=queue.late(),
            expected_wait_s=self._expected_wait_s(
                ask.service, self._position_in_time(ask)
            ),
            units_left=self.quotas.remaining(ask.workspace, at),
        )

    def _is_quick(self, service: str, run_s: float) -> bool:
        """Tell whether a run takes a place for little of the usual time."""
        return run_s <= QUICK_SHARE * self.fleet.mean_run_s(service)

    def _position_in_time(self, ask: PermitRequest) -> Position:
        is_quick = self._is_quick(ask.service, self.fleet.usual_run_s(ask))
        return position(ask.rank, is_late=False, is_quick=is_quick)

    def _expected_wait_s(self, service: str, place: Position) -> float:
        """Return when the turn of a new waiter at a position would come."""
        queue = self._queues.get(service)
        ahead = queue.ahead_of(place) if queue is not None else 0
        slots = max(self.fleet.slots(service), 1)
        return (ahead + 1) * self.fleet.mean_run_s(service) / slots

    def _serve(
        self, service: str, queue: Queue, at: float
    ) -> list[tuple[Waiter, Assignment]]:
        placed = []
        for waiter in queue.waiters():
            load = self.fleet.choose(waiter.request, at, at - waiter.arrived_at)
            if load is None:
                if not self.fleet.free(service, at):
                    break
                continue
            self._remove(waiter)
            place = self.fleet.begin(waiter.request, load, at, waiter.arrived_at)
            placed.append((waiter, place))
        return placed

    def _add(self, queue: Queue, waiter: Waiter) -> None:
        queue.add(waiter)
        self._waiters[waiter.request.run_id] = waiter

    def _remove(self, waiter: Waiter) -> None:
        self._queues[waiter.request.ask.service].remove(waiter)
        self._waiters.pop(waiter.request.run_id, None)

    def _refuse_waiter(self, waiter: Waiter) -> Refusal:
        self._remove(waiter)
        self.refund_quota(waiter.request, waiter.admitted_at)
        return Refusal(RefusalReason.TIMED_OUT, OVERLOAD_RETRY_S)

    def _make_late(self, waiter: Waiter) -> None:
        """Put a waiter that missed its time behind those that may make theirs."""
        self._remove(waiter)
        queue = self._queues[waiter.request.ask.service]
        self._add(queue, replace(waiter, late=True, removed=False))

    def _has_late_room(self, queue: Queue, waiter: Waiter) -> bool:
        """Tell whether a late waiter may wait; one placed after it may not then."""
        if queue.late() < self._late_room(waiter.request.ask.service):
            return True
        last = queue.last_late()
        return last is not None and last.rank > waiter.rank

    def _late_room(self, service: str) -> int:
        """Return how many late requests may wait for a service."""
        slots = self.fleet.slots(service)
        return int(LATE_HORIZON_S * slots / self.fleet.mean_run_s(service))
