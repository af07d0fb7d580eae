"""Admission control and placement: decides which requests run, wait or are refused.

The module does no I/O and starts no tasks: each call takes the current time and
returns its decision. The rules are designed for overload, where requests exceed
the slots of the backend servers and urgent requests are a small part of them.

A request is placed immediately if a slot is free and no request of the same or a
higher urgency is queued. It is queued if it is expected to be placed in time. A
request that is expected to be late is queued only while few late requests are
queued, so that the slots that become free after a burst are used. Other late
requests are refused immediately, so that their callers can retry later.

A request that continues a stream runs only on servers of the version that began it.
Its caller waits in the middle of an answer, so it goes first in its rank, takes slots
that are kept free for others, and is refused at once if its wait would be too long or
no server of the version is left anywhere.

A request of a service that has no backend server waits for one: after a restart of
all processes, backend servers are known again within about a second.
"""

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from fuchsiacroft.config.route_table import RouteTable
from fuchsiacroft.placing.demand import Demand
from fuchsiacroft.placing.fair_queue import FairQueue
from fuchsiacroft.placing.fleet import Assignment, Fleet
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.messages import PlaceRequest
from fuchsiacroft.placing.queue import Queue, Waiter
from fuchsiacroft.placing.queue_reports import QueueReports
from fuchsiacroft.placing.queue_waits import QueueWaits
from fuchsiacroft.placing.quotas import Quotas
from fuchsiacroft.placing.retry_after import MIN_RETRY_AFTER_S
from fuchsiacroft.placing.retry_budget import RetryBudget
from fuchsiacroft.quarantine.evidence import Treatment
from fuchsiacroft.routing.permits import (
    PermitRequest,
    Refusal,
    RefusalReason,
    RunReport,
)

IN_TIME_SHARE = 0.8
"""Share of the target within which a first event is expected to be in time."""
MAX_PASSED = 5
"""A check that is made at each change ends after so many waiters that no free server
may run. In a burst, hundreds of requests wait and hundreds of runs end in a second."""
VERSION_GONE_RETRY_AFTER_S = 1.0
"""A server that has crashed may be back by then, at its version."""
VERSION_GONE = Refusal(RefusalReason.VERSION_GONE, VERSION_GONE_RETRY_AFTER_S)
CHANGE_WAIT_SHARE = 0.5
"""Share of its time that a request waits while another domain's coordinator changes."""
MAX_CHANGE_WAIT_S = 1.0
"""Longer than another entry needs to see that the coordinator is lost."""
QUARANTINE_RETRY_AFTER_S = 10.0
"""Retrying a request that crashes backend servers sooner does not help its caller."""
QUARANTINED = Refusal(RefusalReason.QUARANTINED, QUARANTINE_RETRY_AFTER_S)


Decision = Assignment | Refusal | Waiter


class Allocator:
    """Queues requests by service and places them on a fleet of backend servers.

    `is_known` returns whether any failure domain has a server of a service, `may_go_on`
    whether any has one that may continue a stream, and `is_changing` whether one of
    these domains has no coordinator just now.
    """

    def __init__(
        self,
        limits: SharedLimits,
        rng: random.Random | None = None,
        *,
        is_fair: bool = False,
    ) -> None:
        self._random = rng or random.Random()
        self._is_fair = is_fair
        self._refused_early: Counter[str] = Counter()
        self._queues: dict[str, Queue] = {}
        self._waiters: dict[str, Waiter] = {}
        self._evidence_version = 0
        self.fleet = Fleet()
        self.waits = QueueWaits(self.fleet, self._queues, self._random, is_fair=is_fair)
        self.demand = Demand()
        self.quotas = Quotas(limits.quotas)
        self.retries = RetryBudget(limits.retries)
        self.reports = QueueReports(self.fleet, self._queues, self.waits, self.quotas)
        self.is_known: Callable[[str], bool] = lambda service: False
        self.may_go_on: Callable[[PermitRequest], bool] = lambda permit_request: False
        self.is_changing: Callable[[str], bool] = lambda service: False

    def dump(self, at: float = 0.0) -> dict:
        """Return the state of the servers and the queue lengths by rank."""
        state = {
            "servers": self.fleet.dump(at),
            "waiting": {name: q.by_rank() for name, q in self._queues.items()},
            "turnaround_s": self.fleet.runs.dump_turnarounds(),
        }
        if self._is_fair:
            state["shares"] = {
                name: queue.dump_shares() for name, queue in self._queues.items()
            }
            state["refused_early"] = dict(self._refused_early)
        return state

    def waiting(self, service: str) -> int:
        """Return the queue length of a service."""
        queue = self._queues.get(service)
        return len(queue) if queue is not None else 0

    def set_route_table(self, table: RouteTable) -> None:
        """Apply the quotas of a new route table, and the token memory of servers."""
        self.quotas.replace(table.workspaces)
        self.fleet.token_memory.replace(table.server_tokens())

    def place(self, request: PlaceRequest, at: float) -> Decision:
        """Place, queue or refuse a request."""
        refusal = self.admit(request, at)
        if refusal is not None:
            return refusal
        return self.try_place(request, at) or self.enqueue(request, at, at)

    def admit(self, request: PlaceRequest, at: float) -> Refusal | None:
        """Charge a request to the shared limits.

        Returns a refusal if the request is quarantined or exceeds a limit.
        """
        permit_request = request.ask
        if self.fleet.choice.treatment(permit_request, at) is Treatment.REFUSED:
            return QUARANTINED
        self.demand.record(permit_request.workspace, request.charge, at)
        wait_s = self.quotas.take(permit_request.workspace, request.charge, at)
        if wait_s > 0:
            return Refusal(RefusalReason.OVER_QUOTA, wait_s)
        if request.repeats and not self.retries.try_repeat(permit_request.service, at):
            self.quotas.refund(permit_request.workspace, request.charge, at)
            return Refusal(RefusalReason.RETRY_BUDGET, MIN_RETRY_AFTER_S)
        if not request.repeats:
            self.retries.record_first(permit_request.service, at)
        return None

    def refund(self, request: PlaceRequest, admitted_at: float) -> None:
        """Return what a request that is not placed was charged to the shared limits."""
        self.quotas.refund(request.ask.workspace, request.charge, admitted_at)
        if request.repeats:
            self.retries.refund_repeat(request.ask.service)

    def try_place(self, request: PlaceRequest, at: float) -> Assignment | None:
        """Place an admitted request if a slot is free and no waiter precedes it."""
        if self._is_preceded(request.ask, at):
            return None
        only_limited = not self._leaves_slots_free(request.ask, at)
        if only_limited and not self.fleet.capacity.free_limited(
            request.ask.service, at
        ):
            return None
        load = self.fleet.choice.choose(
            request,
            at,
            only_limited=only_limited,
            awaited=self._awaited_versions(request.ask.service),
        )
        if load is None:
            return None
        self._record_start(request.ask, at)
        return self.fleet.begin(request, load, at, at)

    def _is_preceded(self, permit_request: PermitRequest, at: float) -> bool:
        """Return whether a waiter goes first that doesn't wait to run in isolation."""
        queue = self._queues.get(permit_request.service)
        if not queue:
            return False
        if permit_request.version is not None:
            return bool(queue.awaiting(permit_request.version))
        pos = self.waits.position_in_time(permit_request)
        if not queue.ahead_of(pos):
            return False
        if self.fleet.crash_detector.evidence.is_empty:
            return True
        return any(
            waiter.version is None
            and waiter.position <= pos
            and self._is_unrestricted(waiter, at)
            for waiter in queue.waiters()
        )

    def late_first_event_s(self, request: PlaceRequest, at: float) -> float | None:
        """Return the expected time to the first event if it misses its target here.

        None if the target is met, if no server is free, or without a prompt.
        """
        if not request.ask.size.prompt_tokens:
            return None
        target_s = IN_TIME_SHARE * request.ask.first_token_target_s
        return self.fleet.choice.fastest_first_event_s(request, target_s, at)

    def enqueue(
        self, request: PlaceRequest, admitted_at: float, at: float
    ) -> Waiter | Refusal:
        """Queue an admitted request, or refuse it if too many late ones are queued."""
        permit_request = request.ask
        queue = self._queue_of(permit_request.service)
        run_s = self.fleet.choice.median_run_s(permit_request)
        waiter = Waiter(
            request,
            admitted_at=admitted_at,
            arrived_at=at,
            in_time_until=at + request.in_time_s,
            expires_at=at + request.max_wait_s,
            run_s=run_s,
            is_short=self.waits.is_short(permit_request.service, run_s),
        )
        if permit_request.version is not None:
            return self._enqueue_continued(queue, waiter, at)
        if not self.fleet.pool.serves(permit_request.service):
            self._add(queue, waiter)
            return waiter
        wait_s = self.waits.expected_s(waiter, at)
        waiter.late = wait_s > request.in_time_s
        if self._is_fair and self._waits_in_vain(waiter, wait_s, at):
            return self._refuse_early(waiter, at)
        if waiter.late and not self._has_late_capacity(queue, waiter):
            self.refund(request, admitted_at)
            return Refusal(
                RefusalReason.OVERLOADED, self.waits.retry_after_s(waiter, at)
            )
        self._add(queue, waiter)
        return waiter

    def _waits_in_vain(self, waiter: Waiter, wait_s: float, at: float) -> bool:
        """Return whether a request is expected to wait longer than it may."""
        if waiter.late:
            service = waiter.request.ask.service
            slots = self.fleet.capacity.usable_slots(service)
            late_s = self._queue_of(service).late_wait_s(waiter, slots, at)
            wait_s = max(wait_s, late_s)
        return wait_s > waiter.request.max_wait_s

    def _refuse_early(self, waiter: Waiter, at: float) -> Refusal:
        """Refuse a request that is expected to wait longer than it may."""
        self._refused_early[waiter.request.ask.service] += 1
        self.refund(waiter.request, waiter.admitted_at)
        retry_s = self.waits.retry_after_s(waiter, at)
        return Refusal(RefusalReason.OVERLOADED, retry_s)

    def _enqueue_continued(
        self, queue: Queue, waiter: Waiter, at: float
    ) -> Waiter | Refusal:
        """Queue a request that continues a stream, unless its wait is in vain."""
        if self._is_version_gone(waiter):
            self.refund(waiter.request, waiter.admitted_at)
            return VERSION_GONE
        is_here = self.fleet.choice.may_run(waiter.request.ask)
        wait_s = self.waits.expected_s(waiter, at)
        if is_here and wait_s > waiter.request.max_wait_s:
            self.refund(waiter.request, waiter.admitted_at)
            retry_s = self.waits.retry_after_s(waiter, at)
            return Refusal(RefusalReason.OVERLOADED, retry_s)
        self._add(queue, waiter)
        return waiter

    def _is_version_gone(self, waiter: Waiter) -> bool:
        """Return whether no server is left of the version that began a stream."""
        permit_request = waiter.request.ask
        if permit_request.version is None or self.fleet.choice.may_run(permit_request):
            return False
        return not self.may_go_on(permit_request)

    def end(self, run_id: str, report: RunReport, at: float) -> bool:
        """End a run, or remove a request from the queue.

        Returns whether a slot became free.
        """
        waiter = self._waiters.get(run_id)
        if waiter is not None:
            self._remove(waiter)
            self.refund(waiter.request, waiter.admitted_at)
        return self.fleet.end(run_id, report, at)

    def place_waiters(
        self, at: float, most_passed: float = math.inf
    ) -> list[tuple[Waiter, Assignment]]:
        """Place the waiters for which a slot is free.

        It ends for a service after `most_passed` waiters that none of the free servers
        may run now.
        """
        placed = []
        for service, queue in self._queues.items():
            if queue.head() is not None and self._has_free(service, queue, at):
                placed += self._place_waiters_of(service, queue, at, most_passed)
        return placed

    def place_first_waiters(self, at: float) -> list[tuple[Waiter, Assignment]]:
        """Place waiters after a change that concerns few of them.

        `place_waiters` is called periodically for those behind waiters that have to
        wait for other servers.
        """
        return self.place_waiters(at, MAX_PASSED)

    def _has_free(self, service: str, queue: Queue, at: float) -> bool:
        """Return whether a slot is free for any waiter.

        Streams may go on at versions that new requests may not use.
        """
        if self.fleet.capacity.has_free(service, at):
            return True
        return any(
            self.fleet.capacity.free(service, at, version)
            for version in queue.awaited_versions
        )

    def expire_waiters(self, at: float) -> list[tuple[Waiter, Refusal]]:
        """Refuse expired and excess late waiters, and end runs past their timeout."""
        refused = self._quarantine_waiters(at)
        for waiter in list(self._waiters.values()):
            if waiter.version is not None and self._is_version_gone(waiter):
                refused.append((waiter, self._expire(waiter, at)))
            elif waiter.expires_at <= at:
                if self._awaits_coordinator(waiter, at):
                    continue
                refused.append((waiter, self._expire(waiter, at)))
            elif not waiter.late and waiter.in_time_until <= at:
                self._mark_late(waiter)
        for service, queue in self._queues.items():
            if not self.fleet.pool.serves(service):
                continue
            capacity = self.waits.late_capacity(service)
            while queue.late() > capacity:
                last = queue.last_late()
                refused.append((last, self._expire(last, at)))
        self.fleet.expire_runs(at)
        return refused

    def queue_heads(self, at: float) -> list[Waiter]:
        """Return the next unrestricted waiters of each service.

        They are the first that may run on any server, and of each software version the
        first that continues a stream.
        """
        return [
            head for queue in self._queues.values() for head in self._heads(queue, at)
        ]

    def _heads(self, queue: Queue, at: float) -> list[Waiter]:
        head = queue.head()
        if head is None:
            return []
        if not queue.awaited_versions and self._is_unrestricted(head, at):
            return [head]
        heads: dict[str | None, Waiter] = {}
        for waiter in queue.waiters():
            if waiter.version not in heads and self._is_unrestricted(waiter, at):
                heads[waiter.version] = waiter
        return list(heads.values())

    def _is_unrestricted(self, waiter: Waiter, at: float) -> bool:
        treatment = self.fleet.choice.treatment(waiter.request.ask, at)
        return treatment is Treatment.UNRESTRICTED

    def requeue(self, waiter: Waiter) -> None:
        """Return a removed waiter to its position in the queue."""
        queue = self._queues[waiter.request.ask.service]
        self._add(queue, replace(waiter, removed=False))

    def dequeue(self, run_id: str) -> bool:
        """Remove a waiter for another domain; return whether it was queued.

        The room held for it stays for a moment, as it returns if it isn't placed there.
        """
        waiter = self._waiters.get(run_id)
        if waiter is not None:
            self._remove(waiter)
        return waiter is not None

    def _leaves_slots_free(self, permit_request: PermitRequest, at: float) -> bool:
        """Return whether a request leaves the slots free that others may need."""
        if permit_request.version is not None:
            return True
        service = permit_request.service
        kept = self.fleet.capacity.kept_free(service, permit_request.rank, at)
        if not kept:
            return True
        free = self.fleet.capacity.free(service, at) - self.fleet.capacity.free_limited(
            service, at
        )
        return free > kept

    def _awaited_versions(self, service: str) -> frozenset[str]:
        queue = self._queues.get(service)
        return queue.awaited_versions if queue is not None else frozenset()

    def _place_waiters_of(
        self, service: str, queue: Queue, at: float, most_passed: float
    ) -> list[tuple[Waiter, Assignment]]:
        placed = []
        passed = 0
        limited = self.fleet.capacity.free_limited(service, at)
        free = self.fleet.capacity.free(service, at) - limited
        kept = {
            rank: self.fleet.capacity.kept_free(service, rank, at)
            for rank in self.fleet.runs.ranks(service)
        }
        for waiter in queue.waiters():
            if free <= 0 and limited <= 0 and waiter.version is None:
                if not queue.awaited_versions:
                    break
                continue
            only_limited = waiter.version is None and free <= kept.get(waiter.rank, 0)
            if only_limited and limited <= 0:
                continue
            load = self.fleet.choice.choose(
                waiter.request,
                at,
                at - waiter.arrived_at,
                only_limited=only_limited,
                awaited=queue.awaited_versions,
            )
            if load is None:
                passed += 1
                if passed >= most_passed:
                    break
                continue
            if self.fleet.pacing.is_limited(load.instance):
                limited -= 1
            else:
                free -= 1
            self._record_start(waiter.request.ask, at, late=waiter.late)
            self._remove(waiter)
            assignment = self.fleet.begin(waiter.request, load, at, waiter.arrived_at)
            placed.append((waiter, assignment))
            if waiter.version is not None and not self.fleet.rollouts.is_empty:
                # The stream may have gone on at a version closed to new requests.
                limited = self.fleet.capacity.free_limited(service, at)
                free = self.fleet.capacity.free(service, at) - limited
        return placed

    def _queue_of(self, service: str) -> Queue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = FairQueue() if self._is_fair else Queue()
        return queue

    def _record_start(
        self, permit_request: PermitRequest, at: float, *, late: bool = False
    ) -> None:
        """Charge a run to its workspace's share, also if it didn't wait."""
        if self._is_fair:
            run_s = self.fleet.choice.median_run_s(permit_request)
            queue = self._queue_of(permit_request.service)
            queue.record_start(permit_request, run_s, at, late=late)

    def _add(self, queue: Queue, waiter: Waiter) -> None:
        queue.add(waiter)
        self._waiters[waiter.request.run_id] = waiter

    def _remove(self, waiter: Waiter) -> None:
        self._queues[waiter.request.ask.service].remove(waiter)
        self._waiters.pop(waiter.request.run_id, None)

    def _remove_unplaced(self, waiter: Waiter) -> None:
        """Remove a waiter that is refused, with the room held for it."""
        self._remove(waiter)
        self.fleet.token_memory.release(waiter.request.run_id)

    def _expire(self, waiter: Waiter, at: float) -> Refusal:
        self._remove_unplaced(waiter)
        self.refund(waiter.request, waiter.admitted_at)
        service = waiter.request.ask.service
        if self._is_version_gone(waiter):
            return VERSION_GONE
        if not self.fleet.pool.serves(service):
            reason = RefusalReason.NO_BACKEND_SERVER
            if self.is_known(service):
                reason = RefusalReason.TIMED_OUT
            return Refusal(reason, MIN_RETRY_AFTER_S)
        return Refusal(RefusalReason.TIMED_OUT, self.waits.retry_after_s(waiter, at))

    def _awaits_coordinator(self, waiter: Waiter, at: float) -> bool:
        """Return whether a waiter stays until another domain has a coordinator again.

        It leaves its caller time for a retry.
        """
        permit_request = waiter.request.ask
        if self.fleet.pool.serves(permit_request.service, permit_request.version):
            return False
        wait_s = min(CHANGE_WAIT_SHARE * permit_request.timeout_s, MAX_CHANGE_WAIT_S)
        return at < waiter.arrived_at + wait_s and self.is_changing(
            permit_request.service
        )

    def _quarantine_waiters(self, at: float) -> list[tuple[Waiter, Refusal]]:
        """Refuse the waiters whose content has been convicted since they came."""
        version = self.fleet.crash_detector.evidence.version
        if version == self._evidence_version:
            return []
        self._evidence_version = version
        convicted = [
            waiter
            for waiter in self._waiters.values()
            if self.fleet.choice.treatment(waiter.request.ask, at) is Treatment.REFUSED
        ]
        for waiter in convicted:
            self._remove_unplaced(waiter)
            self.refund(waiter.request, waiter.admitted_at)
        return [(waiter, QUARANTINED) for waiter in convicted]

    def _mark_late(self, waiter: Waiter) -> None:
        """Move a waiter that missed its deadline behind those still in time."""
        self._remove(waiter)
        queue = self._queues[waiter.request.ask.service]
        self._add(queue, replace(waiter, late=True, removed=False))

    def _has_late_capacity(self, queue: Queue, waiter: Waiter) -> bool:
        """Return whether a late waiter may queue.

        It may exceed the capacity if a less urgent late waiter is queued, which
        `expire_waiters` then refuses.
        """
        if queue.late() < self.waits.late_capacity(waiter.request.ask.service):
            return True
        return queue.may_displace(waiter)
