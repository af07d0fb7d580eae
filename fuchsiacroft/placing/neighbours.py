"""Exchanges load reports among the coordinators of a region's failure domains.

Each coordinator periodically reports its domain's spare capacity and the demand of
its workspaces. The coordinators use the reports to divide quotas, and to forward
requests to a domain with spare capacity when their own has none.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable
from functools import partial

from expression import Result

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.placing.allocator import Allocator
from fuchsiacroft.placing.coordinators import DomainCoordinators
from fuchsiacroft.placing.messages import (
    DomainLoad,
    PlaceRequest,
    RunEnded,
    SlotAssignment,
    SpillRequest,
)
from fuchsiacroft.placing.neighbour import Neighbour
from fuchsiacroft.placing.shares import Shares
from fuchsiacroft.placing.spending_exchange import SpendingExchange
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

BROADCAST_PERIOD_S = 0.03
"""A free slot may stay idle this long while requests wait in other domains."""
IDLE_PERIOD_S = 0.2
"""How soon an entry that becomes coordinator sends its first report."""
SPILL_TIMEOUT_S = 0.08
"""Several round trips within a region; the retransmission of a lost packet takes
longer. A request queued in another domain is answered at most this long after its
wait."""
FASTER_SHARE = 0.7
"""A request goes to another domain's engine if its first event comes in this share of
the time that the engines here need."""
BACKOFF_S = 1.0
"""How long no requests are sent to a domain that did not respond."""


class Neighbours(Service):
    """The other failure domains, as seen by the coordinator of one."""

    name = "neighbours"

    def __init__(self, settings: Settings) -> None:
        self._node = settings.node
        self._domain = settings.failure_domain
        self._neighbours: dict[str, Neighbour] = {}
        self._random = random.Random()
        self._tasks = BackgroundTasks("neighbours")
        self.shares = Shares()
        self.is_coordinator: Callable[[], bool] = lambda: False
        self.is_acting: Callable[[], bool] = lambda: False
        self._woken = asyncio.Event()
        self.on_capacity: Callable[[], None] = lambda: None

    async def start(self, kernel: Kernel) -> None:
        """Register the handler of the other coordinators' reports."""
        self._bus = kernel.get("bus", Bus)
        self._roster = kernel.get("roster", Roster)
        self._coordinators = DomainCoordinators(self._roster)
        self._bus.register_handler(DomainLoad, self._on_load)

    async def stop(self) -> None:
        """Stop sending reports."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the spare capacity of the other domains and the age of the reports."""
        return {
            domain: {
                "rooms": {
                    name: capacity.free
                    for name, capacity in neighbour.capacities.items()
                },
                "age_s": round(now() - neighbour.received_at, 3),
            }
            for domain, neighbour in self._neighbours.items()
        }

    def start_broadcast(self, allocator: Allocator, spending: SpendingExchange) -> None:
        """Report an allocator's load while this entry is its domain's coordinator."""
        self._spending = spending
        self._tasks.spawn_repeated(
            partial(self._broadcast_if_due, allocator), "neighbours-broadcast"
        )

    def wake(self) -> None:
        """Report at once, as this entry has become the coordinator."""
        self._woken.set()

    def is_silent(self, domain: str) -> bool:
        """Return whether the reports of another domain have stopped lately."""
        neighbour = self._neighbours.get(domain)
        return neighbour is not None and neighbour.is_silent(now())

    def has_capacity(self, permit_request: PermitRequest) -> bool:
        """Return whether another domain has spare capacity for a request."""
        return self._domain_with_capacity(permit_request) is not None

    async def spill(self, request: PlaceRequest) -> SlotAssignment | None:
        """Place a request on a free slot of another domain; return None on failure."""
        domain = self._domain_with_capacity(request.ask)
        if domain is None:
            return None
        self._neighbours[domain].record_sent(request.ask.service, request.ask.version)
        return await self._request_spill(domain, SpillRequest(request))

    def faster_domain(
        self, permit_request: PermitRequest, local_s: float
    ) -> str | None:
        """Return the domain where a first event comes much sooner, None without one."""
        return self._faster_domain(permit_request, FASTER_SHARE * local_s)

    async def spill_to_faster(
        self, request: PlaceRequest, domain: str
    ) -> SlotAssignment | None:
        """Place a request in a domain where its first event comes much sooner.

        Returns None if that domain has no slot.
        """
        self._neighbours[domain].record_sent(request.ask.service)
        return await self._request_spill(domain, SpillRequest(request))

    async def wait_in_other_domain(
        self, request: PlaceRequest, wait_s: float
    ) -> SlotAssignment | None:
        """Queue a request in a domain whose waiters are all less urgent.

        Returns its slot assignment, or None if it was not placed.
        """
        permit_request = request.ask
        domain = self._domain_with_less_urgent(permit_request)
        if domain is None:
            return None
        self._neighbours[domain].record_waiter(
            permit_request.service, permit_request.rank
        )
        return await self._request_spill(domain, SpillRequest(request, wait_s))

    def would_be_next(self, permit_request: PermitRequest) -> bool:
        """Return whether a request would head the queue of another domain."""
        return self._domain_with_less_urgent(permit_request) is not None

    async def _request_spill(
        self, domain: str, spill: SpillRequest
    ) -> SlotAssignment | None:
        run_id = spill.request.run_id
        neighbour = self._neighbours[domain]
        peers = neighbour.peers
        if not peers:
            return None
        try:
            reply = await self._bus.request(
                peers, spill, spill.wait_s + SPILL_TIMEOUT_S
            )
        except asyncio.CancelledError:
            self._cancel(run_id, peers)
            raise
        match reply:
            case Result(tag="ok", ok=SlotAssignment() as placed):
                return placed
            case Result(tag="ok"):
                permit_request = spill.request.ask
                neighbour.record_full(
                    permit_request.service, permit_request.rank, permit_request.version
                )
            case _:
                neighbour.backoff_until = now() + BACKOFF_S
                # The domain may have placed the request although its reply is missing.
                self._cancel(run_id, peers)
                event(
                    "info",
                    "neighbour_silent",
                    domain=domain,
                    coordinator=neighbour.coordinator,
                )
        return None

    def cancel(self, placed: SlotAssignment) -> None:
        """Release an unused slot of another domain."""
        self._cancel(placed.run_id, placed.coordinator_peers)

    def _cancel(self, run_id: str, coordinator_peers: str) -> None:
        unused = RunEnded(run_id, RunReport(RunOutcome.UNUSED))
        self._bus.send(coordinator_peers, unused)

    def _domain_with_capacity(self, permit_request: PermitRequest) -> str | None:
        """Return the domain with the most spare capacity for a request."""
        free_slots = {
            name: neighbour.free(
                permit_request.service, permit_request.rank, permit_request.version
            )
            for name, neighbour in self._usable()
        }
        best = max(free_slots, key=free_slots.get, default=None)
        return best if best is not None and free_slots[best] > 0 else None

    def _faster_domain(
        self, permit_request: PermitRequest, limit_s: float
    ) -> str | None:
        """Return the fastest domain with a slot and a first event within a limit.

        A domain doesn't report the speed of each software version, so there is none for
        a request that continues a stream.
        """
        if permit_request.version is not None:
            return None
        service = permit_request.service
        tokens = permit_request.size.prompt_tokens
        times = {
            name: neighbour.first_event_s(service, tokens)
            for name, neighbour in self._usable()
            if neighbour.free(service, permit_request.rank) > 0
        }
        best = min(times, key=times.get, default=None)
        return best if best is not None and times[best] <= limit_s else None

    def _domain_with_less_urgent(self, permit_request: PermitRequest) -> str | None:
        """Return the domain with the least urgent queue head that would be preceded."""
        ranks = {}
        for name, neighbour in self._usable():
            rank = neighbour.less_urgent_rank(
                permit_request.service, permit_request.rank, permit_request.version
            )
            if rank is not None:
                ranks[name] = rank
        return max(ranks, key=ranks.get, default=None)

    def _usable(self) -> list[tuple[str, Neighbour]]:
        at = now()
        return [
            (name, neighbour)
            for name, neighbour in self._neighbours.items()
            if neighbour.is_usable(at)
        ]

    async def _broadcast_if_due(self, allocator: Allocator) -> None:
        """Wait for a period, and report if this entry acts for its domain."""
        reports = self.is_coordinator() or self.is_acting()
        await self._pause(BROADCAST_PERIOD_S if reports else IDLE_PERIOD_S)
        entries = self._roster.entries()
        domains = {entry.failure_domain for entry in entries} | {self._domain}
        self.shares.set_domains(max(len(domains), len(self._neighbours) + 1))
        if self.is_coordinator() or self.is_acting():
            self._broadcast(allocator, domains - {self._domain})

    async def _pause(self, period_s: float) -> None:
        """Wait for a period, or until woken."""
        self._woken.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(period_s * self._random.uniform(0.9, 1.1)):
                await self._woken.wait()

    def _broadcast(self, allocator: Allocator, domains: set[str]) -> None:
        at = now()
        demand = allocator.demand.rates(at)
        spent = allocator.quotas.spent(at)
        self.shares.update(spent, at)
        capacities = allocator.reports.capacities(at)
        load = DomainLoad(
            self._domain,
            capacities,
            spent,
            demand,
            self._roster.local_entry.peers,
            not self.is_coordinator(),
            is_partial=self._spending.is_partial,
        )
        if not load.is_acting:
            self._spending.send_if_due()
        for domain in domains:
            coordinator = self._coordinators.of(domain)
            if coordinator is not None:
                self._bus.send(coordinator.peers, load)

    def _on_load(self, sender: str, msg: DomainLoad) -> None:
        at = now()
        capacities = {capacity.service: capacity for capacity in msg.rooms}
        known = self._neighbours.get(msg.failure_domain)
        if msg.is_acting and known is not None and known.is_reported(at):
            return
        peers = msg.peers or self._coordinator_peers(msg.failure_domain)
        backoff_until = known.backoff_until if known is not None else 0.0
        if known is not None and known.peers != peers:
            backoff_until = 0.0
        self._neighbours[msg.failure_domain] = Neighbour(
            capacities, at, backoff_until, sender, peers, msg.is_acting
        )
        # A domain whose coordinator is unknown here receives no reports from here
        # and keeps to its share of each quota, so this domain must do the same.
        # What an acting one spent is little of what its domain did.
        has_coordinator = bool(self._coordinator_peers(msg.failure_domain))
        is_whole = not msg.is_acting and not msg.is_partial
        if has_coordinator and is_whole:
            self.shares.update_domain(msg.failure_domain, msg.spent, msg.demand, at)
        if any(
            capacity.free > 0
            or any(n > 0 for n in capacity.free_by_rank.values())
            or any(n > 0 for n in capacity.free_by_version.values())
            for capacity in msg.rooms
        ):
            self.on_capacity()

    def _coordinator_peers(self, failure_domain: str) -> str:
        """Return the address of a domain's coordinator, empty if none is known."""
        found = self._coordinators.of(failure_domain)
        return found.peers if found is not None else ""


def create(settings: Settings) -> Neighbours:
    """Return the neighbours service of an entry."""
    return Neighbours(settings)
