"""Finds a permit for a request: at the own desk, or at another owner's."""

import asyncio

import xxhash
from expression import Error, Ok, Result

from fuchsiacroft.config.settings import Member, Settings
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.backend_servers import BackendDirectory, BackendServer
from fuchsiacroft.routing.ask import (
    Ask,
    Permit,
    Refusal,
    RefusalReason,
    RunOutcome,
    RunReport,
)
from fuchsiacroft.routing.desk import Desk
from fuchsiacroft.routing.messages import (
    AskPermit,
    CutRun,
    PermitGiven,
    PermitRefused,
    ReleasePermit,
    WithdrawAsk,
)
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.tasks import TaskGroup

ANSWER_MARGIN_S = 0.5
RETRY_AFTER_S = 1.0


class Scheduler(Service):
    """Gets permits for this entry's requests and gives them back."""

    name = "scheduler"

    def __init__(self, settings: Settings) -> None:
        self._node = settings.node
        self._peers = [
            member
            for member in settings.entries
            if member.failure_domain == settings.failure_domain
        ]
        self._tasks = TaskGroup("scheduler")
        self._borrowed: dict[str, tuple[Permit, str]] = {}
        self._lent: dict[str, tuple[Permit, str]] = {}
        self._asking: dict[str, asyncio.Task] = {}

    async def start(self, kernel: Kernel) -> None:
        """Follow the directory and answer other entries."""
        self._desk = kernel.get("desk", Desk)
        self._directory = kernel.get("backend_servers", BackendDirectory)
        self._directory.listeners.heard.append(self._on_heard)
        self._bus = kernel.get("bus", Bus)
        self._bus.handle(AskPermit, self._on_ask)
        self._bus.handle(ReleasePermit, self._on_release)
        self._bus.handle(WithdrawAsk, self._on_withdraw)
        self._bus.handle(CutRun, self._on_cut)

    async def stop(self) -> None:
        """Drop every ask."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the permits borrowed and lent."""
        return {"borrowed": sorted(self._borrowed), "lent": sorted(self._lent)}

    async def acquire(self, ask: Ask) -> Result[Permit, Refusal]:
        """Wait for a permit from whoever owns backend servers of the service."""
        if self._desk.offers(ask.service):
            return await self._desk.acquire(ask)
        owner = self._other_owner(ask.service)
        if owner is None:
            refusal = Refusal(RefusalReason.NO_BACKEND_SERVER, RETRY_AFTER_S)
            return Error(refusal)
        return await self._borrow(ask, owner)

    def release(self, permit: Permit, report: RunReport) -> None:
        """Give a permit back to its owner."""
        if permit.owner == self._node:
            self._desk.release(permit, report)
            return
        borrowed = self._borrowed.pop(permit.permit_id, None)
        if borrowed is not None:
            self._bus.send(borrowed[1], ReleasePermit(permit.permit_id, report))

    async def _borrow(self, ask: Ask, owner: Member) -> Result[Permit, Refusal]:
        timeout = ask.timeout_s + ANSWER_MARGIN_S
        try:
            answer = await self._bus.request(owner.peers, AskPermit(ask), timeout)
        except asyncio.CancelledError:
            self._bus.send(owner.peers, WithdrawAsk(ask.request_id))
            raise
        match answer:
            case Result(tag="ok", ok=PermitGiven() as given):
                permit = self._permit(ask, owner, given)
                self._borrowed[permit.permit_id] = (permit, owner.peers)
                return Ok(permit)
            case Result(tag="ok", ok=PermitRefused(refusal=refusal)):
                return Error(refusal)
        self._bus.send(owner.peers, WithdrawAsk(ask.request_id))
        return Error(Refusal(RefusalReason.TIMED_OUT, RETRY_AFTER_S))

    def _permit(self, ask: Ask, owner: Member, given: PermitGiven) -> Permit:
        return Permit(
            permit_id=given.permit_id,
            ask=ask,
            backend_server=given.backend_server,
            boot_id=given.boot_id,
            address=given.address,
            owner=owner.node,
            cut=asyncio.get_running_loop().create_future(),
        )

    async def _on_ask(self, sender: str, msg: AskPermit):
        task = asyncio.current_task()
        self._asking[msg.ask.request_id] = task
        try:
            match await self._desk.acquire(msg.ask):
                case Result(tag="ok", ok=permit):
                    self._lent[permit.permit_id] = (permit, sender)
                    return PermitGiven(
                        permit.permit_id,
                        permit.backend_server,
                        permit.boot_id,
                        permit.address,
                    )
                case Result(error=refusal):
                    return PermitRefused(refusal)
        finally:
            self._asking.pop(msg.ask.request_id, None)

    async def _on_withdraw(self, sender: str, msg: WithdrawAsk) -> None:
        task = self._asking.get(msg.request_id)
        if task is not None:
            task.cancel()
            return
        for permit, _ in list(self._lent.values()):
            if permit.ask.request_id == msg.request_id:
                self._take_back(permit, RunReport(RunOutcome.NOT_DISPATCHED))

    async def _on_release(self, sender: str, msg: ReleasePermit) -> None:
        lent = self._lent.get(msg.permit_id)
        if lent is not None:
            self._take_back(lent[0], msg.report)

    async def _on_cut(self, sender: str, msg: CutRun) -> None:
        borrowed = self._borrowed.get(msg.permit_id)
        if borrowed is not None and not borrowed[0].cut.done():
            borrowed[0].cut.set_result(msg.retry_after_s)

    def _take_back(self, permit: Permit, report: RunReport) -> None:
        del self._lent[permit.permit_id]
        self._desk.release(permit, report)

    def _on_heard(self, server: BackendServer) -> None:
        if self._owner_of(server.name).node == self._node:
            self._desk.own(server)
        else:
            self._desk.disown(server.name)

    def _other_owner(self, service: str) -> Member | None:
        for server in self._directory.all():
            offers = {offer.service for offer in server.announcement.offers}
            if service in offers and not server.announcement.leaving:
                return self._owner_of(server.name)
        return None

    def _owner_of(self, name: str) -> Member:
        return max(
            self._peers,
            key=lambda member: xxhash.xxh64_intdigest((member.node + name).encode()),
        )


def create(settings: Settings) -> Scheduler:
    """Return the scheduler of an entry."""
    return Scheduler(settings)
