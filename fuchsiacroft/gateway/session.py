"""One request in the gateway, from its head to the end of its answer."""

from dataclasses import dataclass, field

from aiohttp import web

from fuchsiacroft.entry.problems import Problem
from fuchsiacroft.gateway.events import EventSplitter
from fuchsiacroft.gateway.routed_request import RoutedRequest
from fuchsiacroft.utils.clock import now


@dataclass(slots=True, eq=False)
class Session:
    """What is known of one request; `deadline` is on the loop's clock.

    `runs` counts the backend servers that may have run it, `sends` those that
    it was sent to. `tried` names them. `begun` is the answer whose head the
    caller has. `broken_off` tells that this entry ended the connection.
    """

    http: web.BaseRequest
    request_id: str
    started_at: float
    call: RoutedRequest | None = None
    body: bytes = b""
    fingerprint: str = ""
    deadline: float = 0.0
    runs: int = 0
    sends: int = 0
    tried: list[str] = field(default_factory=list)
    begun: web.StreamResponse | None = None
    events: EventSplitter = field(default_factory=EventSplitter)
    problem: Problem | None = None
    first_event_at: float | None = None
    waited_s: float = 0.0
    caller_left: bool = False
    broken_off: bool = False

    @property
    def left_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - now()

    @property
    def resume_after(self) -> str | None:
        """Return the id of the last event that the caller has."""
        if self.events.last_id is not None:
            return self.events.last_id
        return self.call.last_event_id if self.call is not None else None

    @property
    def may_run_again(self) -> bool:
        """Tell whether a request that may have run may be sent once more."""
        route = self.call.route
        return route.kind.is_retryable and self.runs < route.attempts
