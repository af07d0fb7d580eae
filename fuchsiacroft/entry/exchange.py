"""The state of one caller's request and its response."""

import asyncio
import secrets
from dataclasses import dataclass, field

from aiohttp import web

from fuchsiacroft.entry import problems
from fuchsiacroft.entry.memory_budget import Claim, MemoryBudget
from fuchsiacroft.entry.problems import Problem
from fuchsiacroft.entry.request import CallerRequest
from fuchsiacroft.entry.request_body import BodyReads
from fuchsiacroft.entry.response_progress import ResponseProgress
from fuchsiacroft.routing.permits import RunOutcome
from fuchsiacroft.utils.clock import now

REQUEST_ID_BYTES = 16


@dataclass(slots=True, eq=False)
class Exchange:
    """The state of one request, logged and counted when it has ended.

    `problem` is the last rejection or error that was sent to the caller.
    `outcome` is that of the last run, or None if no run has ended.
    `is_draining` means that the entry was draining when the request came.
    `body_reads` are the bodies that this entry reads. `body_claim` is what the body of
    this request holds. `budget` is what all requests of the process may hold.
    `timeout` ends the work on the request when the entry stops.
    """

    http: web.BaseRequest
    request_id: str
    started_at: float
    request: CallerRequest | None = None
    problem: Problem | None = None
    outcome: RunOutcome | None = None
    progress: ResponseProgress | None = None
    caller_disconnected: bool = False
    is_draining: bool = False
    body_reads: BodyReads = field(default_factory=BodyReads)
    body_claim: Claim | None = None
    budget: MemoryBudget = field(default_factory=MemoryBudget)
    timeout: asyncio.Timeout | None = None

    @property
    def closes_connection(self) -> bool:
        """Whether the connection is closed after the response."""
        return self.is_draining and not self.http.protocol.has_more_to_read(self.http)

    def end(self) -> None:
        """End the work on the request, because the entry stops."""
        if self.timeout is not None and not self.timeout.expired():
            self.timeout.reschedule(now())

    def error_response(self, problem: Problem) -> web.Response:
        """Record a problem and return its response."""
        self.problem = problem
        return problems.response(problem, self.request_id)


def new_request_id() -> str:
    """Return a unique request id."""
    return secrets.token_hex(REQUEST_ID_BYTES)
