"""Runs an allocator for whoever asks: this entry, or all of its domain."""

import asyncio
import math
import secrets

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.config.route_source import RouteSource
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.registry_wire import ServerRecord
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.placing.allocator import Allocator
from fuchsiacroft.placing.fleet import Assignment
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.messages import (
    FirstEvent,
    HeldRun,
    NotPlaced,
    Ping,
    Placed,
    PlaceRequest,
    Pong,
    RunEnded,
    SpillRequest,
)
from fuchsiacroft.placing.neighbours import Neighbours
from fuchsiacroft.placing.queue import Waiter
from fuchsiacroft.placing.turns import Outcome, Turns
from fuchsiacroft.routing.permits import Refusal, RefusalReason, RunReport
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.rate_limited_log import RateLimitedLog
from fuchsiacroft.utils.tasks import BackgroundTasks

TICK_S = 0.02
"""How late a waiter may be given up, or a server that was set aside be used."""
IDLE_TICK_S = 0.25
"""While nobody waits, how often runs are looked at whose end was never told."""
EPOCH_BYTES = 6
REFUSAL_LINES = 50
"""Refusals that are logged in a second; a flood of them has one cause."""
LEAST_WAIT_ELSEWHERE_S = 0.05
"""Two ways there and back between domains; a shorter wait is not worth the way."""
NO_ROOM = Refusal(RefusalReason.OVERLOADED, 0.0)


class Coordinator(Service):
    """Answers requests for places, from this entry and from others.

    Every entry runs one for the backend servers of its failure domain; the
    entries of the domain agree by `Placer` on whose they ask.
    """

    name = "coordinator"

    def __init__(self, settings: Settings, limits: SharedLimits) -> None:
        self.epoch = secrets.token_hex(EPOCH_BYTES)
        self.allocator = Allocator(limits)
        self._node = settings.node
        self._peers = settings.addresses.peers
        self._domain = settings.failure_domain
        self._turns = Turns()
        self._version = 0
        self._refusals = RateLimitedLog("place_refused", REFUSAL_LINES)
        self.pinged_at = -math.inf
        self._tasks = BackgroundTasks("coordinator")

    async def start(self, kernel: Kernel) -> None:
        """Answer the other entries."""
        self._tables = kernel.get("route_table", RouteSource)
        self._neighbours = kernel.get("neighbours", Neighbours)
        bus = kernel.get("bus", Bus)
        bus.register_handler(PlaceRequest, self._on_request)
        bus.register_handler(SpillRequest, self._on_spill)
        bus.register_handler(FirstEvent, self._on_first_event)
        bus.register_handler(RunEnded, self._on_ended)
        bus.register_handler(Ping, self._on_ping)
        roster = kernel.get("roster", Roster)
        roster.on_servers_change(self._on_servers)
        self._on_servers(roster.servers())
        self._neighbours.tell_of(self.allocator)
        self._neighbours.on_room = self._spill_waiters
        self._tasks.spawn_critical(self._tick(), "coordinator-tick")

    async def stop(self) -> None:
        """End the background task."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the allocator's state."""
        return {"epoch": self.epoch, **self.allocator.dump()}

    async def place(self, request: PlaceRequest) -> Outcome:
        """Return a place, or why there is none, after a wait if need be."""
        self._note_table()
        admitted_at = now()
        refusal = self.allocator.admit(request, admitted_at)
        if refusal is not None:
            return self._refused(request, refusal)
        place = self.allocator.place_now(request, admitted_at)
        if place is not None:
            return Ok(self._placed(place))
        spilled = await self._neighbours.spill(request)
        if spilled is not None:
            return Ok(spilled)
        decision = self.allocator.wait(request, admitted_at, now())
        if isinstance(decision, Refusal):
            return self._refused(request, decision)
        if self._may_wait_elsewhere(decision):
            return await self._first_turn_of(decision)
        return await self._turn_of(request.run_id)

    def mark_prefilled(self, run_id: str) -> None:
        """Note that the prompt of a run has been read."""
        self.allocator.fleet.mark_prefilled(run_id)

    def end(self, run_id: str, report: RunReport) -> None:
        """End a run, or forget a request that waits."""
        self.allocator.end(run_id, report, now())
        self._turns.withdraw(run_id)
        self._serve()

    def adopt(self, runs: tuple[HeldRun, ...]) -> None:
        """Count runs that another coordinator gave places to."""
        for held in runs:
            self.allocator.fleet.adopt(held, now())

    async def _turn_of(self, run_id: str, *, is_guest: bool = False) -> Outcome:
        fut = self._turns.begin(run_id, is_guest=is_guest)
        self._serve()
        try:
            return await fut
        finally:
            self._turns.forget(run_id)

    def _may_wait_elsewhere(self, waiter: Waiter) -> bool:
        """Tell whether a turn here comes late, and one elsewhere perhaps before."""
        return (
            waiter.request.in_time_s > LEAST_WAIT_ELSEWHERE_S
            and self.allocator.expected_wait_s(waiter) > LEAST_WAIT_ELSEWHERE_S
            and self._neighbours.has_less_urgent(waiter.request.ask)
        )

    async def _first_turn_of(self, waiter: Waiter) -> Outcome:
        """Wait here and in another domain; take the place that comes first."""
        elsewhere = self._tasks.spawn(self._wait_elsewhere(waiter), "wait-elsewhere")
        try:
            return await self._turn_of(waiter.request.run_id)
        finally:
            elsewhere.cancel()

    async def _wait_elsewhere(self, waiter: Waiter) -> None:
        request = waiter.request
        wait_s = waiter.in_time_until - now()
        placed = await self._neighbours.wait_in_other_domain(request, wait_s)
        if placed is None:
            return
        # One that is no longer in the queue is being sent to a third domain.
        if self.allocator.dequeue(request.run_id):
            self._turns.settle(request.run_id, Ok(placed))
        else:
            self._neighbours.cancel(placed)

    def _spill_waiters(self) -> None:
        """Send who waits here to domains that have room."""
        for service in self.allocator.services_with_waiters():
            if self._neighbours.has_room(service):
                waiter = self.allocator.pop_head(service)
                if waiter is not None:
                    self._tasks.spawn(self._spill_waiter(waiter), "spill-waiter")

    async def _spill_waiter(self, waiter: Waiter) -> None:
        run_id = waiter.request.run_id
        placed = await self._neighbours.spill(waiter.request)
        if not self._turns.awaits(run_id):
            # The request was given up meanwhile; its place is given back.
            self.allocator.refund_quota(waiter.request, waiter.admitted_at)
            if placed is not None:
                self._neighbours.cancel(placed)
        elif placed is not None:
            self._turns.settle(run_id, Ok(placed))
        else:
            self.allocator.requeue(waiter)
            self._serve()

    def _placed(self, place: Assignment) -> Placed:
        return Placed(
            place.run_id, place.backend_server, place.address, self._node, self._peers
        )

    def _given_up(self, request: PlaceRequest, refusal: Refusal) -> Outcome:
        """Return a refusal; that of a guest decides nothing and is not logged."""
        if self._turns.is_guest(request.run_id):
            return Error(refusal)
        return self._refused(request, refusal)

    def _refused(self, request: PlaceRequest, refusal: Refusal) -> Outcome:
        ask = request.ask
        seen = self.allocator.pressure(ask, now())
        self._refusals.event(
            request_id=ask.request_id,
            run_id=request.run_id,
            reason=refusal.reason.value,
            service=ask.service,
            workspace=ask.workspace,
            rank=ask.rank,
            units=request.charge,
            in_time_s=round(request.in_time_s, 3),
            retry_after_s=round(refusal.retry_after_s, 3),
            free=seen.free,
            slots=seen.slots,
            waiting=seen.waiting,
            late=seen.late,
            expected_wait_s=round(seen.expected_wait_s, 3),
            units_left=f"{seen.units_left:.0f}",
        )
        return Error(refusal)

    def _note_table(self) -> None:
        table = self._tables.table
        if table is not None and table.version != self._version:
            self._version = table.version
            self.allocator.set_table(table)

    def _on_servers(self, records: tuple[ServerRecord, ...]) -> None:
        near = [
            record
            for record in records
            if record.announcement.failure_domain == self._domain
        ]
        self.allocator.fleet.replace_servers(near, now())
        self._serve()

    async def _tick(self) -> None:
        while True:
            await self._turns.some(IDLE_TICK_S)
            await asyncio.sleep(TICK_S)
            for waiter, refusal in self.allocator.expire_waiters(now()):
                outcome = self._given_up(waiter.request, refusal)
                self._turns.settle(waiter.request.run_id, outcome)
            self._serve()

    def _serve(self) -> None:
        for waiter, place in self.allocator.place_waiters(now()):
            self._turns.settle(waiter.request.run_id, Ok(self._placed(place)))

    async def _on_request(
        self, sender: str, msg: PlaceRequest
    ) -> Placed | NotPlaced | None:
        match await self.place(msg):
            case Result(tag="ok", ok=placed):
                return placed
            case Result(error=refusal):
                return NotPlaced(refusal)

    async def _on_spill(self, sender: str, msg: SpillRequest) -> Placed | NotPlaced:
        place = self.allocator.place_now(msg.request, now())
        if place is not None:
            return self._placed(place)
        if msg.wait_s > 0:
            return await self._turn_of_guest(msg)
        return NotPlaced(NO_ROOM)

    async def _turn_of_guest(self, msg: SpillRequest) -> Placed | NotPlaced:
        """Let another domain's request wait; its quota is counted there."""
        wait_s = msg.wait_s
        request = msgspec.structs.replace(
            msg.request, charge=0.0, in_time_s=wait_s, max_wait_s=wait_s
        )
        decision = self.allocator.wait(request, now(), now())
        if isinstance(decision, Refusal):
            return NotPlaced(NO_ROOM)
        outcome = await self._turn_of(request.run_id, is_guest=True)
        return outcome.ok if outcome.is_ok() else NotPlaced(NO_ROOM)

    async def _on_first_event(self, sender: str, msg: FirstEvent) -> None:
        self.mark_prefilled(msg.run_id)

    async def _on_ended(self, sender: str, msg: RunEnded) -> None:
        self.end(msg.run_id, msg.report)

    async def _on_ping(self, sender: str, msg: Ping) -> Pong:
        self.pinged_at = now()
        self.adopt(msg.runs)
        return Pong(self.epoch, self.allocator.quotas.spent(now()))


def create(settings: Settings, limits: SharedLimits) -> Coordinator:
    """Return the coordinator of an entry."""
    return Coordinator(settings, limits)
