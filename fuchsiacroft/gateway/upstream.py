"""Connections to backend servers, one for each request.

A connection that carries a single request cannot mix up responses, and closing
it signals to the backend server that the caller has disconnected.
"""

from dataclasses import dataclass

import aiohttp
from expression import Error, Ok, Result
from yarl import URL

from fuchsiacroft.entry.at_most_once import (
    ForeignAnswerError,
    SendGuard,
    open_session,
)
from fuchsiacroft.gateway.routed_request import Headers, RoutedRequest
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.routing.permits import RunOutcome
from fuchsiacroft.utils.rate_limited_log import RateLimitedLog

CONNECT_TIMEOUT_S = 0.35
"""A connect within a region takes a few milliseconds, more after a lost packet."""
MAX_FAILURE_LOGS_PER_S = 50
"""Log limit for failed sends; many failures at a time have the same cause."""


@dataclass(frozen=True, slots=True)
class SendFailure:
    """Why a request has no answer of its own.

    The outcome is `NOT_DISPATCHED` only if no byte was written, and `FAILED` if an
    answer came that isn't shown to be the request's own. `is_timed_out` tells that the
    connection was not open in time.
    """

    outcome: RunOutcome
    is_timed_out: bool = False


class Upstream(Service):
    """Sends each request to a backend server at most once."""

    name = "upstream"

    def __init__(self) -> None:
        self._failures = RateLimitedLog("send_failed", MAX_FAILURE_LOGS_PER_S)

    async def start(self, kernel: Kernel) -> None:
        """Open the HTTP client session."""
        self._session = open_session(CONNECT_TIMEOUT_S)

    async def stop(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def open(
        self,
        address: str,
        request: RoutedRequest,
        headers: Headers,
        body: bytes,
        send_guard: SendGuard,
    ) -> Result[aiohttp.ClientResponse, SendFailure]:
        """Send a request and return the response once its head has arrived."""
        try:
            response = await self._session.request(
                request.method,
                URL(f"http://{address}{request.target}", encoded=True),
                headers=headers,
                data=body or None,
                allow_redirects=False,
                middlewares=(send_guard,),
            )
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            self._failures.event(
                request_id=request.request_id,
                address=address,
                sent=send_guard.sent,
                error=repr(exc),
            )
            if isinstance(exc, ForeignAnswerError):
                return Error(SendFailure(RunOutcome.FAILED))
            if send_guard.sent:
                return Error(SendFailure(RunOutcome.CONNECTION_LOST))
            is_timed_out = isinstance(exc, TimeoutError)
            return Error(SendFailure(RunOutcome.NOT_DISPATCHED, is_timed_out))
        return Ok(response)


def create() -> Upstream:
    """Return the upstream service."""
    return Upstream()
