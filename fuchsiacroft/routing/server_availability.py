"""Which backend servers this entry may send requests to, by what they said."""

import math
from collections.abc import Callable

from fuchsiacroft.membership.backend_servers import BackendDirectory, BackendServer
from fuchsiacroft.membership.notice_recorder import NoticeRecorder
from fuchsiacroft.membership.server_notices import (
    NoticedAnswer,
    NoticeReason,
    ServerInstance,
    ServerNotices,
)
from fuchsiacroft.routing.permits import Permit
from fuchsiacroft.utils.clock import now


class ServerAvailability:
    """The availability of backend servers to the requests of this entry.

    `running` returns how many permits of this entry are in use on a server.
    """

    def __init__(
        self, directory: BackendDirectory, running: Callable[[str], int]
    ) -> None:
        self._directory = directory
        self._running = running
        self._notices = ServerNotices()
        self._recorder = NoticeRecorder(self._notices)
        directory.listeners.removed.append(self._on_removed)

    def dump(self) -> dict:
        """Return the notices in force."""
        return self._notices.dump()

    def record(self, answer: NoticedAnswer) -> None:
        """Record what a server said, and notify the others if it leaves."""
        if self._recorder.record(answer):
            self._directory.mark_leaving(answer.server.name, answer.server.start)

    def reason(self, permit: Permit) -> NoticeReason | None:
        """Return why a permit is not to be used now, or None."""
        known = self._directory.get(permit.backend_server)
        slots = 0
        if known is not None and known.boot_id == permit.boot_id:
            if known.announcement.leaving:
                return NoticeReason.LEAVING
            slots = known.announcement.slots
        if self._notices.is_empty:
            return None
        server = ServerInstance(permit.backend_server, permit.boot_id)
        running = self._running(permit.backend_server)
        return self._notices.reason(server, running, slots, now())

    def unavailable(self, service: str) -> tuple[str, ...]:
        """Return the servers of a service that get no request from this entry now."""
        if self._notices.is_empty:
            return ()
        at = now()
        return tuple(
            server.name
            for server in self._directory.offering(service)
            if self._resumes_at(server, at) > at
        )

    def resumes_at(self, service: str, version: str | None = None) -> float:
        """Return when a server of a service takes requests from this entry again.

        With a software version, only its servers count.
        This is now if one does already, or if none is known; infinity if all leave.
        """
        at = now()
        if self._notices.is_empty:
            return at
        servers = self._directory.offering(service, version)
        return min((self._resumes_at(server, at) for server in servers), default=at)

    def _resumes_at(self, server: BackendServer, at: float) -> float:
        if server.announcement.leaving:
            return math.inf
        return self._notices.resumes_at(
            ServerInstance(server.name, server.boot_id),
            self._running(server.name),
            server.announcement.slots,
            at,
        )

    def _on_removed(self, removed: BackendServer) -> None:
        gone = ServerInstance(removed.name, removed.boot_id)
        self._notices.forget(lambda server: server != gone)
