"""One request as the gateway sees it, and the protocol that it came in."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import aiohttp
from aiohttp import web
from expression import Result

from fuchsiacroft.config.route_table import Route, RouteTable
from fuchsiacroft.entry.problems import Problem
from fuchsiacroft.routing.ask import WorkSize

Headers = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class Call:
    """What a caller asks, decoded and allowed by the route table.

    The caller waits for `deadline_s` more; `timeout_s` is the shorter of that
    and the route's. `charge` is
    taken of the workspace's quota. `resume_after` is the id of the last event
    that the caller has, and `event_tokens` are in one event. `headers` are
    passed on as they came.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    route: Route
    service: str
    workspace: str
    rank: int
    deadline_s: float
    timeout_s: float
    size: WorkSize
    charge: float
    resume_after: str | None
    event_tokens: int
    table_version: int


class Dialect(ABC):
    """How callers and backend servers say what the gateway needs to know."""

    @abstractmethod
    def request_id(self, http: web.BaseRequest) -> str:
        """Return the id that the caller gave the request, or an empty text."""

    @abstractmethod
    def read(
        self, http: web.BaseRequest, table: RouteTable, service_of
    ) -> Result[Call, Problem]:
        """Decode a request's head, or return why it is refused.

        `service_of(route)` chooses among the services of a split route.
        """

    @abstractmethod
    def to_backend(
        self, call: Call, backend_server: str, left_s: float, resume_after: str | None
    ) -> Headers:
        """Return the headers that a backend server gets."""

    @abstractmethod
    def to_caller(self, response: aiohttp.ClientResponse) -> Headers:
        """Return a backend server's headers that the caller gets."""

    @abstractmethod
    def did_not_run(self, response: aiohttp.ClientResponse) -> bool:
        """Tell whether a backend server says that it did not run the request."""

    @abstractmethod
    def is_genuine(self, call: Call, response: aiohttp.ClientResponse) -> bool:
        """Tell whether an answer belongs to the request."""

    @abstractmethod
    def refuse(self, problem: Problem, request_id: str) -> web.Response:
        """Return the answer to a caller for a problem."""
