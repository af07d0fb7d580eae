"""Finds a permit for a request: at the own desk, and at other owners.

An ask that is not served at once waits at its own desk and at other owners of
the failure domain; the first grant wins and the others are withdrawn.
"""

import asyncio
import uuid
from collections import OrderedDict

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.config.settings import Member, Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.backend_servers import BackendDirectory, BackendServer
from fuchsiacroft.routing import addresses as address_book
from fuchsiacroft.routing import owners
from fuchsiacroft.routing.addresses import AddressBook
from fuchsiacroft.routing.candidates import Candidates
from fuchsiacroft.routing.holding import Holding
from fuchsiacroft.routing.messages import (
    AskPermit,
    FirstToken,
    PermitGiven,
    PermitRefused,
    ReleasePermit,
    WithdrawAsk,
)
from fuchsiacroft.routing.order import LAST_TRY
from fuchsiacroft.routing.owner_digests import OwnerDigests
from fuchsiacroft.routing.owners import Owners
from fuchsiacroft.routing.permit_queue import PermitQueue
from fuchsiacroft.routing.permits import (
    Permit,
    PermitRequest,
    Refusal,
    RefusalReason,
    RunOutcome,
    RunReport,
)
from fuchsiacroft.routing.quarantine import Quarantine
from fuchsiacroft.routing.race import Race
from fuchsiacroft.routing.retries import RetryBudgets
from fuchsiacroft.routing.spillover import Spillover
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now

ANSWER_MARGIN_S = 0.5
LOOK_AGAIN_S = 0.5
MIN_WAIT_S = 0.001
MAX_UNREACHED = 1_000
LAST_TRY_S = 1.0
MAX_HEAD_START_S = 0.1


class Scheduler(Service):
    """Gets permits for this entry's requests and gives them back."""

    name = "scheduler"

    def __init__(
        self, settings: Settings, owned_by: Owners, addresses: AddressBook, seed: int
    ) -> None:
        self._node = settings.node
        self._policies = settings.policies
        self._addresses = addresses
        self._owners = owned_by
        self._holding = Holding(settings.node, addresses, owned_by)
        self._candidates = Candidates(settings.node, owned_by, settings.policies, seed)
        self._unreached: OrderedDict[str, tuple[str, ...]] = OrderedDict()
        self._retries = RetryBudgets()
        self._spilling: Spillover | None = None
        self._quarantine: Quarantine | None = None
        self._draining = False

    async def start(self, kernel: Kernel) -> None:
        """Follow the directory, hear of cuts, and renew borrowed permits."""
        self._desk = kernel.get("desk", PermitQueue)
        self._spilling = kernel.find("spilling", Spillover)
        self._quarantine = kernel.find("quarantine", Quarantine)
        self._directory = kernel.get("backend_servers", BackendDirectory)
        self._directory.listeners.announced.append(self._on_heard)
        self._bus = kernel.get("bus", Bus)
        digests = kernel.find("owner_digests", OwnerDigests)
        self._candidates.attach(self._directory, self._desk, digests)
        self._holding.start(kernel)

    async def drain(self) -> None:
        """Give out no permit for a new request."""
        self._draining = True

    async def stop(self) -> None:
        """Renew nothing any more."""
        await self._holding.stop()

    def dump(self) -> dict:
        """Return the permits in use, and the owner that gave each."""
        return {"held": self._holding.dump()}

    def held_permits(self, backend_server: str) -> tuple[Permit, ...]:
        """Return the permits in use here for one backend server."""
        return self._holding.on(backend_server)

    async def acquire(self, ask: PermitRequest) -> Result[Permit, Refusal]:
        """Wait for a permit from whoever owns backend servers of the service."""
        if self._draining:
            return Error(self._desk.refusal(RefusalReason.DRAINING, ask))
        if not self._retries.allows(ask):
            return Error(self._desk.refusal(RefusalReason.OVERLOADED, ask))
        avoid = self._unreached.get(ask.request_id, ())
        if avoid:
            ask = msgspec.structs.replace(ask, avoid=avoid)
        outcome = await self._acquire(ask)
        match outcome:
            case Result(tag="ok", ok=permit):
                self._holding.add(permit)
                self._desk.note_run_elsewhere(ask, permit.backend_server)
            case Result(error=refusal):
                if refusal.reason is not RefusalReason.QUARANTINED:
                    self._retries.note_refused(ask)
        return outcome

    def record_first_token(self, permit: Permit) -> None:
        """Tell the owner that a run's first token has come."""
        if permit.owner == self._node:
            self._desk.record_first_token(permit)
        else:
            self._holding.send(permit.owner, FirstToken(permit.permit_id))

    def release(self, permit: Permit, report: RunReport) -> None:
        """Give a permit back to its owner, or to the one that took over."""
        self._holding.remove(permit)
        if report.outcome is RunOutcome.NOT_DISPATCHED:
            self._note_unreached(permit)
        if report.outcome is RunOutcome.COMPLETED and self._quarantine is not None:
            self._quarantine.clear(permit.request.fingerprint)
        server = self._directory.get(permit.backend_server)
        if permit.owner != self._node and server is not None:
            generation = server.announcement.generation
            self._desk.learn_elsewhere(permit.request, generation, report)
        for owner in self._holding.owners_for(permit):
            if owner == self._node:
                self._desk.release(permit, report)
            else:
                self._holding.send(owner, ReleasePermit(permit.permit_id, report))

    def _note_unreached(self, permit: Permit) -> None:
        request_id = permit.request.request_id
        tried = self._unreached.pop(request_id, ())
        self._unreached[request_id] = (*tried, permit.backend_server)
        if len(self._unreached) > MAX_UNREACHED:
            self._unreached.popitem(last=False)

    async def _acquire(self, ask: PermitRequest) -> Result[Permit, Refusal]:
        first = self._candidates.first(ask)
        if first == self._node:
            permit = self._desk.try_acquire(ask)
            if permit is not None:
                self._note_wait(ask.service, waits=False)
                return Ok(permit)
        return await self._race(ask, first)

    async def _race(
        self, ask: PermitRequest, first: str | None
    ) -> Result[Permit, Refusal]:
        race = Race(self._give_back)
        started_at = now()
        try:
            if first is not None:
                race.start(first, self._try(first, ask, 0, race))
                head_start_s = 0.0 if first == self._node else MAX_HEAD_START_S
                await race.wait(head_start_s)
            while race.winner is None and not _is_refused_early(race, first):
                waited_s = now() - started_at
                if waited_s >= ask.timeout_s - MIN_WAIT_S:
                    break
                self._widen(race, ask, waited_s)
                if race.is_over or self._is_lost(race, ask):
                    break
                await race.wait(min(LOOK_AGAIN_S, ask.timeout_s - waited_s))
        finally:
            race.close()
        if race.asked == 0:
            return Error(self._desk.refusal(RefusalReason.NO_BACKEND_SERVER, ask))
        if race.winner is not None and race.winner.owner != self._node:
            self._desk.note_served_elsewhere(ask)
        if _is_refused_early(race, first):
            return await self._last_tries(race, first, ask, now() - started_at)
        return self._outcome(race, ask)

    async def _last_tries(
        self, race: Race, first: str, ask: PermitRequest, waited_s: float
    ) -> Result[Permit, Refusal]:
        last = _shortened(ask, max(waited_s, ask.timeout_s - LAST_TRY_S))
        for node in list(self._candidates.owners_of(ask.service)):
            if node == first:
                continue
            match await self._try(node, last, LAST_TRY, race):
                case Result(tag="ok", ok=permit):
                    return Ok(permit)
        return Error(race.refusal_of(first))

    def _is_lost(self, race: Race, ask: PermitRequest) -> bool:
        """Tell whether every owner has refused, whoever else was asked."""
        known = list(self._candidates.owners_of(ask.service))
        return bool(known) and race.have_refused(known)

    def _outcome(self, race: Race, ask: PermitRequest) -> Result[Permit, Refusal]:
        if race.winner is None and not race.has_refusals:
            return Error(self._desk.refusal(RefusalReason.TIMED_OUT, ask))
        return race.outcome()

    def _widen(self, race: Race, ask: PermitRequest, waited_s: float) -> None:
        left = _shortened(ask, waited_s)
        known = self._candidates.owners_of(ask.service)
        if self._policies.borrow == "own_desk" and self._node in known:
            known = {self._node: known[self._node]}
        names = sorted(known, key=lambda node: node != self._node)
        for node in names:
            if race.may_ask(node):
                position = race.asked
                race.start(node, self._try(node, left, position, race))
        self._spill(race, left, must=not known)

    def _spill(self, race: Race, ask: PermitRequest, must: bool) -> None:
        if self._spilling is None:
            return
        if not self._note_wait(ask.service, waits=True) and not must:
            return
        target = self._spilling.target(ask.service, must)
        if target is not None and race.may_ask(target.node):
            position = race.asked
            race.start(target.node, self._try(target.node, ask, position, race))

    def _note_wait(self, service: str, waits: bool) -> bool:
        return self._spilling is not None and self._spilling.note(service, waits)

    async def _try(
        self, node: str, ask: PermitRequest, position: int, race: Race
    ) -> Result[Permit, Refusal]:
        if node == self._node:
            return await self._desk.acquire(ask, position)
        return await self._borrow(
            node, AskPermit(uuid.uuid4().hex, ask, position), race
        )

    async def _borrow(
        self, node: str, msg: AskPermit, race: Race
    ) -> Result[Permit, Refusal]:
        peer = self._addresses.get(node)
        if peer is None:
            return Error(self._desk.refusal(RefusalReason.NO_BACKEND_SERVER, msg.ask))
        timeout_s = msg.ask.timeout_s + ANSWER_MARGIN_S
        try:
            answer = await self._bus.request(peer, msg, timeout_s)
        except asyncio.CancelledError:
            served = race.winner is not None
            self._bus.send(peer, WithdrawAsk(msg.ask_id, served))
            raise
        match answer:
            case Result(tag="ok", ok=PermitGiven() as given):
                return Ok(_permit(msg.ask, node, given))
            case Result(tag="ok", ok=PermitRefused(refusal=refusal)):
                return Error(refusal)
        self._bus.send(peer, WithdrawAsk(msg.ask_id))
        return Error(self._desk.refusal(RefusalReason.TIMED_OUT, msg.ask))

    def _give_back(self, permit: Permit) -> None:
        self.release(permit, RunReport(RunOutcome.UNUSED))

    def _on_heard(self, server: BackendServer) -> None:
        self._desk.note(server)
        self.update_ownership(server)

    def update_ownership(self, server: BackendServer) -> None:
        """Own a backend server, or not, by who owns it now."""
        owner: Member | None = self._owners.owner_of(server.name)
        if owner is not None and owner.node == self._node:
            self._desk.add_server(server)
        else:
            self._desk.remove_server(server.name)


def create(
    settings: Settings,
    owned_by: Owners | None = None,
    seed: int = 0,
    addresses: AddressBook | None = None,
) -> Scheduler:
    """Return the scheduler of an entry."""
    return Scheduler(
        settings,
        owned_by or owners.create(settings),
        addresses or address_book.create(settings),
        seed,
    )


def _is_refused_early(race: Race, first: str | None) -> bool:
    if first is None or race.winner is not None:
        return False
    refusal = race.refusal_of(first)
    return refusal is not None and refusal.reason is RefusalReason.OVERLOADED


def _permit(ask: PermitRequest, owner: str, given: PermitGiven) -> Permit:
    return Permit(
        permit_id=given.permit_id,
        request=ask,
        backend_server=given.backend_server,
        boot_id=given.boot_id,
        address=given.address,
        owner=owner,
        preempted=asyncio.get_running_loop().create_future(),
    )


def _shortened(ask: PermitRequest, waited_s: float) -> PermitRequest:
    return msgspec.structs.replace(ask, timeout_s=max(0.0, ask.timeout_s - waited_s))
