"""Which backend servers this VM may send requests to, by what they said of themselves.

The reports of the control members say it for all VMs, the servers' own answers for
this one. A server that says in an answer that it leaves is reported to the control
members and the coordinators at once.
"""

from collections.abc import Callable

from fuchsiacroft.membership.notice_recorder import NoticeRecorder
from fuchsiacroft.membership.registry_wire import (
    ServerRecord,
    ServersChanged,
    ServerState,
)
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.membership.server_notices import (
    NoticedAnswer,
    NoticeReason,
    ServerInstance,
    ServerNotices,
)
from fuchsiacroft.membership.server_starts import ServerStarts
from fuchsiacroft.placing.coordinators import coordinator_of
from fuchsiacroft.placing.messages import SlotAssignment
from fuchsiacroft.placing.server_load import DEFAULT_SLOTS
from fuchsiacroft.transport.bus import Bus
from fuchsiacroft.utils.clock import now

UNKNOWN_START = ""
"""Start of a server that the roster does not list any more."""


class ServerAvailability:
    """The availability of backend servers to the requests of this VM.

    `running` returns how many requests of this VM run on a server, and `starts` are the
    starts of servers that are not certain.
    """

    def __init__(
        self,
        bus: Bus,
        roster: Roster,
        running: Callable[[str], int],
        starts: ServerStarts,
    ) -> None:
        self._bus = bus
        self._roster = roster
        self._running = running
        self._starts = starts
        self._notices = ServerNotices()
        self._recorder = NoticeRecorder(self._notices)
        roster.on_servers_change(self._on_servers)

    def dump(self) -> dict:
        """Return the notices in force."""
        return self._notices.dump()

    def instance(self, placed: SlotAssignment) -> ServerInstance:
        """Return the instance of the server to which a request was assigned."""
        if placed.start:
            return ServerInstance(placed.backend_server, placed.start)
        return self._listed_instance(placed.backend_server)

    def _listed_instance(self, backend_server: str) -> ServerInstance:
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
            self._listed_instance(backend_server),
            self._running(backend_server),
            _slots(record),
            now(),
        )

    def unavailable(self, service: str) -> tuple[str, ...]:
        """Return the servers of a service that get no request from this VM now."""
        if self._notices.is_empty:
            return ()
        return tuple(
            record.name
            for record in self._servers_of(service)
            if self.reason(record.name)
        )

    def resumes_at(self, service: str, version: str | None = None) -> float:
        """Return when a server of a service takes requests from this VM again.

        With a software version, only its servers count.
        This is now if one does already, or if none is known; infinity if all leave.
        """
        at = now()
        if self._notices.is_empty:
            return at
        servers = self._servers_of(service, version)
        times = [self._resumes_at(record, at) for record in servers]
        return min(times, default=at)

    def record(self, answer: NoticedAnswer) -> None:
        """Record what a server said, and notify the others if it leaves."""
        if not self._recorder.record(answer):
            return
        server = answer.server
        record = self._roster.server(server.name)
        if record is None or self._listed_instance(server.name) != server:
            return
        leaving = self._roster.mark_leaving(record)
        if leaving is not None:
            self._notify(leaving)

    def _resumes_at(self, record: ServerRecord, at: float) -> float:
        return self._notices.resumes_at(
            self._listed_instance(record.name),
            self._running(record.name),
            _slots(record),
            at,
        )

    def _servers_of(
        self, service: str, version: str | None = None
    ) -> list[ServerRecord]:
        return [
            record
            for record in self._roster.servers()
            if record.announcement.offers_service(service, version)
        ]

    def _notify(self, record: ServerRecord) -> None:
        """Notify the control members and every domain's coordinator of a leave."""
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
            self._carry_pauses_over()
            self._notices.forget(
                lambda server: self._listed_instance(server.name) == server
            )

    def _carry_pauses_over(self) -> None:
        """Keep the pauses that servers may have asked for after they started again."""
        for server in self._notices.paused():
            listed = self._listed_instance(server.name)
            doubt = self._starts.doubt(server, now())
            if doubt is not None and listed.start not in (server.start, UNKNOWN_START):
                self._notices.carry_over(server, listed, doubt.since)


def _slots(record: ServerRecord | None) -> int:
    return (record.announcement.slots if record is not None else 0) or DEFAULT_SLOTS
