"""One request as the gateway sees it, and the protocol that it came in."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import aiohttp
from aiohttp import web
from expression import Result

from fuchsiacroft.config.route_table import Route, RouteTable
from fuchsiacroft.entry.problems import Problem
from fuchsiacroft.routing.permits import WorkSize

Headers = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """What a caller asks, decoded and allowed by the route table.

    The caller waits for `deadline_s` more; `timeout_s` is the shorter of that
    and the route's. `charge` is
    taken of the workspace's quota. `last_event_id` is the id of the last event
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
    last_event_id: str | None
    event_tokens: int
    table_version: int


class ProtocolAdapter(ABC):
    """How callers and backend servers say what the gateway needs to know."""

    @abstractmethod
    def request_id(self, http: web.BaseRequest) -> str:
        """Return the id that the caller gave the request, or an empty text."""

    @abstractmethod
    def parse_request(
        self, http: web.BaseRequest, table: RouteTable, choose_service
    ) -> Result[RoutedRequest, Problem]:
        """Decode a request's head, or return why it is refused.

        `choose_service(route)` chooses among the services of a split route.
        """

    @abstractmethod
    def backend_request_headers(
        self,
        call: RoutedRequest,
        backend_server: str,
        remaining_s: float,
        last_event_id: str | None,
    ) -> Headers:
        """Return the headers that a backend server gets."""

    @abstractmethod
    def caller_response_headers(self, response: aiohttp.ClientResponse) -> Headers:
        """Return a backend server's headers that the caller gets."""

    @abstractmethod
    def was_not_executed(self, response: aiohttp.ClientResponse) -> bool:
        """Tell whether a backend server says that it did not run the request."""

    @abstractmethod
    def matches_request(
        self, call: RoutedRequest, response: aiohttp.ClientResponse
    ) -> bool:
        """Tell whether an answer belongs to the request."""

    @abstractmethod
    def error_response(self, problem: Problem, request_id: str) -> web.Response:
        """Return the answer to a caller for a problem."""
