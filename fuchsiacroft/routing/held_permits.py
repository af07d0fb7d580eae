"""Permits in use by this entry, from any owner."""

import asyncio

from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership.backend_servers import BackendDirectory
from fuchsiacroft.routing.addresses import AddressBook
from fuchsiacroft.routing.messages import PreemptRun, RenewPermits
from fuchsiacroft.routing.owners import Owners
from fuchsiacroft.routing.permits import Permit
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.tasks import BackgroundTasks

RENEW_PERIOD_S = 1.0


class HeldPermits:
    """Tracks the permits in use, renews their leases and receives preemptions."""

    def __init__(self, node: str, addresses: AddressBook, owners: Owners) -> None:
        self._node = node
        self._addresses = addresses
        self._owners = owners
        self._held: dict[str, Permit] = {}
        self._tasks = BackgroundTasks("holding")

    def start(self, kernel: Kernel) -> None:
        """Start renewing leased permits."""
        self._directory = kernel.get("backend_servers", BackendDirectory)
        self._bus = kernel.get("bus", Bus)
        self._bus.register_handler(PreemptRun, self._on_preempt_run)
        self._tasks.spawn_repeated(self._renew, "permit-renewal")

    async def stop(self) -> None:
        """Stop renewing."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the permits in use, with the owner that granted each."""
        return {permit_id: held.owner for permit_id, held in self._held.items()}

    def add(self, permit: Permit) -> None:
        """Add a permit that is now in use."""
        self._held[permit.permit_id] = permit

    def remove(self, permit: Permit) -> None:
        """Remove a permit that was returned."""
        self._held.pop(permit.permit_id, None)

    def for_server(self, backend_server: str) -> tuple[Permit, ...]:
        """Return the permits in use for one backend server."""
        return tuple(
            permit
            for permit in self._held.values()
            if permit.backend_server == backend_server
        )

    def owners_for(self, permit: Permit) -> tuple[str, ...]:
        """Return the owner that granted a permit and, if changed, the current one."""
        owner = self._owners.owner_of(permit.backend_server)
        if self._directory.get(permit.backend_server) is None or owner is None:
            return (permit.owner,)
        if owner.node == permit.owner:
            return (permit.owner,)
        return permit.owner, owner.node

    def send(self, node: str, msg) -> None:
        """Send a message to an entry, by node name."""
        address = self._addresses.get(node)
        if address is not None:
            self._bus.send(address, msg)

    async def _renew(self) -> None:
        await asyncio.sleep(RENEW_PERIOD_S)
        by_owner: dict[str, list[str]] = {}
        for permit in self._held.values():
            for owner in self.owners_for(permit):
                by_owner.setdefault(owner, []).append(permit.permit_id)
        by_owner.pop(self._node, None)
        for owner, permit_ids in by_owner.items():
            self.send(owner, RenewPermits(tuple(permit_ids)))

    def _on_preempt_run(self, sender: str, msg: PreemptRun) -> None:
        permit = self._held.get(msg.permit_id)
        if permit is not None and not permit.preempted.done():
            permit.preempted.set_result(msg.retry_after_s)
