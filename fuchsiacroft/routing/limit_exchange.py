"""Passes on what backend servers say of their limits to the owners of the servers.

An entry reports to the owner of each server what an answer said, and repeats it for a
while, as a message may be lost. A new owner asks all entries for what they know
before it grants permits.
"""

import asyncio
from collections.abc import Container, Iterable

from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership import limit_reports
from fuchsiacroft.membership.backend_servers import BackendDirectory
from fuchsiacroft.membership.limit_recorder import LimitRecorder
from fuchsiacroft.membership.limit_reports import LimitReport, LimitReports
from fuchsiacroft.membership.request_pacing import RequestPacing
from fuchsiacroft.membership.server_notices import NoticedAnswer, ServerInstance
from fuchsiacroft.routing.addresses import AddressBook
from fuchsiacroft.routing.owners import Owners
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.tasks import BackgroundTasks

REPEAT_PERIOD_S = 0.5


class LimitExchange:
    """The limits of backend servers as one entry hears them and passes them on."""

    def __init__(
        self,
        node: str,
        owners: Owners,
        addresses: AddressBook,
        pacing: RequestPacing,
    ) -> None:
        self._node = node
        self._owners = owners
        self._addresses = addresses
        self._pacing = pacing
        self._recorder = LimitRecorder(pacing.limits)
        self._tasks = BackgroundTasks("limit-exchange")

    def start(self, kernel: Kernel) -> None:
        """Start to hear of limits and to repeat them."""
        self._directory = kernel.get("backend_servers", BackendDirectory)
        self._bus = kernel.get("bus", Bus)
        self._bus.register_handler(LimitReports, self._on_limits)
        self._tasks.spawn_repeated(self._repeat, "limit-repeat")

    async def stop(self) -> None:
        """Stop repeating."""
        await self._tasks.cancel()

    def record(self, answer: NoticedAnswer, owners: Iterable[str]) -> None:
        """Record what an answer says of its server's limit, and notify the owners."""
        report = self._recorder.record_answer(answer)
        if report is not None:
            for node in owners:
                self._notify(node, report)

    def known(self, backend_servers: Container[str]) -> tuple[LimitReport, ...]:
        """Return what this entry knows of the limits of some backend servers."""
        at = now()
        return tuple(
            limit_reports.report(server, statement, at)
            for server, statement in self._pacing.limits.statements()
            if server.name in backend_servers
        )

    def merge(self, reports: tuple[LimitReport, ...], source: str) -> None:
        """Record what other entries know."""
        self._recorder.record_reports(reports, source)

    def _notify(self, node: str, *reports: LimitReport) -> None:
        address = self._addresses.get(node)
        if node != self._node and address is not None:
            self._bus.send(address, LimitReports(reports))

    async def _repeat(self) -> None:
        await asyncio.sleep(REPEAT_PERIOD_S)
        self._pacing.limits.forget(self._is_current, now())
        for report in self._recorder.reports():
            owner = self._owners.owner_of(report.backend_server)
            if owner is not None:
                self._notify(owner.node, report)

    def _is_current(self, server: ServerInstance) -> bool:
        known = self._directory.get(server.name)
        return known is not None and known.boot_id == server.start

    def _on_limits(self, sender: str, msg: LimitReports) -> None:
        self.merge(msg.reports, sender)
