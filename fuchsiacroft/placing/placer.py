"""Finds a place for each of this entry's requests.

The entries of a failure domain ask one of them, the one that has run for
longest, so that what runs where is known exactly in one place. It is soft
state: whoever cannot reach that entry decides by its own counts meanwhile,
within its part of every server and quota. Two that decide at a time cost some
queueing on backend servers, and no promise.
"""

import asyncio
import itertools
import math
import secrets
from dataclasses import dataclass, replace

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
from fuchsiacroft.placing.neighbours import Neighbours, coordinator_of
from fuchsiacroft.placing.quotas import RemoteUsage
from fuchsiacroft.placing.reach import Reach
from fuchsiacroft.routing.permits import PermitRequest, Refusal, RunOutcome, RunReport
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

PING_PERIOD_S = 0.2
PING_TIMEOUT_S = 0.3
SUSPECT_S = 0.6
"""How long a coordinator that did not answer is not asked."""
ANSWER_MARGIN_S = 0.4
"""What an answer may take besides the wait that was asked for."""
CUT_OFF_S = 1.0
"""After so long without a word from anybody an entry is by itself."""
LIFE_BYTES = 3
ALONE_SHARE = 0.25
"""Of its part of a quota, what an entry spends that decides alone."""
SPENT_KEPT_S = 5.0
"""How long what a coordinator told of spent quotas counts for its successor."""


@dataclass(frozen=True, slots=True)
class WaitLimits:
    """How long a request may wait to be answered in time, and at all; seconds.

    One event of its answer holds `event_tokens`.
    """

    in_time_s: float
    max_wait_s: float
    event_tokens: int = 1


class Placer(Service):
    """Asks the domain's coordinator, or decides alone while there is none."""

    name = "placer"

    def __init__(self, settings: Settings) -> None:
        self._node = settings.node
        self._domain = settings.failure_domain
        self._life = secrets.token_hex(LIFE_BYTES)
        self._numbers = itertools.count()
        self._suspected_until = 0.0
        self._epochs: dict[str, str] = {}
        self._held: dict[str, HeldRun] = {}
        self._lost = asyncio.Event()
        self._asked: EntryRecord | None = None
        self._spent: tuple[dict[str, float], float] = ({}, -math.inf)
        self._tasks = BackgroundTasks("placer")

    async def start(self, kernel: Kernel) -> None:
        """Look after the coordinator."""
        self._bus = kernel.get("bus", Bus)
        self._roster = kernel.get("roster", Roster)
        self._reach = Reach(self._roster, self._domain)
        self._own = kernel.get("coordinator", Coordinator)
        self._neighbours = kernel.get("neighbours", Neighbours)
        self._own.allocator.quotas.remote_usage = self._elsewhere
        self._neighbours.is_coordinator = self.is_coordinator
        self._tasks.spawn_critical(self._watch(), "placer-watch")

    async def stop(self) -> None:
        """Stop looking after the coordinator."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return who is asked, and the runs in progress."""
        return {
            "coordinator": self.coordinator().node,
            "suspected": now() < self._suspected_until,
            "held": len(self._held),
        }

    def coordinator(self) -> EntryRecord:
        """Return the entry that decides for this domain."""
        found = coordinator_of(self._roster.entries(), self._domain)
        keeper = found if found is not None else self._roster.local_entry
        if self._asked is None or keeper.node != self._asked.node:
            self._hand_over(keeper)
        return keeper

    def is_coordinator(self) -> bool:
        """Tell whether this entry decides for its domain."""
        return self.coordinator().node == self._node

    async def acquire(
        self, ask: PermitRequest, charge: float, repeats: bool, wait_limits: WaitLimits
    ) -> Result[Placed, Refusal]:
        """Return a place to run now, or why there is none."""
        run_id = f"{self._node}-{self._life}-{next(self._numbers)}"
        request = PlaceRequest(
            run_id,
            ask,
            charge,
            repeats,
            wait_limits.in_time_s,
            wait_limits.max_wait_s,
            wait_limits.event_tokens,
        )
        keeper = self.coordinator()
        outcome = None
        if keeper.node != self._node and now() >= self._suspected_until:
            outcome = await self._ask(keeper, request)
        if outcome is None:
            outcome = await self._decide(request)
        if outcome.is_ok():
            self._held[run_id] = HeldRun(run_id, outcome.ok.backend_server, ask)
        return outcome

    def report_first_event(self, placed: Placed) -> None:
        """Tell the keeper that a run's prompt has been read."""
        if placed.keeper == self._node:
            self._own.mark_prefilled(placed.run_id)
        else:
            self._bus.send(placed.keeper_peers, FirstEvent(placed.run_id))

    def release(self, placed: Placed, report: RunReport) -> None:
        """Tell whoever gave the place, and the coordinator since, how a run ended."""
        self._held.pop(placed.run_id, None)
        keepers = {placed.keeper: placed.keeper_peers}
        if self._asked is not None:
            keepers[self._asked.node] = self._asked.peers
        for node, peers in keepers.items():
            if node == self._node:
                self._own.end(placed.run_id, report)
            else:
                self._bus.send(peers, RunEnded(placed.run_id, report))

    async def _decide(self, request: PlaceRequest) -> Result[Placed, Refusal]:
        try:
            return await self._own.place(request)
        except asyncio.CancelledError:
            self._own.end(request.run_id, RunReport(RunOutcome.UNUSED))
            raise

    async def _ask(
        self, keeper: EntryRecord, request: PlaceRequest
    ) -> Result[Placed, Refusal] | None:
        """Return the coordinator's decision, or None if it cannot be had."""
        timeout_s = request.max_wait_s + ANSWER_MARGIN_S
        asking = asyncio.ensure_future(
            self._bus.request(keeper.peers, request, timeout_s)
        )
        losing = asyncio.ensure_future(self._lost.wait())
        unused = RunEnded(request.run_id, RunReport(RunOutcome.UNUSED))
        try:
            await asyncio.wait((asking, losing), return_when=asyncio.FIRST_COMPLETED)
            if asking.done():
                match asking.result():
                    case Result(tag="ok", ok=Placed() as placed):
                        return Ok(placed)
                    case Result(tag="ok", ok=NotPlaced(refusal=refusal)):
                        return Error(refusal)
                self._suspect(keeper, "no answer to a request")
            self._bus.send(keeper.peers, unused)
            return None
        except asyncio.CancelledError:
            self._bus.send(keeper.peers, unused)
            raise
        finally:
            asking.cancel()
            losing.cancel()

    async def _watch(self) -> None:
        """Ping the coordinator, and hand over to a new one."""
        while True:
            self._reach.refresh(now())
            keeper = self.coordinator()
            self._set_shares(acts=keeper.node == self._node)
            if keeper.node != self._node:
                await self._ping(keeper)
            await asyncio.sleep(PING_PERIOD_S)

    def _set_shares(self, acts: bool) -> None:
        """Set what decisions made here may use of servers and retries.

        An entry that does not act for its domain decides only while it cannot
        reach the one that does, and then within its part.
        """
        allocator = self._own.allocator
        if acts:
            allocator.fleet.share = 1.0
            allocator.retries.share = 1 / self._reach.domains()
        else:
            allocator.fleet.share = 1 / max(len(self._reach.near()), 1)
            allocator.retries.share = self._reach.part()

    def _hand_over(self, keeper: EntryRecord) -> None:
        """Have a new coordinator count the runs that are in progress here."""
        before = self._asked.node if self._asked is not None else "-"
        event("info", "coordinator_chosen", coordinator=keeper.node, before=before)
        self._asked = keeper
        self._suspected_until = 0.0
        if keeper.node == self._node:
            self._own.adopt(tuple(self._held.values()))
            spent, told_at = self._spent
            if now() - told_at < SPENT_KEPT_S:
                self._own.allocator.quotas.adopt(spent, now())
        else:
            self._epochs.pop(keeper.node, None)

    async def _ping(self, keeper: EntryRecord) -> None:
        known = self._epochs.get(keeper.node, "")
        runs = () if known else tuple(self._held.values())
        ping = Ping(self._node, known, runs)
        match await self._bus.request(keeper.peers, ping, PING_TIMEOUT_S):
            case Result(tag="ok", ok=Pong(epoch=epoch, spent=spent)):
                self._spent = (spent, now())
                self._epochs[keeper.node] = epoch if epoch == known or not known else ""
            case _:
                self._epochs.pop(keeper.node, None)
                self._suspect(keeper, "no answer to a ping")

    def _suspect(self, keeper: EntryRecord, reason: str) -> None:
        if now() >= self._suspected_until:
            event("warning", "coordinator_lost", coordinator=keeper.node, reason=reason)
        self._suspected_until = now() + SUSPECT_S
        self._lost.set()
        self._lost = asyncio.Event()

    def _is_cut_off(self, at: float) -> bool:
        """Tell whether nobody answers, so that others may have taken over."""
        if self._roster.is_control_reachable or self._reach.is_single():
            return False
        oldest = at - CUT_OFF_S
        heard = self._neighbours.shares.heard_since(oldest)
        return not heard and self._own.pinged_at < oldest

    def _elsewhere(self, workspace: str, at: float) -> RemoteUsage:
        """Return what is spent of a quota by decisions that are not made here."""
        alone = ALONE_SHARE * self._reach.part()
        if not self.is_coordinator() or self._is_cut_off(at):
            return RemoteUsage(share=alone)
        found = self._neighbours.shares.remote_usage(workspace, at)
        kept = 1.0 - alone * self._reach.missing()
        return replace(found, share=found.share * kept)


def create(settings: Settings) -> Placer:
    """Return the placer of an entry."""
    return Placer(settings)
