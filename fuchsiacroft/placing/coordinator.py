"""Runs an allocator for whoever asks: this entry, or all of the region."""

import asyncio
import secrets

from expression import Error, Ok, Result

from fuchsiacroft.config.route_source import RouteSource
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.placing.allocator import Allocator, Place
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
)
from fuchsiacroft.placing.queue import Waiter
from fuchsiacroft.routing.ask import Refusal, RunReport
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.tasks import TaskGroup

TICK_S = 0.02
"""How late a waiter may be given up, or a server that was set aside be used."""
EPOCH_BYTES = 6

Outcome = Result[Place, Refusal]


class Coordinator(Service):
    """Answers requests for places, from this entry and from others.

    Every entry runs one; the entries agree by `Placer` on whose they ask.
    """

    name = "coordinator"

    def __init__(self, limits: SharedLimits) -> None:
        self.epoch = secrets.token_hex(EPOCH_BYTES)
        self.allocator = Allocator(limits)
        self._waiting: dict[str, asyncio.Future[Outcome]] = {}
        self._version = 0
        self._tasks = TaskGroup("coordinator")

    async def start(self, kernel: Kernel) -> None:
        """Answer the other entries."""
        self._tables = kernel.get("route_table", RouteSource)
        bus = kernel.get("bus", Bus)
        bus.handle(PlaceRequest, self._on_request)
        bus.handle(FirstEvent, self._on_first_event)
        bus.handle(RunEnded, self._on_ended)
        bus.handle(Ping, self._on_ping)
        roster = kernel.get("roster", Roster)
        roster.on_servers(self._on_servers)
        self.allocator.set_servers(roster.servers())
        self._tasks.keep(self._tick(), "coordinator-tick")

    async def stop(self) -> None:
        """End the background task."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the allocator's state."""
        return {"epoch": self.epoch, **self.allocator.dump()}

    async def place(self, request: PlaceRequest) -> Outcome:
        """Return a place, or why there is none, after a wait if need be."""
        self._note_table()
        decision = self.allocator.place(request, now())
        match decision:
            case Place():
                return Ok(decision)
            case Refusal():
                return Error(decision)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[request.run_id] = fut
        try:
            return await fut
        finally:
            self._waiting.pop(request.run_id, None)

    def note_read(self, run_id: str) -> None:
        """Note that the prompt of a run has been read."""
        self.allocator.note_read(run_id)

    def end(self, run_id: str, report: RunReport) -> None:
        """End a run, or forget a request that waits."""
        self.allocator.end(run_id, report, now())
        self._serve()

    def adopt(self, runs: tuple[HeldRun, ...]) -> None:
        """Count runs that another coordinator gave places to."""
        for held in runs:
            self.allocator.adopt(held, now())

    def _note_table(self) -> None:
        table = self._tables.table
        if table is not None and table.version != self._version:
            self._version = table.version
            self.allocator.set_table(table)

    def _on_servers(self, records) -> None:
        self.allocator.set_servers(records)
        self._serve()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            for waiter, refusal in self.allocator.give_up(now()):
                self._settle(waiter, Error(refusal))
            self._serve()

    def _serve(self) -> None:
        for waiter, place in self.allocator.serve(now()):
            self._settle(waiter, Ok(place))

    def _settle(self, waiter: Waiter, outcome: Outcome) -> None:
        fut = self._waiting.get(waiter.request.run_id)
        if fut is not None and not fut.done():
            fut.set_result(outcome)

    async def _on_request(
        self, sender: str, msg: PlaceRequest
    ) -> Placed | NotPlaced | None:
        match await self.place(msg):
            case Result(tag="ok", ok=place):
                return Placed(place.run_id, place.backend_server, place.address)
            case Result(error=refusal):
                return NotPlaced(refusal)

    async def _on_first_event(self, sender: str, msg: FirstEvent) -> None:
        self.note_read(msg.run_id)

    async def _on_ended(self, sender: str, msg: RunEnded) -> None:
        self.end(msg.run_id, msg.report)

    async def _on_ping(self, sender: str, msg: Ping) -> Pong:
        self.adopt(msg.runs)
        return Pong(self.epoch)


def create(limits: SharedLimits) -> Coordinator:
    """Return the coordinator of an entry."""
    return Coordinator(limits)
