"""Runs an allocator for this entry or for all entries of its failure domain."""

import asyncio
import math
import secrets
from collections.abc import Coroutine
from functools import partial
from typing import Any

import msgspec
from expression import Error, Ok

from fuchsiacroft.config.route_source import RouteSource
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.registry_wire import EntryRecord, ServerRecord
from fuchsiacroft.membership.reported_load import ReportedLoad
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.membership.server_starts import DEFAULT_HEARTBEAT_S
from fuchsiacroft.placing.allocator import Allocator
from fuchsiacroft.placing.fleet import Assignment
from fuchsiacroft.placing.limit_exchange import LimitExchange
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.messages import (
    MAX_HANDED_RUNS,
    FirstEvent,
    HandOver,
    HeldRun,
    NotPlaced,
    Ping,
    PlaceRequest,
    Pong,
    RunEnded,
    SlotAssignment,
    SpillRequest,
)
from fuchsiacroft.placing.neighbours import Neighbours
from fuchsiacroft.placing.pending import PendingPlacements, PlacementResult
from fuchsiacroft.placing.queue import Waiter
from fuchsiacroft.placing.served_domains import ServedDomains
from fuchsiacroft.placing.server_load import ServerLoad
from fuchsiacroft.placing.spending_exchange import SpendingExchange
from fuchsiacroft.quarantine.service import Quarantine
from fuchsiacroft.routing.learned_limit import LimitChange
from fuchsiacroft.routing.permits import (
    PermitRequest,
    Refusal,
    RefusalReason,
    RunReport,
)
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import lease_now, now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.rate_limited_log import RateLimitedLog
from fuchsiacroft.utils.tasks import BackgroundTasks

TICK_S = 0.02
"""Period of the check for expired waiters and for servers whose backoff has ended."""
IDLE_TICK_S = 0.25
"""Period of the check while no request waits; it ends runs past their timeout."""
EPOCH_BYTES = 6
MAX_REFUSALS_LOGGED = 20
"""Refusals logged per second; a flood of refusals has a single cause."""
MAX_LIMITS_LOGGED = 20
"""Changes of learned limits logged per second; a slow machine changes several."""
QUOTA_WAIT_SHARE = 0.5
"""Share of its in-time wait that a request waits for its workspace's quota."""
MIN_REMOTE_WAIT_S = 0.05
"""Two round trips between domains; forwarding costs more than a shorter wait."""
LEFT_PERIOD_S = 0.1
"""How often the units left to workspaces are worked out, for all entries that ask.

Entries ask several times a second, and there are many of them.
"""
NO_CAPACITY = Refusal(RefusalReason.OVERLOADED, 0.0)

Placing = PlacementResult | Coroutine[Any, Any, PlacementResult]
"""The placement of a request, or what waits for it."""
PlacementReply = SlotAssignment | NotPlaced


class Coordinator(Service):
    """Places requests of this entry and of others.

    Every entry runs one for the backend servers of its failure domain; `Placer`
    selects the one that all entries of the domain use. From a hand-over on, the ends
    of runs are passed on to `successor_peers`.
    """

    name = "coordinator"

    def __init__(
        self,
        settings: Settings,
        limits: SharedLimits,
        heartbeat_s: float = DEFAULT_HEARTBEAT_S,
    ) -> None:
        self.epoch = secrets.token_hex(EPOCH_BYTES)
        is_fair = settings.policies.share == "fair"
        self.allocator = Allocator(limits, is_fair=is_fair)
        self.allocator.fleet.starts.set_heartbeat_s(heartbeat_s)
        self.allocator.fleet.always_learns = settings.policies.slot_limit == "learned"
        self.allocator.fleet.on_limit_change = self._log_limit_change
        self._limit_log = RateLimitedLog("learned_limit_changed", MAX_LIMITS_LOGGED)
        self._node = settings.node
        self._peers = settings.addresses.peers
        self._served = ServedDomains(settings.failure_domain)
        self._pending = PendingPlacements()
        self._version = 0
        self._refusal_log = RateLimitedLog("place_refused", MAX_REFUSALS_LOGGED)
        self.pinged_at = -math.inf
        self.successor_peers = ""
        self._left: dict[str, float] = {}
        self._left_at = -math.inf
        self._tasks = BackgroundTasks("coordinator")

    async def start(self, kernel: Kernel) -> None:
        """Register message handlers and start the periodic task."""
        self._route_tables = kernel.get("route_table", RouteSource)
        self._neighbours = kernel.get("neighbours", Neighbours)
        self._bus = bus = kernel.get("bus", Bus)
        bus.register_handler(PlaceRequest, self._on_request)
        bus.register_handler(SpillRequest, self._on_spill)
        bus.register_handler(FirstEvent, self._on_first_event)
        bus.register_handler(RunEnded, self._on_ended)
        bus.register_handler(Ping, self._on_ping)
        quarantine = kernel.get("quarantine", Quarantine)
        self.allocator.fleet.crash_detector.evidence = quarantine.evidence
        self._roster = kernel.get("roster", Roster)
        self.limits = LimitExchange(bus, self._roster, self.allocator.fleet.pacing)
        self._roster.on_servers_change(self._on_servers)
        self.allocator.is_known = lambda service: bool(self._domains_with(service))
        self.allocator.may_go_on = self._may_go_on
        self.allocator.is_changing = self._is_changing
        self._on_servers(self._roster.servers())
        self.spending = SpendingExchange(
            bus, self._roster, self.allocator.quotas, self.epoch, self._tasks
        )
        self._neighbours.start_broadcast(self.allocator, self.spending)
        self._neighbours.on_capacity = self._spill_waiters
        self._tasks.spawn_repeated(self._tick, "coordinator-tick")

    async def stop(self) -> None:
        """Stop the background tasks."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the allocator's state and what workspaces spent of their quotas."""
        quotas = self.allocator.quotas.dump(now())
        return {"epoch": self.epoch, "quotas": quotas, **self.allocator.dump(now())}

    async def place(self, request: PlaceRequest) -> PlacementResult:
        """Place a request, waiting for a slot if necessary, or return a refusal."""
        return await _ended(self._begin_placing(request))

    def _begin_placing(self, request: PlaceRequest) -> Placing:
        """Place or refuse a request at once, or return what it has to wait for.

        A request whose quota is free again soon waits for it, as its caller's retry
        would come later and may be the last one.
        """
        self._refresh_route_table()
        self._refresh_clocks()
        refusal = self.allocator.admit(request, now())
        if refusal is None:
            return self._place_admitted(request)
        if refusal.reason is not RefusalReason.OVER_QUOTA:
            return self._refuse(request, refusal)
        if refusal.retry_after_s > QUOTA_WAIT_SHARE * request.in_time_s:
            return self._refuse(request, refusal)
        return self._place_with_quota(request, refusal.retry_after_s)

    async def _place_with_quota(
        self, request: PlaceRequest, wait_s: float
    ) -> PlacementResult:
        """Place a request once its quota is free again."""
        await asyncio.sleep(wait_s)
        refusal = self.allocator.admit(request, now())
        if refusal is not None:
            return self._refuse(request, refusal)
        return await _ended(self._place_admitted(request))

    def _place_admitted(self, request: PlaceRequest) -> Placing:
        """Place a request that was charged to the shared limits just now.

        A prompt that is too long for the engines here goes to another domain.
        """
        admitted_at = now()
        local_s = self.allocator.late_first_event_s(request, admitted_at)
        if local_s is not None:
            domain = self._neighbours.faster_domain(request.ask, local_s)
            if domain is not None:
                return self._place_on_faster_engine(request, domain, admitted_at)
        return self._place_here(request, admitted_at)

    async def _place_on_faster_engine(
        self, request: PlaceRequest, domain: str, admitted_at: float
    ) -> PlacementResult:
        placed = await self._neighbours.spill_to_faster(request, domain)
        if placed is not None:
            return Ok(placed)
        return await _ended(self._place_here(request, admitted_at))

    def _place_here(self, request: PlaceRequest, admitted_at: float) -> Placing:
        assignment = self.allocator.try_place(request, now())
        if assignment is not None:
            return Ok(self._placed(assignment))
        return self._place_without_slot(request, admitted_at)

    async def _place_without_slot(
        self, request: PlaceRequest, admitted_at: float
    ) -> PlacementResult:
        """Place a request in another domain, or queue it."""
        spilled = await self._neighbours.spill(request)
        if spilled is not None:
            return Ok(spilled)
        decision = self.allocator.enqueue(request, admitted_at, now())
        if isinstance(decision, Refusal):
            return self._refuse(request, decision)
        if self._may_wait_remotely(decision):
            return await self._wait_here_and_remotely(decision)
        return await self._wait_for_placement(request.run_id)

    def mark_prefilled(self, run_id: str) -> None:
        """Record that the prompt of a run has been prefilled."""
        self.allocator.fleet.mark_prefilled(run_id, now())

    def record_load(self, run_id: str, load: ReportedLoad, age_s: float) -> None:
        """Record what a run's server reported in its answer, some time ago."""
        self.allocator.fleet.record_load(run_id, load, now() - max(age_s, 0.0))

    def end(self, run_id: str, report: RunReport) -> None:
        """End a run, or remove a request from the queue."""
        has_freed_slot = self.allocator.end(run_id, report, now())
        self._pending.cancel(run_id)
        if has_freed_slot:
            self._place_waiters()

    def state(self, entry: EntryRecord) -> HandOver:
        """Return what a successor needs to know, from a coordinator that stops."""
        return HandOver(
            entry,
            self.allocator.quotas.spent(now()),
            self.limits.known(),
            self.allocator.fleet.held_runs()[:MAX_HANDED_RUNS],
            self.spending.report(),
        )

    def adopt(self, runs: tuple[HeldRun, ...]) -> None:
        """Count runs that another coordinator placed."""
        for held_run in runs:
            self.allocator.fleet.adopt(held_run, now())

    async def _wait_for_placement(
        self, run_id: str, *, is_remote: bool = False
    ) -> PlacementResult:
        fut = self._pending.add(run_id, is_remote=is_remote)
        self._place_waiters()
        try:
            return await fut
        finally:
            self._pending.discard(run_id)

    def _may_wait_remotely(self, waiter: Waiter) -> bool:
        """Return whether the wait is long here and may be shorter in another domain."""
        return (
            waiter.request.in_time_s > MIN_REMOTE_WAIT_S
            and self.allocator.waits.expected_s(waiter, now()) > MIN_REMOTE_WAIT_S
            and self._neighbours.would_be_next(waiter.request.ask)
        )

    async def _wait_here_and_remotely(self, waiter: Waiter) -> PlacementResult:
        """Wait here and in another domain; use the slot that becomes free first."""
        remote_wait = self._tasks.spawn(self._wait_remotely(waiter), "wait-elsewhere")
        try:
            return await self._wait_for_placement(waiter.request.run_id)
        finally:
            remote_wait.cancel()

    async def _wait_remotely(self, waiter: Waiter) -> None:
        request = waiter.request
        wait_s = waiter.in_time_until - now()
        placed = await self._neighbours.wait_in_other_domain(request, wait_s)
        if placed is None:
            return
        # A request that left the queue is being forwarded to a third domain.
        if self.allocator.dequeue(request.run_id):
            self._pending.resolve(request.run_id, Ok(placed))
        else:
            self._neighbours.cancel(placed)

    def _spill_waiters(self) -> None:
        """Forward waiters to domains with spare capacity."""
        for head in self.allocator.queue_heads(now()):
            if self._neighbours.has_capacity(head.request.ask):
                self.allocator.dequeue(head.request.run_id)
                self._tasks.spawn(self._spill_waiter(head), "spill-waiter")

    async def _spill_waiter(self, waiter: Waiter) -> None:
        run_id = waiter.request.run_id
        placed = await self._neighbours.spill(waiter.request)
        if not self._pending.is_pending(run_id):
            # The request timed out or was cancelled meanwhile; release its slot.
            self.allocator.refund(waiter.request, waiter.admitted_at)
            if placed is not None:
                self._neighbours.cancel(placed)
        elif placed is not None:
            self._pending.resolve(run_id, Ok(placed))
        else:
            self.allocator.requeue(waiter)
            self._place_waiters()

    def _placed(self, assignment: Assignment) -> SlotAssignment:
        return SlotAssignment(
            assignment.run_id,
            assignment.backend_server,
            assignment.address,
            self._node,
            self._peers,
            assignment.start,
            assignment.is_limited,
            assignment.version,
            assignment.is_start_certain,
            assignment.rollout,
            assignment.waited_s,
        )

    def _refuse_expired(
        self, request: PlaceRequest, refusal: Refusal
    ) -> PlacementResult:
        """Return a refusal; that of a remote request isn't final and isn't logged."""
        if self._pending.is_remote(request.run_id):
            return Error(refusal)
        return self._refuse(request, refusal)

    def _refuse(self, request: PlaceRequest, refusal: Refusal) -> PlacementResult:
        reports = self.allocator.reports
        self._refusal_log.event_with(
            partial(reports.refusal_fields, request, refusal, now())
        )
        return Error(refusal)

    def _refresh_clocks(self) -> None:
        """Relate the clocks, so that a VM that was suspended uses no old directive."""
        rollouts = self.allocator.fleet.rollouts
        if not rollouts.is_empty:
            rollouts.set_clocks(now(), lease_now())

    def _log_limit_change(self, load: ServerLoad, change: LimitChange) -> None:
        self._limit_log.event(
            backend_server=load.name,
            reason=change.reason,
            before=round(change.before, 2),
            after=round(change.after, 2),
            slots=load.slots,
            load=change.load,
            ratio=round(change.ratio, 2),
            slowness=round(load.learning.slowness(now()), 2),
        )

    def _refresh_route_table(self) -> None:
        table = self._route_tables.table
        if table is not None and table.version != self._version:
            self._version = table.version
            self.allocator.set_route_table(table)

    def _on_servers(self, records: tuple[ServerRecord, ...]) -> None:
        self.allocator.fleet.rollouts.set_servers(records, now())
        served = [
            record
            for record in records
            if self._served.serves(record.announcement.failure_domain)
        ]
        self.allocator.fleet.replace_servers(
            served, now(), self._served.adopted, self._roster.leaving_servers()
        )
        self._place_waiters()

    def _may_go_on(self, permit_request: PermitRequest) -> bool:
        """Return whether any domain has a server that may continue a stream."""
        return any(
            record.announcement.offers_service(
                permit_request.service, permit_request.version
            )
            for record in self._roster.servers()
            if record.name not in permit_request.avoid
            and self.allocator.fleet.rollouts.may_go_on(
                permit_request.service, record.name, permit_request.version
            )
        )

    def _domains_with(self, service: str) -> set[str]:
        """Return the failure domains whose servers offer a service."""
        return {
            record.announcement.failure_domain
            for record in self._roster.servers()
            if record.announcement.offers_service(service)
        }

    def _is_changing(self, service: str) -> bool:
        """Return whether a domain with servers of a service has stopped to report."""
        return any(
            self._neighbours.is_silent(domain) for domain in self._domains_with(service)
        )

    def _update_served_domains(self) -> None:
        """Adopt the backend servers of domains without entries, or return them."""
        records = self._roster.servers()
        has_changed = self._served.update(
            (record.announcement.failure_domain for record in records),
            (entry.failure_domain for entry in self._roster.entries()),
            now(),
        )
        if has_changed:
            adopted = ",".join(sorted(self._served.adopted)) or "-"
            event("info", "domains_adopted", domains=adopted)
            self._on_servers(records)

    async def _tick(self) -> None:
        self._update_served_domains()
        await self._pending.wait_for_any(IDLE_TICK_S)
        await asyncio.sleep(TICK_S)
        for waiter, refusal in self.allocator.expire_waiters(now()):
            outcome = self._refuse_expired(waiter.request, refusal)
            self._pending.resolve(waiter.request.run_id, outcome)
        self._refresh_clocks()
        self._resolve(self.allocator.place_waiters(now()))

    def _place_waiters(self) -> None:
        """Place the first waiters after a change; the periodic task looks at all."""
        self._refresh_clocks()
        self._resolve(self.allocator.place_first_waiters(now()))

    def _resolve(self, placed: list[tuple[Waiter, Assignment]]) -> None:
        for waiter, assignment in placed:
            self._pending.resolve(waiter.request.run_id, Ok(self._placed(assignment)))

    def _on_request(
        self, sender: str, msg: PlaceRequest
    ) -> PlacementReply | Coroutine[Any, Any, PlacementReply]:
        placing = self._begin_placing(msg)
        if asyncio.iscoroutine(placing):
            return _reply_later(placing)
        return _reply(placing)

    async def _on_spill(
        self, sender: str, msg: SpillRequest
    ) -> SlotAssignment | NotPlaced:
        self._refresh_clocks()
        assignment = self.allocator.try_place(msg.request, now())
        if assignment is not None:
            return self._placed(assignment)
        if msg.wait_s > 0:
            return await self._enqueue_remote(msg)
        return NotPlaced(NO_CAPACITY)

    async def _enqueue_remote(self, msg: SpillRequest) -> SlotAssignment | NotPlaced:
        """Queue another domain's request; that domain charges its quota."""
        wait_s = msg.wait_s
        request = msgspec.structs.replace(
            msg.request, charge=0.0, in_time_s=wait_s, max_wait_s=wait_s
        )
        decision = self.allocator.enqueue(request, now(), now())
        if isinstance(decision, Refusal):
            return NotPlaced(NO_CAPACITY)
        outcome = await self._wait_for_placement(request.run_id, is_remote=True)
        return outcome.ok if outcome.is_ok() else NotPlaced(NO_CAPACITY)

    def _on_first_event(self, sender: str, msg: FirstEvent) -> None:
        if msg.load is not None:
            self.record_load(msg.run_id, msg.load, msg.load_age_s)
        self.mark_prefilled(msg.run_id)

    def _on_ended(self, sender: str, msg: RunEnded) -> None:
        if msg.load is not None:
            self.record_load(msg.run_id, msg.load, msg.load_age_s)
        self.end(msg.run_id, msg.report)
        if self.successor_peers:
            # The successor counts the runs that were handed over to it.
            self._bus.send(self.successor_peers, msg)

    def _on_ping(self, sender: str, msg: Ping) -> Pong:
        self.pinged_at = now()
        self._refresh_clocks()
        self.adopt(msg.runs)
        self.limits.merge(msg.limits, sender)
        self.allocator.quotas.earlier.replace_apart(msg.node, msg.spent, now())
        return Pong(
            self.epoch,
            limits=self.limits.known(),
            left=self._units_left(),
            directives=self.allocator.fleet.rollouts.directives(now()),
        )

    def _units_left(self) -> dict[str, float]:
        """Return what workspaces with few units left may spend, as of lately."""
        if now() >= self._left_at + LEFT_PERIOD_S:
            self._left = self.allocator.quotas.left(now())
            self._left_at = now()
        return self._left


async def _ended(placing: Placing) -> PlacementResult:
    """Wait until a request was placed or refused, if it wasn't at once."""
    return await placing if asyncio.iscoroutine(placing) else placing


async def _reply_later(placing: Coroutine[Any, Any, PlacementResult]) -> PlacementReply:
    return _reply(await placing)


def _reply(outcome: PlacementResult) -> PlacementReply:
    return outcome.ok if outcome.is_ok() else NotPlaced(outcome.error)


def create(
    settings: Settings,
    limits: SharedLimits,
    heartbeat_s: float = DEFAULT_HEARTBEAT_S,
) -> Coordinator:
    """Return the coordinator of an entry; `heartbeat_s` is that of backend servers."""
    return Coordinator(settings, limits, heartbeat_s)
