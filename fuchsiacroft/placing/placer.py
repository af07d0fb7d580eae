"""Finds a place for each of this entry's requests.

The entries in reach of each other ask one of them, the one that has run for
longest, so that what runs where is known exactly in one place. It is soft
state: whoever cannot reach that entry decides by its own counts meanwhile, and
the entries of a failure domain that is cut off have one of their own. Two
that decide at a time cost some queueing on backend servers, and no promise.
"""

import asyncio
import itertools
import secrets

from expression import Error, Ok, Result

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.placing.coordinator import Coordinator
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
from fuchsiacroft.routing.ask import Ask, Refusal, RunOutcome, RunReport
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import TaskGroup

PING_PERIOD_S = 0.2
PING_TIMEOUT_S = 0.3
SUSPECT_S = 1.0
"""How long a coordinator that did not answer is passed over."""
ANSWER_MARGIN_S = 0.3
"""What an answer may take besides the wait that was asked for."""
LIFE_BYTES = 3
KNOWN_ENTRIES_S = 30.0
"""How long an entry that is out of reach keeps its part of shared limits."""


class Placement:
    """A place that this entry was given, and who counts its run."""

    __slots__ = ("address", "ask", "backend_server", "keeper", "run_id")

    def __init__(
        self, run_id: str, ask: Ask, backend_server: str, address: str, keeper: str
    ) -> None:
        self.run_id = run_id
        self.ask = ask
        self.backend_server = backend_server
        self.address = address
        self.keeper = keeper


class Placer(Service):
    """Asks the coordinator, or decides alone while there is none."""

    name = "placer"

    def __init__(self, settings: Settings) -> None:
        self._node = settings.node
        self._domain = settings.failure_domain
        self._life = secrets.token_hex(LIFE_BYTES)
        self._numbers = itertools.count()
        self._suspected: dict[str, float] = {}
        self._epochs: dict[str, str] = {}
        self._held: dict[str, Placement] = {}
        self._known: dict[str, float] = {}
        self._lost = asyncio.Event()
        self._asked = ""
        self._tasks = TaskGroup("placer")

    async def start(self, kernel: Kernel) -> None:
        """Look after the coordinator."""
        self._bus = kernel.get("bus", Bus)
        self._roster = kernel.get("roster", Roster)
        self._own = kernel.get("coordinator", Coordinator)
        self._tasks.keep(self._watch(), "placer-watch")

    async def stop(self) -> None:
        """Stop looking after the coordinator."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return who is asked, and the runs in progress."""
        return {"coordinator": self.coordinator().node, "held": len(self._held)}

    def coordinator(self) -> EntryRecord:
        """Return the entry that decides for this one."""
        at = now()
        entries = [
            entry
            for entry in self._roster.entries()
            if not entry.leaving and self._suspected.get(entry.node, 0.0) <= at
        ]
        if not entries:
            return self._roster.me
        return min(entries, key=lambda entry: (entry.started_ms, entry.node))

    async def acquire(
        self, ask: Ask, charge: float, repeats: bool, max_wait_s: float
    ) -> Result[Placement, Refusal]:
        """Return a place to run now, or why there is none."""
        run_id = f"{self._node}-{self._life}-{next(self._numbers)}"
        request = PlaceRequest(run_id, ask, self._domain, charge, repeats, max_wait_s)
        keeper = self.coordinator()
        outcome = None
        if keeper.node != self._node:
            outcome = await self._ask(keeper, request)
        if outcome is None:
            keeper = self._roster.me
            outcome = await self._decide(request)
        if outcome.is_error():
            return Error(outcome.error)
        backend_server, address = outcome.ok
        placement = Placement(run_id, ask, backend_server, address, keeper.node)
        self._held[run_id] = placement
        return Ok(placement)

    def note_first_event(self, placement: Placement) -> None:
        """Tell the coordinator that a run's prompt has been read."""
        if placement.keeper == self._node:
            self._own.note_read(placement.run_id)
        else:
            self._send(placement.keeper, FirstEvent(placement.run_id))

    def release(self, placement: Placement, report: RunReport) -> None:
        """Tell whoever gave the place, and the coordinator since, how a run ended."""
        self._held.pop(placement.run_id, None)
        for keeper in {placement.keeper, self._asked} - {""}:
            if keeper == self._node:
                self._own.end(placement.run_id, report)
            else:
                self._send(keeper, RunEnded(placement.run_id, report))

    async def _decide(self, request: PlaceRequest) -> Result[tuple[str, str], Refusal]:
        try:
            match await self._own.place(request):
                case Result(tag="ok", ok=place):
                    return Ok((place.backend_server, place.address))
                case Result(error=refusal):
                    return Error(refusal)
        except asyncio.CancelledError:
            self._own.end(request.run_id, RunReport(RunOutcome.UNUSED))
            raise

    async def _ask(
        self, keeper: EntryRecord, request: PlaceRequest
    ) -> Result[tuple[str, str], Refusal] | None:
        """Return the coordinator's decision, or None if it cannot be had."""
        timeout_s = request.max_wait_s + ANSWER_MARGIN_S
        asking = asyncio.ensure_future(
            self._bus.request(keeper.peers, request, timeout_s)
        )
        losing = asyncio.ensure_future(self._lost.wait())
        try:
            await asyncio.wait((asking, losing), return_when=asyncio.FIRST_COMPLETED)
            if asking.done():
                answer = asking.result()
                match answer:
                    case Result(tag="ok", ok=Placed() as placed):
                        return Ok((placed.backend_server, placed.address))
                    case Result(tag="ok", ok=NotPlaced(refusal=refusal)):
                        return Error(refusal)
            self._send(
                keeper.node, RunEnded(request.run_id, RunReport(RunOutcome.UNUSED))
            )
            self._suspect(keeper, "no answer to a request")
            return None
        except asyncio.CancelledError:
            self._send(
                keeper.node, RunEnded(request.run_id, RunReport(RunOutcome.UNUSED))
            )
            raise
        finally:
            asking.cancel()
            losing.cancel()

    def _send(self, node: str, msg: FirstEvent | RunEnded) -> None:
        for entry in self._roster.entries():
            if entry.node == node:
                self._bus.send(entry.peers, msg)
                return

    async def _watch(self) -> None:
        """Ping the coordinator, and share limits while entries are apart."""
        while True:
            self._share_limits()
            keeper = self.coordinator()
            if keeper.node != self._asked:
                event(
                    "info",
                    "coordinator_chosen",
                    coordinator=keeper.node,
                    before=self._asked,
                )
                self._hand_over(keeper)
            if keeper.node != self._node:
                await self._ping(keeper)
            await asyncio.sleep(PING_PERIOD_S)

    def _hand_over(self, keeper: EntryRecord) -> None:
        """Have a new coordinator count the runs that are in progress here."""
        self._asked = keeper.node
        if keeper.node == self._node:
            self._own.adopt(self._runs())
        else:
            self._epochs.pop(keeper.node, None)

    async def _ping(self, keeper: EntryRecord) -> None:
        known = self._epochs.get(keeper.node, "")
        runs = () if known else self._runs()
        ping = Ping(self._node, known, runs)
        match await self._bus.request(keeper.peers, ping, PING_TIMEOUT_S):
            case Result(tag="ok", ok=Pong(epoch=epoch)):
                self._epochs[keeper.node] = epoch if epoch == known or not known else ""
            case _:
                self._epochs.pop(keeper.node, None)
                self._suspect(keeper, "no answer to a ping")

    def _runs(self) -> tuple[HeldRun, ...]:
        return tuple(
            HeldRun(placement.run_id, placement.backend_server, placement.ask)
            for placement in self._held.values()
        )

    def _suspect(self, keeper: EntryRecord, reason: str) -> None:
        if self._suspected.get(keeper.node, 0.0) <= now():
            event("warning", "coordinator_lost", coordinator=keeper.node, reason=reason)
        self._suspected[keeper.node] = now() + SUSPECT_S
        self._lost.set()
        self._lost = asyncio.Event()

    def _share_limits(self) -> None:
        """Spend the part of shared limits that falls to the entries in reach."""
        at = now()
        here = [entry.node for entry in self._roster.entries()]
        for node in here:
            self._known[node] = at
        oldest = at - KNOWN_ENTRIES_S
        self._known = {n: seen for n, seen in self._known.items() if seen >= oldest}
        share = len(here) / len(self._known)
        if self.coordinator().node != self._node:
            share = 1 / len(self._known)
        self._own.allocator.quotas.share = share
        self._own.allocator.retries.share = share


def create(settings: Settings) -> Placer:
    """Return the placer of an entry."""
    return Placer(settings)
