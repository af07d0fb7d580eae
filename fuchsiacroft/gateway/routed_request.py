"""A decoded request with its route, and the interface of protocol adapters."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import aiohttp
from aiohttp import web
from expression import Result

from fuchsiacroft.config.route_table import Route, RouteTable
from fuchsiacroft.entry.answer_identity import RequestName
from fuchsiacroft.entry.problems import Problem
from fuchsiacroft.gateway.answer_flaw import AnswerFlaw
from fuchsiacroft.membership.server_notices import ServerNotice
from fuchsiacroft.routing.permits import WorkSize

Headers = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A caller's request, decoded and matched to a route.

    The caller waits for `deadline_s` from now; `timeout_s` is the shorter of
    that and the route's timeout. `charge` is deducted from the workspace's
    quota. `last_event_id` is the id of the last event that the caller has
    received, and `resumes` the id of the request that brought the first event of the
    stream that this one takes up. `event_tokens` is the number of tokens in one event.
    `shared_parts` are the ids of the parts of its prompt that other requests may have
    too. `headers` are forwarded unchanged.
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
    shared_parts: tuple[str, ...] = ()
    resumes: str | None = None

    @property
    def takes_up_stream(self) -> bool:
        """Whether the caller has the first events of the stream already."""
        has_events = self.last_event_id is not None or self.resumes is not None
        return self.route.kind.is_stream and has_events

    @property
    def longest_stream_s(self) -> float:
        """Seconds in which a caller may take up a stream of this route."""
        return max(self.deadline_s, self.route.timeout_s)


class ProtocolAdapter(ABC):
    """Translates one HTTP protocol of callers and backend servers."""

    @abstractmethod
    def request_id(self, http: web.BaseRequest) -> str:
        """Return the request id that the caller sent, or an empty string."""

    @abstractmethod
    def caller_deadline_s(self, http: web.BaseRequest) -> float | None:
        """Return how many seconds the caller waits, or None if it names no limit."""

    @abstractmethod
    def parse_request(
        self, http: web.BaseRequest, table: RouteTable, choose_service
    ) -> Result[RoutedRequest, Problem]:
        """Decode a request's head, or return the problem that rejects it.

        `choose_service(route)` picks a service of a route with a traffic split.
        """

    @abstractmethod
    def backend_request_headers(
        self,
        request: RoutedRequest,
        backend_server: str,
        remaining_s: float,
        last_event_id: str | None,
    ) -> Headers:
        """Return the headers of the request to the backend server."""

    @abstractmethod
    def caller_response_headers(self, response: aiohttp.ClientResponse) -> Headers:
        """Return the response headers that are passed on to the caller."""

    @abstractmethod
    def request_name(self, request: RoutedRequest) -> RequestName:
        """Return how a backend server names the request that it answers."""

    @abstractmethod
    def is_signed(self, response: aiohttp.ClientResponse) -> bool:
        """Whether the response bears a backend server's signature."""

    @abstractmethod
    def was_not_executed(self, response: aiohttp.ClientResponse) -> bool:
        """Whether the backend server states that it did not execute the request."""

    @abstractmethod
    def server_notice(self, response: aiohttp.ClientResponse) -> ServerNotice:
        """Return what the backend server says of itself in a response."""

    @abstractmethod
    def flaw(self, response: aiohttp.ClientResponse) -> AnswerFlaw | None:
        """Return why the caller can't get the response to a request that has run."""

    @abstractmethod
    def error_response(self, problem: Problem, request_id: str) -> web.Response:
        """Return the response to the caller for a problem."""
