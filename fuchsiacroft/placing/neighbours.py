"""What the coordinators of a region's failure domains tell each other.

A few times a second each tells the others how much room its domain has and
what its workspaces ask for. By that they split quotas, and send requests to a
domain with room when their own has none.
"""

import asyncio
import random
from collections.abc import Callable

from expression import Result

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.placing.allocator import Allocator
from fuchsiacroft.placing.messages import (
    DomainLoad,
    Placed,
    PlaceRequest,
    RunEnded,
    SpillRequest,
)
from fuchsiacroft.placing.neighbour import Neighbour
from fuchsiacroft.placing.shares import Shares
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

TELL_PERIOD_S = 0.03
"""A place stays free for some tens of milliseconds while others wait."""
IDLE_PERIOD_S = 0.2
"""How soon an entry that begins to act tells the others."""
SPILL_TIMEOUT_S = 0.08
"""Several ways there and back inside a region; a lost packet takes longer.
A request that waits there is answered so long after its wait at the latest."""
BACK_OFF_S = 1.0
"""How long a domain that did not answer is asked nothing."""


class Neighbours(Service):
    """The other failure domains, as the coordinator of one sees them."""

    name = "neighbours"

    def __init__(self, settings: Settings) -> None:
        self._node = settings.node
        self._domain = settings.failure_domain
        self._neighbours: dict[str, Neighbour] = {}
        self._random = random.Random()
        self._tasks = BackgroundTasks("neighbours")
        self.shares = Shares()
        self._allocator: Allocator | None = None
        self.is_coordinator: Callable[[], bool] = lambda: False
        self.on_room: Callable[[], None] = lambda: None

    async def start(self, kernel: Kernel) -> None:
        """Hear the other coordinators, and tell them while this is one."""
        self._bus = kernel.get("bus", Bus)
        self._roster = kernel.get("roster", Roster)
        self._bus.register_handler(DomainLoad, self._on_load)

    async def stop(self) -> None:
        """Tell nothing more."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the room of the other domains and the age of that."""
        return {
            domain: {
                "rooms": {name: seen.free(name) for name in seen.rooms},
                "age_s": round(now() - seen.heard_at, 3),
            }
            for domain, seen in self._neighbours.items()
        }

    def tell_of(self, allocator: Allocator) -> None:
        """Begin to tell of what an allocator knows, while it acts for the domain."""
        self._allocator = allocator
        self._tasks.spawn_critical(self._tell(allocator), "neighbours-tell")

    def has_room(self, service: str) -> bool:
        """Tell whether another domain has room for a service."""
        return self._with_room(service) is not None

    async def spill(self, request: PlaceRequest) -> Placed | None:
        """Return a place that is free in another domain, or None."""
        service = request.ask.service
        domain = self._with_room(service)
        if domain is None:
            return None
        self._neighbours[domain].note_sent(service)
        return await self._ask(domain, SpillRequest(request))

    async def wait_in_other_domain(
        self, request: PlaceRequest, wait_s: float
    ) -> Placed | None:
        """Return a place that comes free in a domain where none as urgent waits."""
        ask = request.ask
        domain = self._with_less_urgent(ask)
        if domain is None:
            return None
        self._neighbours[domain].note_waits(ask.service, ask.rank)
        return await self._ask(domain, SpillRequest(request, wait_s))

    def has_less_urgent(self, ask: PermitRequest) -> bool:
        """Tell whether a request would be the next to be placed in another domain."""
        return self._with_less_urgent(ask) is not None

    async def _ask(self, domain: str, asked: SpillRequest) -> Placed | None:
        keeper = coordinator_of(self._roster.entries(), domain)
        if keeper is None:
            return None
        run_id = asked.request.run_id
        seen = self._neighbours[domain]
        try:
            answer = await self._bus.request(
                keeper.peers, asked, asked.wait_s + SPILL_TIMEOUT_S
            )
        except asyncio.CancelledError:
            self._cancel(run_id, keeper.peers)
            raise
        match answer:
            case Result(tag="ok", ok=Placed() as placed):
                return placed
            case Result(tag="ok"):
                seen.note_full(asked.request.ask.service)
            case _:
                seen.avoid_until = now() + BACK_OFF_S
                # It may have given a place all the same.
                self._cancel(run_id, keeper.peers)
                event("info", "neighbour_silent", domain=domain, keeper=keeper.node)
        return None

    def cancel(self, placed: Placed) -> None:
        """Give a place of another domain back unused."""
        self._cancel(placed.run_id, placed.keeper_peers)

    def _cancel(self, run_id: str, keeper_peers: str) -> None:
        unused = RunEnded(run_id, RunReport(RunOutcome.UNUSED))
        self._bus.send(keeper_peers, unused)

    def _with_room(self, service: str) -> str | None:
        """Return the domain with the most room for a service."""
        rooms = {name: seen.free(service) for name, seen in self._known()}
        best = max(rooms, key=rooms.get, default=None)
        return best if best is not None and rooms[best] > 0 else None

    def _with_less_urgent(self, ask: PermitRequest) -> str | None:
        """Return the domain where a request goes before the least urgent one."""
        ranks = {}
        for name, seen in self._known():
            rank = seen.urgency(ask.service, ask.rank)
            if rank is not None:
                ranks[name] = rank
        return max(ranks, key=ranks.get, default=None)

    def _known(self) -> list[tuple[str, Neighbour]]:
        at = now()
        return [(n, seen) for n, seen in self._neighbours.items() if seen.is_known(at)]

    async def _tell(self, allocator: Allocator) -> None:
        while True:
            period_s = TELL_PERIOD_S if self.is_coordinator() else IDLE_PERIOD_S
            await asyncio.sleep(period_s * self._random.uniform(0.9, 1.1))
            entries = self._roster.entries()
            domains = {entry.failure_domain for entry in entries} | {self._domain}
            self.shares.set_domains(max(len(domains), len(self._neighbours) + 1))
            if self.is_coordinator():
                self._tell_now(allocator, entries, domains - {self._domain})

    def _tell_now(
        self, allocator: Allocator, entries: tuple[EntryRecord, ...], domains: set[str]
    ) -> None:
        at = now()
        demand = allocator.demand.rates(at)
        spent = allocator.quotas.spent(at)
        self.shares.update(spent, at)
        rooms = allocator.rooms(at)
        suspects = allocator.fleet.crashes.suspects(at)
        load = DomainLoad(self._domain, rooms, spent, demand, suspects)
        for domain in domains:
            keeper = coordinator_of(entries, domain)
            if keeper is not None:
                self._bus.send(keeper.peers, load)

    async def _on_load(self, sender: str, msg: DomainLoad) -> None:
        at = now()
        rooms = {room.service: room for room in msg.rooms}
        known = self._neighbours.get(msg.failure_domain)
        avoid_until = known.avoid_until if known is not None else 0.0
        self._neighbours[msg.failure_domain] = Neighbour(rooms, at, avoid_until)
        # A domain that this one cannot name hears nothing back and keeps to its
        # part of each quota, so this one must too.
        if coordinator_of(self._roster.entries(), msg.failure_domain) is not None:
            self.shares.update_domain(msg.failure_domain, msg.spent, msg.demand, at)
        if self._allocator is not None and msg.suspects:
            self._allocator.fleet.crashes.merge(msg.suspects, at)
        if any(room.free > 0 for room in msg.rooms):
            self.on_room()


def coordinator_of(
    entries: tuple[EntryRecord, ...], failure_domain: str
) -> EntryRecord | None:
    """Return the entry of a domain that decides for it.

    It is the oldest that stays, or the oldest of all while every one leaves.
    """
    near = [entry for entry in entries if entry.failure_domain == failure_domain]
    return min(near, key=lambda e: (e.leaving, e.started_ms, e.node), default=None)


def create(settings: Settings) -> Neighbours:
    """Return the other domains as an entry sees them."""
    return Neighbours(settings)
