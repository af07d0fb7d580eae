"""Places this entry's requests through the coordinator of its failure domain.

The coordinator is the oldest entry that is not draining, so that one process knows
exactly what runs on each server. This is soft state: an entry that cannot reach the
coordinator decides by its own counts, within its share of every server and quota.
Two entries that decide concurrently cause some queueing on backend servers, but
break no guarantee.
"""

import asyncio
import enum
import itertools
import math
import secrets
from dataclasses import dataclass, replace
from functools import partial
from typing import Self

from expression import Error, Ok, Result

from fuchsiacroft.config.settings import Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.registry_wire import EntryRecord
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.membership.server_notices import NoticedAnswer
from fuchsiacroft.membership.start_probe import StartProbe
from fuchsiacroft.placing.answered_loads import AnsweredLoads
from fuchsiacroft.placing.coordinator import Coordinator
from fuchsiacroft.placing.coordinator_contact import (
    PING_PERIOD_S,
    PING_TIMEOUT_S,
    CoordinatorContact,
)
from fuchsiacroft.placing.coordinators import DomainCoordinators, coordinator_of
from fuchsiacroft.placing.hand_over import OutgoingHandOver
from fuchsiacroft.placing.messages import (
    EntryLeaving,
    FirstEvent,
    HandOver,
    HeldRun,
    NotPlaced,
    Ping,
    PlaceRequest,
    Pong,
    RunEnded,
    SlotAssignment,
    TakenOver,
)
from fuchsiacroft.placing.neighbours import Neighbours
from fuchsiacroft.placing.reachability import Reachability
from fuchsiacroft.placing.remote_spending import STANDALONE_SHARE, RemoteSpending
from fuchsiacroft.placing.server_availability import ServerAvailability
from fuchsiacroft.placing.start_exchange import StartExchange
from fuchsiacroft.routing.pause_wait import wait_for_servers
from fuchsiacroft.routing.permits import (
    SERVER_LOST,
    PermitRequest,
    Refusal,
    RunOutcome,
    RunReport,
)
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import lease_now, now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

REPLY_MARGIN_S = 0.4
"""Added to a request's maximum wait to get the timeout of the reply."""
INSTANCE_ID_BYTES = 3


class DeclineReason(enum.Enum):
    """Why an entry doesn't use a slot, by what it knows of the server."""

    LEAVING = "leaving"
    PAUSED = "paused"
    VERSION = "version"


@dataclass(frozen=True, slots=True)
class WaitLimits:
    """How long a request may wait to be answered in time, and at most, in seconds.

    Each event of its response holds `event_tokens` tokens.
    """

    in_time_s: float
    max_wait_s: float
    event_tokens: int = 1

    def at_most(self, seconds: float) -> Self:
        """Return the limits of a request that may wait no longer than `seconds`."""
        return replace(
            self,
            in_time_s=min(self.in_time_s, seconds),
            max_wait_s=min(self.max_wait_s, seconds),
        )

    def after(self, waited_s: float) -> Self:
        """Return the limits of a request that has waited for some time."""
        return replace(
            self,
            in_time_s=max(self.in_time_s - waited_s, 0.0),
            max_wait_s=max(self.max_wait_s - waited_s, 0.0),
        )


class Placer(Service):
    """Requests slots from the domain's coordinator, or decides locally without it."""

    name = "placer"

    def __init__(self, settings: Settings) -> None:
        self._node = settings.node
        self._domain = settings.failure_domain
        self._instance_id = secrets.token_hex(INSTANCE_ID_BYTES)
        self._run_numbers = itertools.count()
        self._limit_share = 1.0
        self._spent_told_at = -math.inf
        """When the coordinator was last told what this entry admitted itself."""
        self._epochs: dict[str, str] = {}
        self._active_runs: dict[str, HeldRun] = {}
        self._runs_judged_here: set[str] = set()
        """Runs on a start that this entry doubted, too, or that was proven to it."""
        self._loads = AnsweredLoads()
        self._current: EntryRecord | None = None
        self._tasks = BackgroundTasks("placer")

    async def start(self, kernel: Kernel) -> None:
        """Start monitoring the coordinator."""
        self._bus = kernel.get("bus", Bus)
        self._contact = CoordinatorContact(self._bus, self._on_coordinator_lost)
        self._roster = kernel.get("roster", Roster)
        self._coordinators = DomainCoordinators(self._roster)
        self._reachability = Reachability(self._roster, self._domain)
        self._local_coordinator = kernel.get("coordinator", Coordinator)
        self._starts = self._local_coordinator.allocator.fleet.starts
        self._rollouts = self._local_coordinator.allocator.fleet.rollouts
        self.availability = ServerAvailability(
            self._bus, self._roster, self._running, self._starts
        )
        self._pacing = self._local_coordinator.allocator.fleet.pacing
        self._pacing.share_of = lambda backend_server: self._limit_share
        self._limits = self._local_coordinator.limits
        self._spending = self._local_coordinator.spending
        self._start_exchange = StartExchange(
            self._bus,
            self._roster,
            self._starts,
            kernel.find("start_probe", StartProbe),
            self._tasks,
        )
        self._start_exchange.on_proven = self._record_proven
        self._neighbours = kernel.get("neighbours", Neighbours)
        self._remote_spending = RemoteSpending(
            self._roster,
            self._reachability,
            self._neighbours,
            self._local_coordinator,
            self.is_coordinator,
        )
        quotas = self._local_coordinator.allocator.quotas
        quotas.remote_usage = self._remote_spending.usage
        self._hand_over = OutgoingHandOver(
            self._bus, self._roster, self._local_coordinator, self._tasks
        )
        self._neighbours.is_coordinator = self.is_coordinator
        self._neighbours.is_acting = self.is_acting
        self._bus.register_handler(HandOver, self._on_hand_over)
        self._bus.register_handler(EntryLeaving, self._on_entry_leaving)
        self._tasks.spawn_repeated(self._monitor_coordinator, "placer-watch")

    async def stop(self) -> None:
        """Stop monitoring the coordinator."""
        await self._tasks.cancel()
        self._contact.stop()

    def dump(self) -> dict:
        """Return the coordinator, its state and the number of runs in progress."""
        coordinator = self.coordinator()
        return {
            "coordinator": coordinator.node,
            "suspected": self._contact.is_lost(coordinator),
            "held": len(self._active_runs),
            "notices": self.availability.dump(),
            "server_limits": self._pacing.limits.dump(),
            "uncertain_starts": self._starts.dump(),
        }

    def coordinator(self) -> EntryRecord:
        """Return the entry that is the coordinator of this domain."""
        found = self._coordinators.of(self._domain)
        coordinator = found if found is not None else self._roster.local_entry
        if self._hand_over.keeps_place(self._current, coordinator):
            return self._current
        if self._current is None or coordinator.node != self._current.node:
            self._switch_coordinator(coordinator)
        return coordinator

    def is_coordinator(self) -> bool:
        """Return whether this entry is the coordinator of its domain."""
        return self.coordinator().node == self._node

    def places_requests(self) -> bool:
        """Return whether this entry is the coordinator, or decides without it."""
        coordinator = self.coordinator()
        return coordinator.node == self._node or self._contact.is_lost(coordinator)

    def is_acting(self) -> bool:
        """Return whether this entry stands in for a coordinator that it can't reach.

        It is the next one, and reports its share to the other domains, so that their
        requests get slots before the loss is known to the control members.
        """
        coordinator = self.coordinator()
        if coordinator.node == self._node or not self._contact.is_lost(coordinator):
            return False
        others = tuple(e for e in self._roster.entries() if e.node != coordinator.node)
        return coordinator_of(others, self._domain) == self._roster.local_entry

    def _on_hand_over(self, sender: str, msg: HandOver) -> TakenOver:
        self._roster.record_leaving(msg.entry)
        if msg.spending is not None:
            self._spending.record(self._domain, msg.spending)
        self._limits.merge(msg.limits, sender)
        if not self.is_coordinator():
            return TakenOver(accepted=False)
        self._spending.take_over()
        self._local_coordinator.adopt(msg.runs)
        return TakenOver(accepted=True)

    def _on_entry_leaving(self, sender: str, msg: EntryLeaving) -> None:
        self._roster.record_leaving(msg.entry)
        self.coordinator()

    async def acquire(
        self,
        permit_request: PermitRequest,
        charge: float,
        repeats: bool,
        wait_limits: WaitLimits,
    ) -> Result[SlotAssignment, Refusal]:
        """Return a slot to run on now, or a refusal.

        The coordinator that placed the request may know less than this entry, which
        declines a server that wants no request from it.
        """
        started_at = now()
        service = permit_request.service
        resumes_at = partial(
            self.availability.resumes_at, service, permit_request.version
        )
        while True:
            refusal = await wait_for_servers(
                resumes_at, started_at + wait_limits.max_wait_s
            )
            if refusal is not None:
                return Error(refusal)
            outcome = await self._acquire_slot(
                permit_request.avoiding(*self.availability.unavailable(service)),
                charge,
                repeats,
                wait_limits.after(now() - started_at),
            )
            if outcome.is_error():
                return outcome
            placed = outcome.ok
            reason = self._decline_reason(placed, permit_request)
            if reason is None:
                self._active_runs[placed.run_id] = HeldRun(
                    placed.run_id, placed.backend_server, permit_request
                )
                self._record_doubt(placed)
                return outcome
            self._decline(placed, permit_request, reason)
            if reason is not DeclineReason.PAUSED:
                permit_request = permit_request.avoiding(placed.backend_server)
            charge = 0.0

    def _decline_reason(
        self, placed: SlotAssignment, permit_request: PermitRequest
    ) -> DeclineReason | None:
        """Return why a request must not be sent to the server it was placed on."""
        reason = self.availability.reason(placed.backend_server)
        if reason is not None:
            return DeclineReason(reason.value)
        if permit_request.version is None:
            return None
        version = self.certain_version(placed, permit_request.service, now())
        return None if version == permit_request.version else DeclineReason.VERSION

    def certain_version(
        self,
        placed: SlotAssignment,
        service: str,
        sent_at: float,
        *,
        must_be_listed: bool = False,
    ) -> str | None:
        """Return the software version of the server that a request was sent to.

        None if this entry knows another start of the server, or another version, than
        the coordinator that placed the request, or if the server may have started
        again by `sent_at`. A start that this entry doubted, too, may prove the same.
        With `must_be_listed`, it is None also if this entry knows no start.
        """
        if not placed.is_start_certain and placed.run_id not in self._runs_judged_here:
            return None
        server = self.availability.instance(placed)
        if not self._starts.is_certain(server, now(), sent_at):
            return None
        record = self._roster.server(placed.backend_server)
        if record is None:
            return None if must_be_listed else placed.version
        if str(record.born_ms) != placed.start:
            return None
        version = record.announcement.version_of(service)
        return version if version == placed.version else None

    def _record_doubt(self, placed: SlotAssignment) -> None:
        """Record a run on a server whose start this entry doubts, too."""
        server = self.availability.instance(placed)
        if not self._starts.is_certain(server, now()):
            self._runs_judged_here.add(placed.run_id)

    def ask_start(self, placed: SlotAssignment) -> None:
        """Ask the server of a run for its start, which this entry or another doubts."""
        self._start_exchange.ask(self.availability.instance(placed), placed.run_id)

    def _record_proven(self, run_id: str) -> None:
        """Record that the server of a run is the start that the coordinator knew."""
        if run_id in self._active_runs:
            self._runs_judged_here.add(run_id)

    def _running(self, backend_server: str) -> int:
        return sum(
            run.backend_server == backend_server for run in self._active_runs.values()
        )

    def _decline(
        self,
        placed: SlotAssignment,
        permit_request: PermitRequest,
        reason: DeclineReason,
    ) -> None:
        self.release(placed, RunReport(RunOutcome.UNUSED))
        event(
            "info",
            "placement_declined",
            request_id=permit_request.request_id,
            backend_server=placed.backend_server,
            coordinator=placed.coordinator,
            reason=reason.value,
        )

    async def _acquire_slot(
        self,
        permit_request: PermitRequest,
        charge: float,
        repeats: bool,
        wait_limits: WaitLimits,
    ) -> Result[SlotAssignment, Refusal]:
        run_id = f"{self._node}-{self._instance_id}-{next(self._run_numbers)}"
        request = PlaceRequest(
            run_id,
            permit_request,
            charge,
            repeats,
            wait_limits.in_time_s,
            wait_limits.max_wait_s,
            wait_limits.event_tokens,
        )
        coordinator = self.coordinator()
        outcome = None
        is_other = coordinator.node != self._node
        if is_other and not self._contact.is_lost(coordinator):
            outcome = await self._request_placement(coordinator, request)
        if outcome is None:
            outcome = await self._decide_locally(request)
        return outcome

    def report_first_event(self, placed: SlotAssignment) -> None:
        """Report to the coordinator that the prompt of a run has been prefilled."""
        if placed.coordinator == self._node:
            self._local_coordinator.mark_prefilled(placed.run_id)
        else:
            load, age_s = self._loads.take(placed.run_id, now())
            message = FirstEvent(placed.run_id, load, age_s)
            self._bus.send(placed.coordinator_peers, message)

    def record_answer(self, placed: SlotAssignment, answer: NoticedAnswer) -> None:
        """Record what a server said of itself in the answer to a run."""
        self.availability.record(answer)
        self._limits.record(placed, answer, self.coordinator())
        if answer.notice.load is None or placed.run_id not in self._active_runs:
            return
        if placed.coordinator == self._node:
            self._local_coordinator.record_load(placed.run_id, answer.notice.load, 0.0)
        else:
            self._loads.add(placed.run_id, answer.notice.load, now())

    def record_progress(self, placed: SlotAssignment, sent_at: float) -> None:
        """Record that the answer to a request that was sent at `sent_at` goes on."""
        if not self._starts.is_empty:
            server = self.availability.instance(placed)
            self._start_exchange.record_progress(server, sent_at)

    def release(
        self, placed: SlotAssignment, report: RunReport, alive_at: float | None = None
    ) -> None:
        """Report a run's end to its coordinator and to those that may count it by now.

        The server was alive at `alive_at`, if the run was lost.
        """
        self._active_runs.pop(placed.run_id, None)
        self._runs_judged_here.discard(placed.run_id)
        load, load_age_s = self._loads.take(placed.run_id, now())
        if report.outcome in SERVER_LOST:
            server = self.availability.instance(placed)
            alive_at = now() if alive_at is None else alive_at
            self._start_exchange.record_loss(
                server, alive_at, placed.run_id, report.outcome
            )
        coordinators = {placed.coordinator: placed.coordinator_peers}
        for entry in self._successors(placed.backend_server):
            coordinators[entry.node] = entry.peers
        for node, peers in coordinators.items():
            if node == self._node:
                self._local_coordinator.end(placed.run_id, report)
            else:
                message = RunEnded(placed.run_id, report, load, load_age_s)
                self._bus.send(peers, message)

    def _successors(self, backend_server: str) -> list[EntryRecord]:
        """Return the coordinators that may count runs of a server by now.

        This domain's counts those of other domains only where these have none.
        """
        found = self._coordinator_for(backend_server)
        is_elsewhere = found is not None and found.failure_domain != self._domain
        successors = (found, None if is_elsewhere else self._current)
        return [entry for entry in successors if entry is not None]

    def _coordinator_for(self, backend_server: str) -> EntryRecord | None:
        """Return the coordinator of a server's failure domain, None if unknown."""
        record = self._roster.server(backend_server)
        if record is None:
            return None
        return self._coordinators.of(record.announcement.failure_domain)

    async def _decide_locally(
        self, request: PlaceRequest
    ) -> Result[SlotAssignment, Refusal]:
        try:
            return await self._local_coordinator.place(request)
        except asyncio.CancelledError:
            self._local_coordinator.end(request.run_id, RunReport(RunOutcome.UNUSED))
            raise

    async def _request_placement(
        self, coordinator: EntryRecord, request: PlaceRequest
    ) -> Result[SlotAssignment, Refusal] | None:
        """Return the coordinator's decision, or None if it does not respond."""
        timeout_s = request.max_wait_s + REPLY_MARGIN_S
        reply = asyncio.ensure_future(
            self._bus.request(coordinator.peers, request, timeout_s)
        )
        lost = asyncio.ensure_future(self._contact.wait_lost())
        self._contact.begin_request(request.run_id)
        unused = RunEnded(request.run_id, RunReport(RunOutcome.UNUSED))
        try:
            await asyncio.wait((reply, lost), return_when=asyncio.FIRST_COMPLETED)
            if reply.done():
                match reply.result():
                    case Result(tag="ok", ok=SlotAssignment() as placed):
                        return Ok(placed)
                    case Result(tag="ok", ok=NotPlaced(refusal=refusal)):
                        return Error(refusal)
                self._contact.record_missed(coordinator, "request", reply.result())
            self._bus.send(coordinator.peers, unused)
            return None
        except asyncio.CancelledError:
            self._bus.send(coordinator.peers, unused)
            raise
        finally:
            self._contact.end_request(request.run_id)
            reply.cancel()
            lost.cancel()

    async def _monitor_coordinator(self) -> None:
        """Ping the coordinator periodically, and follow its changes."""
        ends_at = now() + PING_PERIOD_S
        self._reachability.refresh(now())
        coordinator = self.coordinator()
        self._set_shares(is_coordinator=coordinator.node == self._node)
        await self._remote_spending.learn_after_isolation()
        self._limits.forget_old()
        if not self._roster.is_control_reachable:
            self._starts.record_unlisted(now())
        if coordinator.node != self._node:
            await self._ping_if_due(coordinator)
        else:
            self._limits.send_to_coordinators(self._domain)
        await asyncio.sleep(max(ends_at - now(), 0.0))

    def _set_shares(self, is_coordinator: bool) -> None:
        """Set the share of servers and retries that local decisions may use.

        An entry that is not the coordinator decides only while the coordinator is
        unreachable, and then within its share. A coordinator leaves the share of the
        entries that it has lost to them.
        """
        allocator = self._local_coordinator.allocator
        entries = max(self._reachability.local_count(), 1)
        missing = self._reachability.missing_local()
        if is_coordinator:
            allocator.fleet.capacity.share = 1.0
            allocator.retries.share = 1 / self._reachability.domain_count()
        else:
            allocator.fleet.capacity.share = 1 / entries
            allocator.retries.share = self._reachability.share()
        if is_coordinator and not self._remote_spending.is_isolated(now()):
            self._limit_share = 1.0 - STANDALONE_SHARE * missing / (entries + missing)
        else:
            self._limit_share = STANDALONE_SHARE / (entries + missing)

    def _switch_coordinator(self, coordinator: EntryRecord) -> None:
        """Switch to a new coordinator and have it count this entry's runs."""
        previous = self._current.node if self._current is not None else "-"
        event(
            "info", "coordinator_chosen", coordinator=coordinator.node, before=previous
        )
        self._current = coordinator
        self._spent_told_at = -math.inf
        self._contact.restart()
        self._pacing.restart(now())
        self._set_shares(is_coordinator=coordinator.node == self._node)
        if coordinator.node == self._node:
            self._neighbours.wake()
            self._local_coordinator.adopt(tuple(self._active_runs.values()))
            self._spending.take_over()
        else:
            self._spending.resign()
            self._epochs.pop(coordinator.node, None)

    async def _ping_if_due(self, coordinator: EntryRecord) -> None:
        known_epoch = self._epochs.get(coordinator.node, "")
        runs = () if known_epoch else tuple(self._active_runs.values())
        spent = self._spending.admitted_units()
        ping = Ping(self._node, known_epoch, runs, self._limits.reports(), spent)
        if self._is_due(ping, coordinator):
            await self._ping(coordinator, ping)

    def _is_due(self, ping: Ping, coordinator: EntryRecord) -> bool:
        """Return whether a ping reports anything new, or whether to ask again."""
        if not ping.epoch or ping.limits:
            return True
        admitted_at = self._local_coordinator.allocator.quotas.admitted_at
        if ping.spent and admitted_at >= self._spent_told_at:
            return True
        entries = self._reachability.local_count()
        in_touch_at = self._remote_spending.in_touch_at
        return self._contact.is_ping_due(coordinator, in_touch_at, entries)

    async def _ping(self, coordinator: EntryRecord, ping: Ping) -> None:
        known_epoch, sent_at, told_at = ping.epoch, lease_now(), now()
        match await self._bus.request(coordinator.peers, ping, PING_TIMEOUT_S):
            case Result(tag="ok", ok=Pong(epoch=epoch) as pong):
                self._spent_told_at = told_at
                self._remote_spending.record_left(pong.left)
                self._limits.merge(pong.limits, coordinator.node)
                self._rollouts.set_clocks(now(), lease_now())
                self._rollouts.apply(pong.directives, sent_at, now())
                self._epochs[coordinator.node] = (
                    epoch if epoch == known_epoch or not known_epoch else ""
                )
            case missed:
                self._contact.record_missed(coordinator, "ping", missed)

    def _on_coordinator_lost(self, coordinator: EntryRecord) -> None:
        """Report all runs to the coordinator once it answers again."""
        self._epochs.pop(coordinator.node, None)
        self._pacing.restart(now())


def create(settings: Settings) -> Placer:
    """Return the placer of an entry."""
    return Placer(settings)
