"""The borrower's side: permits in use here, whoever owns them."""

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
    """Keeps the permits in use, renews them, and hears of cuts."""

    def __init__(self, node: str, addresses: AddressBook, owners: Owners) -> None:
        self._node = node
        self._addresses = addresses
        self._owners = owners
        self._held: dict[str, Permit] = {}
        self._tasks = BackgroundTasks("holding")

    def start(self, kernel: Kernel) -> None:
        """Renew borrowed permits from now on."""
        self._directory = kernel.get("backend_servers", BackendDirectory)
        self._bus = kernel.get("bus", Bus)
        self._bus.register_handler(PreemptRun, self._on_cut)
        self._tasks.spawn_critical(self._renew(), "permit-renewal")

    async def stop(self) -> None:
        """Renew nothing any more."""
        await self._tasks.cancel()

    def dump(self) -> dict:
        """Return the permits in use, and the owner that gave each."""
        return {permit_id: held.owner for permit_id, held in self._held.items()}

    def add(self, permit: Permit) -> None:
        """Keep a permit that is in use from now on."""
        self._held[permit.permit_id] = permit

    def remove(self, permit: Permit) -> None:
        """Forget a permit that is given back."""
        self._held.pop(permit.permit_id, None)

    def for_server(self, backend_server: str) -> tuple[Permit, ...]:
        """Return the permits in use for one backend server."""
        return tuple(
            permit
            for permit in self._held.values()
            if permit.backend_server == backend_server
        )

    def owners_for(self, permit: Permit) -> tuple[str, ...]:
        """Return who gave a permit, and who owns its backend server by now."""
        owner = self._owners.owner_of(permit.backend_server)
        if self._directory.get(permit.backend_server) is None or owner is None:
            return (permit.owner,)
        if owner.node == permit.owner:
            return (permit.owner,)
        return permit.owner, owner.node

    def send(self, node: str, msg) -> None:
        """Send a message to an entry by its node name."""
        address = self._addresses.get(node)
        if address is not None:
            self._bus.send(address, msg)

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(RENEW_PERIOD_S)
            by_owner: dict[str, list[str]] = {}
            for permit in self._held.values():
                for owner in self.owners_for(permit):
                    by_owner.setdefault(owner, []).append(permit.permit_id)
            by_owner.pop(self._node, None)
            for owner, permit_ids in by_owner.items():
                self.send(owner, RenewPermits(tuple(permit_ids)))

    async def _on_cut(self, sender: str, msg: PreemptRun) -> None:
        permit = self._held.get(msg.permit_id)
        if permit is not None and not permit.preempted.done():
            permit.preempted.set_result(msg.retry_after_s)
