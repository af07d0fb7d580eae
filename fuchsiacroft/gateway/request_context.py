"""The state of one request in the gateway."""

import asyncio
from dataclasses import dataclass, field

from aiohttp import web

from fuchsiacroft.entry.memory_budget import Claim
from fuchsiacroft.entry.problems import Problem
from fuchsiacroft.gateway.events import EventSplitter
from fuchsiacroft.gateway.routed_request import RoutedRequest
from fuchsiacroft.membership.server_notices import NoticeReason
from fuchsiacroft.streams.origin import StreamOrigin
from fuchsiacroft.utils.clock import now


@dataclass(slots=True, eq=False)
class RequestContext:
    """The state of one request; `deadline` is on the event loop's clock.

    `runs` counts the attempts that may have executed the request, and `sends` those
    that sent it. `tried` names the backend servers that it was placed on, and `paused`
    those of them that asked this VM to come back later. `notices` are what the servers'
    answers said of them.
    `started_response` is the response whose head the caller has received.
    `has_started_body` is true once the caller has a part of a response that another
    server can't continue.
    `origin` is what began the stream of which the caller has events; it is None while
    the caller has none, and if it is not certain, when `is_origin_unsure`.
    `was_late` is true after a slot could not be used in time.
    `aborted` is true when this entry reset the connection.
    `timeout` ends the work on the request, at its deadline or when the entry stops,
    which `is_stopped` tells. `is_receiving` is true while its body arrives.
    `body_claim` and `response_claims` are what its body and whole responses hold.
    """

    http: web.BaseRequest
    request_id: str
    started_at: float
    request: RoutedRequest | None = None
    body: bytes = b""
    fingerprint: str = ""
    deadline: float = 0.0
    runs: int = 0
    sends: int = 0
    tried: list[str] = field(default_factory=list)
    paused: set[str] = field(default_factory=set)
    notices: list[NoticeReason] = field(default_factory=list)
    started_response: web.StreamResponse | None = None
    has_started_body: bool = False
    origin: StreamOrigin | None = None
    is_origin_unsure: bool = False
    was_late: bool = False
    event_splitter: EventSplitter = field(default_factory=EventSplitter)
    problem: Problem | None = None
    first_event_at: float | None = None
    waited_s: float = 0.0
    caller_disconnected: bool = False
    aborted: bool = False
    timeout: asyncio.Timeout | None = None
    is_stopped: bool = False
    is_receiving: bool = False
    body_claim: Claim | None = None
    response_claims: list[Claim] = field(default_factory=list)

    def release_claims(self) -> None:
        """Hold nothing for this request any more."""
        if self.body_claim is not None:
            self.body_claim.release()
        for claim in self.response_claims:
            claim.release()

    def end(self) -> None:
        """End the work on the request, because the entry stops."""
        if self.timeout is not None and not self.timeout.expired():
            self.is_stopped = True
            self.timeout.reschedule(now())

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - now()

    @property
    def avoid(self) -> tuple[str, ...]:
        """The backend servers on which the request must not be placed again."""
        return tuple(name for name in self.tried if name not in self.paused)

    @property
    def last_event_id(self) -> str | None:
        """The id of the last event that the caller has received."""
        if self.event_splitter.last_id is not None:
            return self.event_splitter.last_id
        return self.request.last_event_id if self.request is not None else None

    @property
    def version(self) -> str | None:
        """The software version at which the request goes on, None if any may run it."""
        return self.origin.version if self.origin is not None else None

    @property
    def may_retry(self) -> bool:
        """Whether a request that may have been executed may be sent again."""
        route = self.request.route
        return route.kind.is_retryable and self.runs < route.attempts
