"""The connections to backend servers, a new one for each request.

A connection that carries one request only cannot mix up answers, and its end
tells the backend server that the caller has left.
"""

import aiohttp
from expression import Error, Ok, Result
from yarl import URL

from fuchsiacroft.entry.at_most_once import SendGuard, open_session
from fuchsiacroft.gateway.routed_request import Headers, RoutedRequest
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.routing.permits import RunOutcome
from fuchsiacroft.utils.rate_limited_log import RateLimitedLog

CONNECT_TIMEOUT_S = 0.35
"""A connection inside a region takes some milliseconds, or a lost packet more."""
FAILURE_LINES = 50
"""Failed sends that are logged in a second; many at a time have one cause."""


class Upstream(Service):
    """Sends requests to backend servers, each once."""

    name = "upstream"

    def __init__(self) -> None:
        self._failures = RateLimitedLog("send_failed", FAILURE_LINES)

    async def start(self, kernel: Kernel) -> None:
        """Open the session."""
        self._session = open_session(CONNECT_TIMEOUT_S)

    async def stop(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def open(
        self,
        address: str,
        call: RoutedRequest,
        headers: Headers,
        body: bytes,
        sending: SendGuard,
    ) -> Result[aiohttp.ClientResponse, RunOutcome]:
        """Send a request and return the answer's head.

        The error is `NOT_DISPATCHED` only if no byte was written.
        """
        try:
            response = await self._session.request(
                call.method,
                URL(f"http://{address}{call.target}", encoded=True),
                headers=headers,
                data=body or None,
                allow_redirects=False,
                middlewares=(sending,),
            )
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            self._failures.event(
                request_id=call.request_id,
                address=address,
                sent=sending.sent,
                error=repr(exc),
            )
            if sending.sent:
                return Error(RunOutcome.CONNECTION_LOST)
            return Error(RunOutcome.NOT_DISPATCHED)
        return Ok(response)


def create() -> Upstream:
    """Return the connections of an entry."""
    return Upstream()
