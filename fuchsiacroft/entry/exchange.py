"""The state of one caller's request and its response."""

import secrets
from dataclasses import dataclass

from aiohttp import web

from fuchsiacroft.entry import problems
from fuchsiacroft.entry.problems import Problem
from fuchsiacroft.entry.request import CallerRequest
from fuchsiacroft.entry.response_progress import ResponseProgress
from fuchsiacroft.routing.permits import RunOutcome

REQUEST_ID_BYTES = 16


@dataclass(slots=True, eq=False)
class Exchange:
    """The state of one request, logged and counted when it has ended.

    `problem` is the last rejection or error that was sent to the caller.
    `outcome` is that of the last run, or None if no run has ended.
    `closes_connection` means that the connection is closed after the response.
    """

    http: web.BaseRequest
    request_id: str
    started_at: float
    request: CallerRequest | None = None
    problem: Problem | None = None
    outcome: RunOutcome | None = None
    progress: ResponseProgress | None = None
    caller_disconnected: bool = False
    closes_connection: bool = False

    def error_response(self, problem: Problem) -> web.Response:
        """Record a problem and return its response."""
        self.problem = problem
        return problems.response(problem, self.request_id)


def new_request_id() -> str:
    """Return a unique request id."""
    return secrets.token_hex(REQUEST_ID_BYTES)
