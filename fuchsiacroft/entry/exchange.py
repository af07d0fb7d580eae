"""One caller's request, from its head to the end of its answer."""

import secrets
from dataclasses import dataclass

from aiohttp import web

from fuchsiacroft.entry import problems
from fuchsiacroft.entry.problems import Problem
from fuchsiacroft.entry.progress import Progress
from fuchsiacroft.entry.request import CallerRequest
from fuchsiacroft.routing.permits import RunOutcome

REQUEST_ID_BYTES = 16


@dataclass(slots=True, eq=False)
class Exchange:
    """What is known of one request; logged and counted when it has ended.

    `problem` is the last refusal or error that the caller was given.
    `outcome` is None as long as no permit was used. `left` means that the
    caller went away, `drains` that the connection closes after the answer.
    """

    http: web.BaseRequest
    request_id: str
    started_at: float
    accepted: CallerRequest | None = None
    problem: Problem | None = None
    outcome: RunOutcome | None = None
    progress: Progress | None = None
    left: bool = False
    drains: bool = False

    def refuse(self, problem: Problem) -> web.Response:
        """Return the answer for a problem, and remember it."""
        self.problem = problem
        return problems.response(problem, self.request_id)


def new_request_id() -> str:
    """Return an id that no other request has."""
    return secrets.token_hex(REQUEST_ID_BYTES)
