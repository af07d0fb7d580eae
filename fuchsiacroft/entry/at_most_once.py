"""HTTP requests that are sent once, each on a connection of its own.

aiohttp sends an idempotent method again by itself when the connection is lost,
also on a new connection. A `SendGuard` forbids the second sending and knows
whether a byte of the request may have left.
"""

import asyncio
from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler

READ_BUFFER_BYTES = 64 * 1024
SKIPPED_HEADERS = ("User-Agent", "Accept-Encoding", "Accept", "Content-Type")


class AlreadySentError(aiohttp.ClientError):
    """aiohttp tried to send a request a second time."""


class SendGuard:
    """One try to dispatch; `sent` means that a byte may have left."""

    def __init__(self) -> None:
        self.sent = False

    async def __call__(
        self, req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Let the request through once (an aiohttp client middleware)."""
        if self.sent:
            raise AlreadySentError
        req.sending = self
        return await handler(req)


class SentOnceRequest(aiohttp.ClientRequest):
    """Notes on its `sending` when it begins to write to a connection."""

    sending: SendGuard

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Write the request."""
        self.sending.sent = True
        return await super().send(conn)


class ResetAwareHandler(ResponseHandler):
    """A connection on which a reset ends no answer.

    aiohttp takes any end of a connection for the end of an answer without a
    length, a reset too.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark an answer that a reset cuts off as broken."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("the answer was reset"))
        super().connection_lost(exc)


class AddressConnector(aiohttp.BaseConnector):
    """Opens a plain connection to an IP address and port, without a resolver.

    Each request has a connection of its own.
    """

    def __init__(self) -> None:
        super().__init__(limit=0, force_close=True)
        self._factory = partial(ResetAwareHandler, loop=self._loop)

    async def _create_connection(
        self, req: aiohttp.ClientRequest, traces: list, timeout: aiohttp.ClientTimeout
    ) -> ResponseHandler:
        """Connect once (aiohttp calls this for each new connection)."""
        url = req.url
        try:
            async with asyncio.timeout(timeout.sock_connect):
                _, protocol = await self._loop.create_connection(
                    self._factory, url.raw_host, url.port
                )
        except TimeoutError:
            raise
        except OSError as exc:
            raise aiohttp.ClientConnectorError(req.connection_key, exc) from exc
        return protocol


def open_session(connect_timeout_s: float) -> aiohttp.ClientSession:
    """Return a session that passes requests and answers on as they are."""
    return aiohttp.ClientSession(
        connector=AddressConnector(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
        request_class=SentOnceRequest,
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
        skip_auto_headers=SKIPPED_HEADERS,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
