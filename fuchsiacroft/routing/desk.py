"""Hands out permits for the backend servers that this entry owns."""

import asyncio
import itertools
import uuid
from dataclasses import dataclass, field

from expression import Error, Ok, Result

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
from fuchsiacroft.utils.clock import now

RETRY_AFTER_S = 1.0
QUEUE_LIMIT = 2_000


@dataclass(slots=True)
class OwnedServer:
    """A backend server whose permits this entry hands out."""

    server: BackendServer
    running: dict[str, Permit] = field(default_factory=dict)

    @property
    def room(self) -> int:
        """Return how many more requests may run there now."""
        announcement = self.server.announcement
        if announcement.leaving:
            return 0
        return announcement.slots - len(self.running)


@dataclass(slots=True, eq=False)
class Waiter:
    """An ask in a queue."""

    ask: Ask
    number: int
    deadline: float
    fut: asyncio.Future


class Desk(Service):
    """One queue for each service, ordered by tier and then by arrival."""

    name = "desk"

    def __init__(self, node: str) -> None:
        self._node = node
        self._owned: dict[str, OwnedServer] = {}
        self._queues: dict[str, list[Waiter]] = {}
        self._numbers = itertools.count()
        self._life = uuid.uuid4().hex[:8]

    async def start(self, kernel: Kernel) -> None:
        """Follow the directory of backend servers."""
        directory = kernel.get("backend_servers", BackendDirectory)
        directory.listeners.gone.append(self._on_gone)

    def dump(self) -> dict:
        """Return the owned backend servers and the queues."""
        return {
            "owned": {
                name: {
                    "running": sorted(owned.running),
                    "room": owned.room,
                }
                for name, owned in self._owned.items()
            },
            "waiting": {name: len(queue) for name, queue in self._queues.items()},
        }

    def own(self, server: BackendServer) -> None:
        """Take a backend server over, or note its newest announcement."""
        owned = self._owned.get(server.name)
        if owned is None or owned.server.boot_id != server.boot_id:
            self._owned[server.name] = OwnedServer(server)
        else:
            owned.server = server
        for offer in server.announcement.offers:
            self._serve(offer.service)

    def disown(self, name: str) -> None:
        """Hand out no more permits for a backend server."""
        self._owned.pop(name, None)

    def offers(self, service: str) -> bool:
        """Tell whether an owned backend server offers the service."""
        return any(_offers(owned, service) for owned in self._owned.values())

    async def acquire(self, ask: Ask) -> Result[Permit, Refusal]:
        """Wait for a permit until the ask's timeout."""
        queue = self._queues.setdefault(ask.service, [])
        if len(queue) >= QUEUE_LIMIT:
            return Error(Refusal(RefusalReason.OVERLOADED, RETRY_AFTER_S))
        fut = asyncio.get_running_loop().create_future()
        deadline = now() + ask.timeout_s
        waiter = Waiter(ask, next(self._numbers), deadline, fut)
        queue.append(waiter)
        queue.sort(key=lambda waiting: (waiting.ask.rank, waiting.number))
        self._serve(ask.service)
        try:
            async with asyncio.timeout_at(deadline):
                return Ok(await fut)
        except TimeoutError:
            self._give_back(waiter)
            return Error(Refusal(RefusalReason.TIMED_OUT, RETRY_AFTER_S))
        except asyncio.CancelledError:
            self._give_back(waiter)
            raise
        finally:
            if waiter in queue:
                queue.remove(waiter)

    def release(self, permit: Permit, report: RunReport) -> None:
        """Take a permit back with what was seen of its run."""
        owned = self._owned.get(permit.backend_server)
        if owned is None or owned.running.pop(permit.permit_id, None) is None:
            return
        for offer in owned.server.announcement.offers:
            self._serve(offer.service)

    def _give_back(self, waiter: Waiter) -> None:
        if waiter.fut.done() and not waiter.fut.cancelled():
            report = RunReport(RunOutcome.NOT_DISPATCHED)
            self.release(waiter.fut.result(), report)

    def _serve(self, service: str) -> None:
        queue = self._queues.get(service)
        while queue:
            owned = self._roomiest(service)
            if owned is None:
                return
            waiter = queue.pop(0)
            if not waiter.fut.done():
                waiter.fut.set_result(self._permit(waiter.ask, owned))

    def _roomiest(self, service: str) -> OwnedServer | None:
        offering = [
            owned
            for owned in self._owned.values()
            if owned.room > 0 and _offers(owned, service)
        ]
        return max(offering, key=lambda owned: owned.room, default=None)

    def _permit(self, ask: Ask, owned: OwnedServer) -> Permit:
        permit = Permit(
            permit_id=f"{self._node}-{self._life}-{next(self._numbers)}",
            ask=ask,
            backend_server=owned.server.name,
            boot_id=owned.server.boot_id,
            address=owned.server.announcement.address,
            owner=self._node,
            cut=asyncio.get_running_loop().create_future(),
        )
        owned.running[permit.permit_id] = permit
        return permit

    def _on_gone(self, server: BackendServer) -> None:
        self.disown(server.name)


def _offers(owned: OwnedServer, service: str) -> bool:
    return any(offer.service == service for offer in owned.server.announcement.offers)


def create(node: str) -> Desk:
    """Return the desk of an entry."""
    return Desk(node)
