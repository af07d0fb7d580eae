"""Acquires permits from the local permit queue and from other owners.

A permit request that is not granted at once is queued locally and at other owners of
the failure domain. The first grant wins, and the other attempts are withdrawn.
"""

import asyncio
import uuid
from collections import OrderedDict
from functools import partial

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.config.settings import Member, Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.backend_servers import BackendDirectory, BackendServer
from fuchsiacroft.membership.server_notices import NoticedAnswer, NoticeReason
from fuchsiacroft.quarantine.service import Quarantine
from fuchsiacroft.routing import addresses as address_book
from fuchsiacroft.routing import owners
from fuchsiacroft.routing.addresses import AddressBook
from fuchsiacroft.routing.held_permits import HeldPermits
from fuchsiacroft.routing.limit_exchange import LimitExchange
from fuchsiacroft.routing.messages import (
    AcquirePermit,
    FirstToken,
    PermitGranted,
    PermitRefused,
    ReleasePermit,
    WithdrawRequest,
)
from fuchsiacroft.routing.owner_candidates import OwnerCandidates
from fuchsiacroft.routing.owner_digests import OwnerDigests
from fuchsiacroft.routing.owners import Owners
from fuchsiacroft.routing.pause_wait import wait_for_servers
from fuchsiacroft.routing.permit_queue import PermitQueue
from fuchsiacroft.routing.permits import (
    Permit,
    PermitRequest,
    Refusal,
    RefusalReason,
    RunOutcome,
    RunReport,
)
from fuchsiacroft.routing.race import Race
from fuchsiacroft.routing.retry_budgets import RetryBudgets
from fuchsiacroft.routing.server_availability import ServerAvailability
from fuchsiacroft.routing.spillover import Spillover
from fuchsiacroft.routing.waiting_queue import LAST_ATTEMPT
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now

REPLY_MARGIN_S = 0.5
RECHECK_PERIOD_S = 0.5
MIN_WAIT_S = 0.001
MAX_UNREACHABLE = 1_000
LAST_ATTEMPT_S = 1.0
MAX_HEAD_START_S = 0.1
"""How long the owner tried first may take to answer before the others are tried."""


class Scheduler(Service):
    """Acquires and releases the permits for this entry's requests."""

    name = "scheduler"

    def __init__(
        self, settings: Settings, owned_by: Owners, addresses: AddressBook, seed: int
    ) -> None:
        self._node = settings.node
        self._policies = settings.policies
        self._addresses = addresses
        self._owners = owned_by
        self._held_permits = HeldPermits(settings.node, addresses, owned_by)
        self._candidates = OwnerCandidates(
            settings.node, owned_by, settings.policies, seed
        )
        self._unreachable: OrderedDict[str, tuple[str, ...]] = OrderedDict()
        self._retry_budgets = RetryBudgets()
        self._spillover: Spillover | None = None
        self._quarantine: Quarantine | None = None
        self._draining = False

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to the directory and start renewing leased permits."""
        self._permit_queue = kernel.get("permit_queue", PermitQueue)
        self._spillover = kernel.find("spilling", Spillover)
        self._quarantine = kernel.find("quarantine", Quarantine)
        self._directory = kernel.get("backend_servers", BackendDirectory)
        self._directory.listeners.announced.append(self._on_announced)
        self._bus = kernel.get("bus", Bus)
        digests = kernel.find("owner_digests", OwnerDigests)
        self._candidates.set_dependencies(self._directory, self._permit_queue, digests)
        self._held_permits.start(kernel)
        self._availability = ServerAvailability(self._directory, self._running)
        self._limits = LimitExchange(
            self._node, self._owners, self._addresses, self._permit_queue.pacing
        )
        self._limits.start(kernel)

    async def drain(self) -> None:
        """Refuse permits for new requests."""
        self._draining = True

    async def stop(self) -> None:
        """Stop renewing leased permits."""
        await self._limits.stop()
        await self._held_permits.stop()

    def dump(self) -> dict:
        """Return the permits in use, with the owner that granted each."""
        return {
            "held": self._held_permits.dump(),
            "notices": self._availability.dump(),
            "server_limits": self._permit_queue.pacing.limits.dump(),
        }

    def held_permits(self, backend_server: str) -> tuple[Permit, ...]:
        """Return the permits in use here for one backend server."""
        return self._held_permits.for_server(backend_server)

    async def acquire(self, request: PermitRequest) -> Result[Permit, Refusal]:
        """Wait for a permit from any owner of backend servers of the service."""
        if self._draining:
            return Error(self._permit_queue.refusal(RefusalReason.DRAINING, request))
        if not self._retry_budgets.allows(request):
            return Error(self._permit_queue.refusal(RefusalReason.OVERLOADED, request))
        request = request.avoiding(*self._unreachable.get(request.request_id, ()))
        outcome = await self._acquire_available(request)
        match outcome:
            case Result(tag="ok", ok=permit):
                self._held_permits.add(permit)
                self._permit_queue.record_dispatch(request, permit.backend_server)
            case Result(error=refusal):
                if refusal.reason is not RefusalReason.QUARANTINED:
                    self._retry_budgets.record_refusal(request)
        return outcome

    def record_answer(self, permit: Permit, answer: NoticedAnswer) -> None:
        """Record what the server of a permit said of itself in its answer."""
        self._availability.record(answer)
        self._limits.record(answer, self._held_permits.owners_for(permit))

    @property
    def limits(self) -> LimitExchange:
        """Return what this entry knows of the limits of backend servers."""
        return self._limits

    def is_leaving(self, permit: Permit) -> bool:
        """Return whether the server of a permit is known to leave."""
        return self._availability.reason(permit) is NoticeReason.LEAVING

    async def _acquire_available(
        self, request: PermitRequest
    ) -> Result[Permit, Refusal]:
        """Acquire a permit for a server that takes requests from this entry."""
        deadline = now() + request.timeout_s
        resumes_at = partial(
            self._availability.resumes_at, request.service, request.version
        )
        while True:
            refusal = await wait_for_servers(resumes_at, deadline)
            if refusal is not None:
                return Error(refusal)
            unavailable = self._availability.unavailable(request.service)
            outcome = await self._acquire(request.avoiding(*unavailable))
            if outcome.is_error():
                return outcome
            permit = outcome.ok
            reason = self._availability.reason(permit)
            if reason is None:
                return outcome
            self._return_unused_permit(permit)
            if reason is NoticeReason.LEAVING:
                request = request.avoiding(permit.backend_server)
            timeout_s = max(deadline - now(), 0.0)
            request = msgspec.structs.replace(request, timeout_s=timeout_s)

    def _running(self, backend_server: str) -> int:
        return len(self._held_permits.for_server(backend_server))

    def record_first_token(self, permit: Permit) -> None:
        """Notify the owner of a run's first token."""
        if permit.owner == self._node:
            self._permit_queue.record_first_token(permit)
        else:
            self._held_permits.send(permit.owner, FirstToken(permit.permit_id))

    def release(self, permit: Permit, report: RunReport) -> None:
        """Return a permit to its owner and, after a takeover, to the new one."""
        self._held_permits.remove(permit)
        if report.outcome is RunOutcome.NOT_DISPATCHED:
            self._record_unreachable(permit)
        if report.outcome is RunOutcome.COMPLETED and self._quarantine is not None:
            self._quarantine.record_answer(permit.request.content_ids)
        server = self._directory.get(permit.backend_server)
        if permit.owner != self._node and server is not None:
            generation = server.announcement.generation
            self._permit_queue.record_remote_run(permit.request, generation, report)
        for owner in self._held_permits.owners_for(permit):
            if owner == self._node:
                self._permit_queue.release(permit, report)
            else:
                self._held_permits.send(owner, ReleasePermit(permit.permit_id, report))

    def _record_unreachable(self, permit: Permit) -> None:
        request_id = permit.request.request_id
        tried = self._unreachable.pop(request_id, ())
        self._unreachable[request_id] = (*tried, permit.backend_server)
        if len(self._unreachable) > MAX_UNREACHABLE:
            self._unreachable.popitem(last=False)

    async def _acquire(self, request: PermitRequest) -> Result[Permit, Refusal]:
        first = self._candidates.first_owner(request)
        if first == self._node:
            permit = self._permit_queue.try_acquire(request)
            if permit is not None:
                self._record_wait(request.service, waits=False)
                return Ok(permit)
        return await self._race(request, first)

    async def _race(
        self, request: PermitRequest, first: str | None
    ) -> Result[Permit, Refusal]:
        race = Race(self._return_unused_permit)
        started_at = now()
        try:
            if first is not None:
                race.start(first, self._attempt(first, request, 0, race))
                head_start_s = 0.0 if first == self._node else MAX_HEAD_START_S
                await race.wait(head_start_s)
            while race.winner is None and not _is_refused_early(race, first):
                waited_s = now() - started_at
                if waited_s >= request.timeout_s - MIN_WAIT_S:
                    break
                self._try_more_owners(race, request, waited_s)
                if race.is_over or self._have_all_owners_refused(race, request):
                    break
                await race.wait(min(RECHECK_PERIOD_S, request.timeout_s - waited_s))
        finally:
            race.close()
        if race.attempt_count == 0:
            return Error(
                self._permit_queue.refusal(RefusalReason.NO_BACKEND_SERVER, request)
            )
        if race.winner is not None and race.winner.owner != self._node:
            self._permit_queue.record_grant_elsewhere(request)
        if _is_refused_early(race, first):
            return await self._last_attempts(race, first, request, now() - started_at)
        return self._outcome(race, request)

    async def _last_attempts(
        self, race: Race, first: str, request: PermitRequest, waited_s: float
    ) -> Result[Permit, Refusal]:
        """Try each other owner for a short time after the first refused early."""
        last_request = _shortened(
            request, max(waited_s, request.timeout_s - LAST_ATTEMPT_S)
        )
        for node in list(self._candidates.owners_for(request)):
            if node == first:
                continue
            match await self._attempt(node, last_request, LAST_ATTEMPT, race):
                case Result(tag="ok", ok=permit):
                    return Ok(permit)
        return Error(race.refusal_of(first))

    def _have_all_owners_refused(self, race: Race, request: PermitRequest) -> bool:
        """Return whether every owner has refused, regardless of other nodes."""
        candidates = list(self._candidates.owners_for(request))
        return bool(candidates) and race.all_refused(candidates)

    def _outcome(self, race: Race, request: PermitRequest) -> Result[Permit, Refusal]:
        if race.winner is None and not race.has_refusals:
            return Error(self._permit_queue.refusal(RefusalReason.TIMED_OUT, request))
        return race.outcome()

    def _try_more_owners(
        self, race: Race, request: PermitRequest, waited_s: float
    ) -> None:
        remaining = _shortened(request, waited_s)
        candidates = self._candidates.owners_for(request)
        if self._policies.borrow == "own_desk" and self._node in candidates:
            candidates = {self._node: candidates[self._node]}
        nodes = sorted(candidates, key=lambda node: node != self._node)
        for node in nodes:
            if race.may_try(node):
                position = race.attempt_count
                race.start(node, self._attempt(node, remaining, position, race))
        self._try_spillover(race, remaining, force=not candidates)

    def _try_spillover(self, race: Race, request: PermitRequest, force: bool) -> None:
        if self._spillover is None:
            return
        if not self._record_wait(request.service, waits=True) and not force:
            return
        target = self._spillover.target(request.service, force)
        if target is not None and race.may_try(target.node):
            position = race.attempt_count
            race.start(target.node, self._attempt(target.node, request, position, race))

    def _record_wait(self, service: str, waits: bool) -> bool:
        return self._spillover is not None and self._spillover.record_wait(
            service, waits
        )

    async def _attempt(
        self, node: str, request: PermitRequest, position: int, race: Race
    ) -> Result[Permit, Refusal]:
        if node == self._node:
            return await self._permit_queue.acquire(request, position)
        return await self._acquire_remote(
            node, AcquirePermit(uuid.uuid4().hex, request, position), race
        )

    async def _acquire_remote(
        self, node: str, msg: AcquirePermit, race: Race
    ) -> Result[Permit, Refusal]:
        peer = self._addresses.get(node)
        if peer is None:
            return Error(
                self._permit_queue.refusal(RefusalReason.NO_BACKEND_SERVER, msg.ask)
            )
        timeout_s = msg.ask.timeout_s + REPLY_MARGIN_S
        try:
            reply = await self._bus.request(peer, msg, timeout_s)
        except asyncio.CancelledError:
            served = race.winner is not None
            self._bus.send(peer, WithdrawRequest(msg.ask_id, served))
            raise
        match reply:
            case Result(tag="ok", ok=PermitGranted() as granted):
                return Ok(_permit(msg.ask, node, granted))
            case Result(tag="ok", ok=PermitRefused(refusal=refusal)):
                return Error(refusal)
        self._bus.send(peer, WithdrawRequest(msg.ask_id))
        return Error(self._permit_queue.refusal(RefusalReason.TIMED_OUT, msg.ask))

    def _return_unused_permit(self, permit: Permit) -> None:
        self.release(permit, RunReport(RunOutcome.UNUSED))

    def _on_announced(self, server: BackendServer) -> None:
        self._permit_queue.record_announcement(server)
        self.update_ownership(server)

    def update_ownership(self, server: BackendServer) -> None:
        """Add or remove a backend server according to its current owner."""
        owner: Member | None = self._owners.owner_of(server.name)
        if owner is not None and owner.node == self._node:
            self._permit_queue.add_server(server)
        else:
            self._permit_queue.remove_server(server.name)


def create(
    settings: Settings,
    owned_by: Owners | None = None,
    seed: int = 0,
    addresses: AddressBook | None = None,
) -> Scheduler:
    """Create the scheduler of an entry."""
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


def _permit(request: PermitRequest, owner: str, granted: PermitGranted) -> Permit:
    return Permit(
        permit_id=granted.permit_id,
        request=request,
        backend_server=granted.backend_server,
        boot_id=granted.boot_id,
        address=granted.address,
        owner=owner,
        preempted=asyncio.get_running_loop().create_future(),
        is_limited=granted.is_limited,
    )


def _shortened(request: PermitRequest, waited_s: float) -> PermitRequest:
    return msgspec.structs.replace(
        request, timeout_s=max(0.0, request.timeout_s - waited_s)
    )
