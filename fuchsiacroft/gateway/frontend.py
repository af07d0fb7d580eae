"""The callers' side of the gateway: connections, draining, and each ending."""

import asyncio

from aiohttp import web

from fuchsiacroft.config.route_source import RouteSource
from fuchsiacroft.config.route_table import CallerLimits
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.entry import problems
from fuchsiacroft.entry.caller_server import CLOSE_GRACE_S, CallerServer
from fuchsiacroft.gateway.forwarder import BrokenOffError, Forwarder
from fuchsiacroft.gateway.records import RequestRecords
from fuchsiacroft.gateway.routed_request import ProtocolAdapter
from fuchsiacroft.gateway.session import Session
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.membership.roster import Roster
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.metrics import Metrics

NOTICE_S = 2.5
"""After two missed questions, a second apart, the balancer sends no more here."""
DRAIN_POLL_S = 0.05


class Frontend(Service):
    """Listens for callers and answers each request once."""

    name = "front"

    def __init__(
        self, settings: Settings, dialect: ProtocolAdapter, records: RequestRecords
    ) -> None:
        self._settings = settings
        self._records = records
        self._dialect = dialect
        self._in_progress: set[Session] = set()
        self._draining = False
        self._ends_at: float | None = None
        self._server: CallerServer | None = None

    async def start(self, kernel: Kernel) -> None:
        """Listen for callers."""
        self._forwarder = kernel.get("forwarder", Forwarder)
        self._roster = kernel.get("roster", Roster)
        self._tables = kernel.get("route_table", RouteSource)
        self._server = CallerServer(self._handle, self._refuse, self._limits)
        await self._server.listen(self._settings.addresses.callers, None)

    async def drain(self) -> None:
        """Be not ready, serve what still comes, and end what is in progress.

        What has not ended after `drain_timeout_s` is broken off.
        """
        self._draining = True
        self._roster.start_draining()
        deadline = now() + self._settings.drain_timeout_s
        await asyncio.sleep(NOTICE_S)
        self._ends_at = deadline
        await self._end_requests(deadline - CLOSE_GRACE_S)
        await self._server.stop_listening()
        await self._end_requests(deadline)
        if self._in_progress:
            event("error", "drain_timed_out", in_progress=len(self._in_progress))
            self._break_off()

    async def _end_requests(self, deadline: float) -> None:
        """Wait until nothing is in progress; close what is idle meanwhile."""
        while now() < deadline:
            self._server.close_idle()
            if not self._in_progress:
                return
            await asyncio.sleep(DRAIN_POLL_S)

    def _break_off(self) -> None:
        """End the connections of what is in progress, and so the runs."""
        for session in list(self._in_progress):
            session.broken_off = True
            self._abort(session.http)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            await self._server.close()

    def dump(self) -> dict:
        """Return the requests in progress."""
        return {
            "draining": self._draining,
            "in_progress": [
                {
                    "request_id": session.request_id,
                    "seconds": round(now() - session.started_at, 3),
                    "tried": session.tried,
                }
                for session in list(self._in_progress)[:1_000]
            ],
        }

    def not_ready_reason(self) -> str | None:
        """Return why callers should go elsewhere, or None."""
        return "draining" if self._draining else None

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        session = Session(http, self._dialect.request_id(http), now())
        http.protocol.has_received_request = True
        self._in_progress.add(session)
        status = 0
        try:
            response = await self._forwarder.serve(session, self._ends_at)
            status = response.status
            if self._draining and not response.prepared:
                response.force_close()
            return response
        except BrokenOffError:
            self._abort(http)
            raise ConnectionError("the answer was broken off") from None
        except (ConnectionError, asyncio.CancelledError):
            session.caller_left = not session.broken_off
            raise
        except Exception as exc:
            status = 500
            event(
                "error",
                "request_failed",
                request_id=session.request_id,
                error=repr(exc),
            )
            return self._failed(session)
        finally:
            self._in_progress.discard(session)
            self._record(session, status)

    def _limits(self) -> CallerLimits:
        table = self._tables.table
        return table.limits if table is not None else CallerLimits()

    def _failed(self, session: Session) -> web.Response:
        if session.begun is not None:
            self._abort(session.http)
            raise ConnectionError("the answer has begun")
        session.problem = problems.INTERNAL_ERROR
        return self._dialect.error_response(session.problem, session.request_id)

    def _abort(self, http: web.BaseRequest) -> None:
        """End a connection so that what was sent does not look complete."""
        if http.transport is not None:
            http.transport.abort()

    def _refuse(
        self, http: web.BaseRequest, status: int, message: str
    ) -> web.StreamResponse:
        session = Session(http, "", now())
        session.problem = problems.unparsed(status, message)
        self._record(session, status)
        return self._dialect.error_response(session.problem, session.request_id)

    def _record(self, session: Session, status: int) -> None:
        version, age_s = self._tables.version, self._tables.age_s
        self._records.note_version(version, age_s)
        self._records.note(session, status, version, age_s)


def create(settings: Settings, dialect: ProtocolAdapter, metrics: Metrics) -> Frontend:
    """Return the callers' side of an entry."""
    return Frontend(settings, dialect, RequestRecords(metrics))
