"""Which backend servers this VM may send requests to, by what they said of themselves.

The reports of the control members say it for all VMs, the servers' own answers for
this one. A server that says in an answer that it leaves is reported to the control
members and the coordinators at once.
"""

import math
from collections.abc import Callable
from datetime import UTC, datetime

from expression import Result

from fuchsiacroft.membership.registry_wire import (
    ServerRecord,
    ServersChanged,
    ServerState,
)
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.membership.server_notices import (
    NoticeReason,
    ServerInstance,
    ServerNotices,
)
from fuchsiacroft.placing.neighbours import coordinator_of
from fuchsiacroft.placing.server_load import DEFAULT_SLOTS
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils import retry_after
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event

UNKNOWN_START = ""
"""Start of a server that the roster does not list any more."""


class ServerAvailability:
    """The availability of backend servers to the requests of this VM.

    `running` returns how many requests of this VM run on a server.
    """

    def __init__(self, bus: Bus, roster: Roster, running: Callable[[str], int]) -> None:
        self._bus = bus
        self._roster = roster
        self._running = running
        self._notices = ServerNotices()
        roster.on_servers_change(self._on_servers)

    def dump(self) -> dict:
        """Return the notices in force."""
        return self._notices.dump()

    def instance(self, backend_server: str) -> ServerInstance:
        """Return the instance that the roster lists under a name."""
        record = self._roster.server(backend_server)
        start = UNKNOWN_START if record is None else str(record.born_ms)
        return ServerInstance(backend_server, start)

    def reason(self, backend_server: str) -> NoticeReason | None:
        """Return why a server gets no request from this VM now, or None."""
        record = self._roster.server(backend_server)
        if record is not None and record.life is not ServerState.SERVING:
            return NoticeReason.LEAVING
        if self._notices.is_empty:
            return None
        return self._notices.reason(
            self.instance(backend_server),
            self._running(backend_server),
            _slots(record),
            now(),
        )

    def paused(self, service: str) -> tuple[str, ...]:
        """Return the servers of a service that want nothing from this VM now."""
        if self._notices.is_empty:
            return ()
        return tuple(
            record.name
            for record in self._servers_of(service)
            if self.reason(record.name)
        )

    def resumes_at(self, service: str) -> float:
        """Return when a server of a service takes requests from this VM again.

        This is now if one does already, or if none is known; infinity if all leave.
        """
        at = now()
        if self._notices.is_empty:
            return at
        times = [self._resumes_at(record, at) for record in self._servers_of(service)]
        return min(times, default=at)

    def record_leaving(self, server: ServerInstance, request_id: str) -> None:
        """Record that a server said in the answer to a request that it leaves."""
        if not self._notices.record_leaving(server):
            return
        event(
            "info",
            "server_says_leaving",
            backend_server=server.name,
            born_ms=server.start,
            request_id=request_id,
        )
        record = self._roster.server(server.name)
        if record is None or self.instance(server.name) != server:
            return
        leaving = self._roster.mark_leaving(record)
        if leaving is not None:
            self._notify(leaving)

    def record_pause(
        self, server: ServerInstance, value: str, longest_s: float, request_id: str
    ) -> None:
        """Record a server's Retry-After; one without sense counts as `longest_s`."""
        match retry_after.parse(value, datetime.now(UTC)):
            case Result(tag="ok", ok=seconds):
                pass
            case Result(error=problem):
                seconds = longest_s
                event(
                    "warning",
                    "retry_after_not_used",
                    backend_server=server.name,
                    value=value,
                    reason=problem,
                    request_id=request_id,
                )
        if seconds > 0:
            self._notices.record_pause(server, seconds, now())
        event(
            "info",
            "server_paused",
            backend_server=server.name,
            born_ms=server.start,
            seconds=round(seconds, 3),
            request_id=request_id,
        )

    def _resumes_at(self, record: ServerRecord, at: float) -> float:
        return self._notices.resumes_at(
            self.instance(record.name),
            self._running(record.name),
            _slots(record),
            at,
        )

    def _servers_of(self, service: str) -> list[ServerRecord]:
        return [
            record
            for record in self._roster.servers()
            if any(offer.service == service for offer in record.announcement.offers)
        ]

    def _notify(self, record: ServerRecord) -> None:
        """Tell the control members and every domain's coordinator of a leave."""
        message = ServersChanged(self._roster.local_entry.peers, (record,))
        entries = self._roster.entries()
        domains = {entry.failure_domain for entry in entries}
        coordinators = [coordinator_of(entries, domain) for domain in domains]
        peers = {entry.peers for entry in coordinators if entry is not None}
        peers.update(self._roster.control_addresses)
        for address in peers - {self._roster.local_entry.peers}:
            self._bus.send(address, message)

    def _on_servers(self, records: tuple[ServerRecord, ...]) -> None:
        if not self._notices.is_empty:
            self._notices.forget(lambda server: self.instance(server.name) == server)


def may_wait(resumes_at: float, max_wait_s: float, at: float) -> bool:
    """Return whether a request may wait until a time."""
    return not math.isinf(resumes_at) and resumes_at - at <= max_wait_s


def _slots(record: ServerRecord | None) -> int:
    return (record.announcement.slots if record is not None else 0) or DEFAULT_SLOTS
