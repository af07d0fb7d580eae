"""The HTTP server for callers: aiohttp's low-level server, without routes.

What aiohttp's parser refuses is answered with a problem document as well.
"""

import asyncio
import ssl
from collections.abc import Awaitable, Callable

from aiohttp import web

from fuchsiacroft.utils.http import split_address

BACKLOG = 2_048
KEEPALIVE_S = 75.0
LAST_REQUESTS_S = 0.5
SHUTDOWN_TIMEOUT_S = 1.0

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
Refuse = Callable[[web.BaseRequest, int, str], web.StreamResponse]


class CallerProtocol(web.RequestHandler):
    """One caller's connection; `heard` tells whether a request has come on it."""

    __slots__ = ("heard",)

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.heard = False

    def close(self) -> None:
        """Close the connection, an idle one at once.

        aiohttp wakes the task of an idle connection, which ends without closing
        the transport, so that the next request would be read and never answered.
        """
        is_idle = self._waiter is not None and not self._waiter.done()
        super().close()
        if is_idle and self.transport is not None:
            self.transport.close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that could not be parsed, and close."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun")
        response = self._manager.refuse(request, status, message or str(exc or ""))
        response.force_close()
        return response


class CallerServer(web.Server):
    """Listens for callers."""

    def __init__(self, handler: Handler, refuse: Refuse) -> None:
        super().__init__(
            handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            lingering_time=1.0,
        )
        self.refuse = refuse
        self._listening: asyncio.Server | None = None

    def __call__(self) -> CallerProtocol:
        """Return the protocol of a new connection."""
        return CallerProtocol(self, loop=self._loop, **self._kwargs)

    async def listen(self, address: str, tls: ssl.SSLContext | None) -> None:
        """Bind the address and accept connections."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._listening = await loop.create_server(
            self, host, port, ssl=tls, backlog=BACKLOG
        )

    def close_idle(self) -> None:
        """Close connections that are idle, and the others after their request.

        One on which no request has come yet stays: its first may be on its way.
        """
        for conn in self.connections:
            if conn.heard:
                conn.close()

    async def stop_listening(self) -> None:
        """Accept no more connections, and hear first requests out."""
        if self._listening is None:
            return
        self._listening.close()
        self._listening = None
        if self.connections:
            await asyncio.sleep(LAST_REQUESTS_S)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        await self.stop_listening()
        self.pre_shutdown()
        await self.shutdown(SHUTDOWN_TIMEOUT_S)
