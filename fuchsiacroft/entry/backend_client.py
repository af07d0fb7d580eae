"""Opens runs on backend servers over HTTP.

A request is written to one connection once. When the connection could not be
opened, nothing was written; after that, the request may have run.
"""

import asyncio

import aiohttp
from expression import Error, Ok, Result

from fuchsiacroft.entry.problems import REQUEST_ID_HEADER
from fuchsiacroft.entry.request import CallerRequest
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.routing.ask import Permit, RunOutcome

CONNECT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 2.0
READ_BUFFER_BYTES = 64 * 1024


class BackendClient(Service):
    """The HTTP connections to backend servers."""

    name = "backend_client"

    async def start(self, kernel: Kernel) -> None:
        """Open the connection pool."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def stop(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def open(
        self, permit: Permit, req: CallerRequest, body
    ) -> Result[aiohttp.ClientResponse, RunOutcome]:
        """Dispatch the request and return the answer's head.

        The error is `NOT_DISPATCHED` only if no byte was written.
        """
        headers = [*req.headers, (REQUEST_ID_HEADER, req.request_id)]
        try:
            response = await self._session.request(
                req.method,
                f"http://{permit.address}{req.path}",
                headers=headers,
                data=body,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Error(RunOutcome.NOT_DISPATCHED)
        except (aiohttp.ClientError, OSError):
            return Error(RunOutcome.CONNECTION_LOST)
        return Ok(response)

    async def cancel(self, permit: Permit) -> None:
        """Tell a backend server to end a run; it may be gone."""
        url = f"http://{permit.address}/runs/{permit.ask.request_id}/cancel"
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                (await self._session.post(url)).close()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return


def create() -> BackendClient:
    """Return the client of an entry."""
    return BackendClient()
