"""Permits leased to other entries by the owner of the backend servers.

The holder renews the lease of its permit. When a lease expires, the holder is taken to
have stopped, which closed its connection to the backend server, so the capacity is
free again. The owner counts leases on the loop's clock: if its VM was suspended, the
renewals of that time have yet to be read. The holder's `SendGuard` counts that time.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from expression import Result

from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.routing.addresses import AddressBook
from fuchsiacroft.routing.messages import (
    AcquirePermit,
    FirstToken,
    PermitGranted,
    PermitRefused,
    PreemptRun,
    ReleasePermit,
    RenewPermits,
    WithdrawRequest,
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
"""Withdrawals that are kept, to ignore a permit request that arrives after its own."""


@dataclass(slots=True)
class Lease:
    """A permit that another entry holds until its lease expires."""

    permit: Permit
    holder: str
    holder_boot_id: str
    attempt_id: str
    expires_at: float


class PermitLeases(Service):
    """Serves other entries' permit requests from the local permit queue."""

    name = "lending"

    def __init__(self, addresses: AddressBook) -> None:
        self._addresses = addresses
        self.boot_id_of: Callable[[str], str] = lambda node: ""
        self._leases: dict[str, Lease] = {}
        self._permit_ids: dict[str, str] = {}
        self._waiting: dict[str, asyncio.Task] = {}
        self._withdrawn: OrderedDict[str, None] = OrderedDict()
        self._tasks = BackgroundTasks("lending")

    async def start(self, kernel: Kernel) -> None:
        """Start serving permit requests and expiring leases."""
        self._permit_queue = kernel.get("permit_queue", PermitQueue)
        self._permit_queue.set_preemption_callback(self._on_preempted)
        self._bus = kernel.get("bus", Bus)
        self._bus.register_handler(AcquirePermit, self._on_acquire)
        self._bus.register_handler(ReleasePermit, self._on_release)
        self._bus.register_handler(FirstToken, self._on_first_token)
        self._bus.register_handler(RenewPermits, self._on_renew)
        self._bus.register_handler(WithdrawRequest, self._on_withdraw)
        self._tasks.spawn_repeated(self._sweep, "lending-sweep")

    async def stop(self) -> None:
        """Stop serving permit requests and expiring leases."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the leased permits with their holders."""
        return {
            "lent": {
                permit_id: lease.holder for permit_id, lease in self._leases.items()
            },
            "asking": len(self._waiting),
        }

    def leased_permits(self, backend_server: str) -> list[tuple[str, str, str]]:
        """Return the permits leased for a backend server.

        Each item is a permit id, the holder's node name and its boot id.
        """
        return [
            (permit_id, lease.holder, lease.holder_boot_id)
            for permit_id, lease in self._leases.items()
            if lease.permit.backend_server == backend_server
        ]

    def adopt(self, permit: Permit, holder: str) -> None:
        """Adopt the lease of a permit that an earlier owner granted."""
        self._add_lease(permit, holder, permit.permit_id)

    def _add_lease(self, permit: Permit, holder: str, attempt_id: str) -> None:
        boot_id = self.boot_id_of(holder)
        lease = Lease(permit, holder, boot_id, attempt_id, now() + LEASE_S)
        self._leases[permit.permit_id] = lease
        self._permit_ids[attempt_id] = permit.permit_id

    async def _on_acquire(self, sender: str, msg: AcquirePermit):
        if msg.ask_id in self._withdrawn or msg.ask_id in self._waiting:
            return None
        if msg.ask_id in self._permit_ids:
            return None
        self._waiting[msg.ask_id] = asyncio.current_task()
        try:
            outcome = await self._permit_queue.acquire(msg.ask, msg.position)
        finally:
            del self._waiting[msg.ask_id]
        match outcome:
            case Result(tag="ok", ok=permit):
                self._add_lease(permit, sender, msg.ask_id)
                return PermitGranted(
                    permit.permit_id,
                    permit.backend_server,
                    permit.boot_id,
                    permit.address,
                    permit.is_limited,
                )
            case Result(error=refusal):
                return PermitRefused(refusal)

    def _on_withdraw(self, sender: str, msg: WithdrawRequest) -> None:
        self._withdrawn[msg.ask_id] = None
        if len(self._withdrawn) > MAX_WITHDRAWN:
            self._withdrawn.popitem(last=False)
        task = self._waiting.get(msg.ask_id)
        if task is not None:
            task.cancel()
        permit_id = self._permit_ids.get(msg.ask_id)
        if permit_id is not None:
            self._return_permit(permit_id, RunReport(RunOutcome.UNUSED))

    def _on_release(self, sender: str, msg: ReleasePermit) -> None:
        self._return_permit(msg.permit_id, msg.report)

    def _on_first_token(self, sender: str, msg: FirstToken) -> None:
        lease = self._leases.get(msg.permit_id)
        if lease is not None:
            self._permit_queue.record_first_token(lease.permit)

    def _on_renew(self, sender: str, msg: RenewPermits) -> None:
        for permit_id in msg.permit_ids:
            lease = self._leases.get(permit_id)
            if lease is not None and lease.holder == sender:
                lease.expires_at = now() + LEASE_S

    def _on_preempted(self, permit: Permit, retry_after_s: float) -> None:
        lease = self._leases.get(permit.permit_id)
        address = self._addresses.get(lease.holder) if lease is not None else None
        if address is not None:
            self._bus.send(address, PreemptRun(permit.permit_id, retry_after_s))

    def _resend_preemptions(self) -> None:
        """Notify holders again of preempted runs, in case a message was lost."""
        for lease in self._leases.values():
            if lease.permit.preempted.done():
                self._on_preempted(lease.permit, lease.permit.preempted.result())

    def _return_permit(self, permit_id: str, report: RunReport) -> None:
        lease = self._leases.pop(permit_id, None)
        if lease is None:
            return
        self._permit_ids.pop(lease.attempt_id, None)
        self._permit_queue.release(lease.permit, report)

    async def _sweep(self) -> None:
        await asyncio.sleep(SWEEP_PERIOD_S)
        expired = [
            permit_id
            for permit_id, lease in self._leases.items()
            if lease.expires_at < now()
        ]
        self._resend_preemptions()
        for permit_id in expired:
            event("info", "lease_expired", permit_id=permit_id)
            self._return_permit(permit_id, RunReport(RunOutcome.UNUSED))


def create(addresses: AddressBook) -> PermitLeases:
    """Create the permit leases of an entry."""
    return PermitLeases(addresses)
