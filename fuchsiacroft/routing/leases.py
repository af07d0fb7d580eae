"""The owner's side of borrowing: permits that other entries hold.

A lent permit is renewed by its holder. When its lease runs out, the holder is
gone, its connection to the backend server is closed, and the room is free.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from expression import Result

from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.routing.addresses import AddressBook
from fuchsiacroft.routing.messages import (
    AskPermit,
    CutRun,
    FirstToken,
    PermitGiven,
    PermitRefused,
    ReleasePermit,
    RenewPermits,
    WithdrawAsk,
)
from fuchsiacroft.routing.permit_queue import PermitQueue
from fuchsiacroft.routing.permits import Permit, RunOutcome, RunReport
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.tasks import BackgroundTasks

LEASE_S = 5.0
SWEEP_PERIOD_S = 0.5
MAX_WITHDRAWN = 10_000


@dataclass(slots=True)
class Lent:
    """A permit that another entry holds until its lease ends."""

    permit: Permit
    holder: str
    holder_boot: str
    ask_id: str
    expires_at: float


class PermitLeases(Service):
    """Answers other entries' asks from the own desk."""

    name = "lending"

    def __init__(self, addresses: AddressBook) -> None:
        self._addresses = addresses
        self.boot_id_of: Callable[[str], str] = lambda node: ""
        self._lent: dict[str, Lent] = {}
        self._by_ask: dict[str, str] = {}
        self._asking: dict[str, asyncio.Task] = {}
        self._withdrawn: OrderedDict[str, None] = OrderedDict()
        self._tasks = BackgroundTasks("lending")

    async def start(self, kernel: Kernel) -> None:
        """Answer asks, and look after the leases."""
        self._desk = kernel.get("desk", PermitQueue)
        self._desk.tell_cuts(self._on_cut)
        self._bus = kernel.get("bus", Bus)
        self._bus.register_handler(AskPermit, self._on_ask)
        self._bus.register_handler(ReleasePermit, self._on_release)
        self._bus.register_handler(FirstToken, self._on_first_token)
        self._bus.register_handler(RenewPermits, self._on_renew)
        self._bus.register_handler(WithdrawAsk, self._on_withdraw)
        self._tasks.spawn_critical(self._sweep(), "lending-sweep")

    async def stop(self) -> None:
        """Forget the leases."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the lent permits by holder."""
        return {
            "lent": {permit_id: lent.holder for permit_id, lent in self._lent.items()},
            "asking": len(self._asking),
        }

    def leased_permits(self, backend_server: str) -> list[tuple[str, str, str]]:
        """Return each permit lent for a backend server, with its holder's boot id.

        Each is a permit id, the holder's node name, and its boot id.
        """
        return [
            (permit_id, lent.holder, lent.holder_boot)
            for permit_id, lent in self._lent.items()
            if lent.permit.backend_server == backend_server
        ]

    def adopt(self, permit: Permit, holder: str) -> None:
        """Take over the lease of a permit that an earlier owner gave."""
        self._lend(permit, holder, permit.permit_id)

    def _lend(self, permit: Permit, holder: str, ask_id: str) -> None:
        boot = self.boot_id_of(holder)
        lent = Lent(permit, holder, boot, ask_id, now() + LEASE_S)
        self._lent[permit.permit_id] = lent
        self._by_ask[ask_id] = permit.permit_id

    async def _on_ask(self, sender: str, msg: AskPermit):
        if msg.ask_id in self._withdrawn or msg.ask_id in self._asking:
            return None
        if msg.ask_id in self._by_ask:
            return None
        self._asking[msg.ask_id] = asyncio.current_task()
        try:
            outcome = await self._desk.acquire(msg.ask, msg.position)
        finally:
            del self._asking[msg.ask_id]
        match outcome:
            case Result(tag="ok", ok=permit):
                self._lend(permit, sender, msg.ask_id)
                return PermitGiven(
                    permit.permit_id,
                    permit.backend_server,
                    permit.boot_id,
                    permit.address,
                )
            case Result(error=refusal):
                return PermitRefused(refusal)

    async def _on_withdraw(self, sender: str, msg: WithdrawAsk) -> None:
        self._withdrawn[msg.ask_id] = None
        if len(self._withdrawn) > MAX_WITHDRAWN:
            self._withdrawn.popitem(last=False)
        task = self._asking.get(msg.ask_id)
        if task is not None:
            task.cancel()
        permit_id = self._by_ask.get(msg.ask_id)
        if permit_id is not None:
            self._take_back(permit_id, RunReport(RunOutcome.UNUSED))

    async def _on_release(self, sender: str, msg: ReleasePermit) -> None:
        self._take_back(msg.permit_id, msg.report)

    async def _on_first_token(self, sender: str, msg: FirstToken) -> None:
        lent = self._lent.get(msg.permit_id)
        if lent is not None:
            self._desk.record_first_token(lent.permit)

    async def _on_renew(self, sender: str, msg: RenewPermits) -> None:
        for permit_id in msg.permit_ids:
            lent = self._lent.get(permit_id)
            if lent is not None and lent.holder == sender:
                lent.expires_at = now() + LEASE_S

    def _on_cut(self, permit: Permit, retry_after_s: float) -> None:
        lent = self._lent.get(permit.permit_id)
        address = self._addresses.get(lent.holder) if lent is not None else None
        if address is not None:
            self._bus.send(address, CutRun(permit.permit_id, retry_after_s))

    def _repeat_cuts(self) -> None:
        """Tell holders again of runs that have not ended; a message may be lost."""
        for lent in self._lent.values():
            if lent.permit.preempted.done():
                self._on_cut(lent.permit, lent.permit.preempted.result())

    def _take_back(self, permit_id: str, report: RunReport) -> None:
        lent = self._lent.pop(permit_id, None)
        if lent is None:
            return
        self._by_ask.pop(lent.ask_id, None)
        self._desk.release(lent.permit, report)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            expired = [
                permit_id
                for permit_id, lent in self._lent.items()
                if lent.expires_at < now()
            ]
            self._repeat_cuts()
            for permit_id in expired:
                event("info", "lease_expired", permit_id=permit_id)
                self._take_back(permit_id, RunReport(RunOutcome.UNUSED))


def create(addresses: AddressBook) -> PermitLeases:
    """Return the lending side of an entry."""
    return PermitLeases(addresses)
