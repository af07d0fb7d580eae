"""The HTTP server for callers: aiohttp's low-level server, without routes.

What aiohttp's parser refuses is answered with a problem document as well.
"""

import asyncio
import ssl
from collections.abc import Awaitable, Callable

from aiohttp import web

from fuchsiacroft.config.route_table import CallerLimits
from fuchsiacroft.utils.http import split_address
from fuchsiacroft.utils.rate_limited_log import RateLimitedLog

BACKLOG = 2_048
CLOSE_GRACE_S = 0.5
SHUTDOWN_TIMEOUT_S = 1.0
REREAD_S = 0.05
"""After a pause of the process, bytes that wait are read before a timer counts."""
SLOW_HEAD_LINES = 10
"""A second; each caller that is slow again and again would write one."""
HEAD_TIMED_OUT = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

Limits = Callable[[], CallerLimits]
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
Refuse = Callable[[web.BaseRequest, int, str], web.StreamResponse]


class CallerProtocol(web.RequestHandler):
    """One caller's connection, with the limits at its start.

    `has_received_request` tells whether a request has come on it.
    """

    __slots__ = ("_head_timeout_s", "_head_timer", "has_received_request")

    def __init__(self, manager: "CallerServer", limits: CallerLimits, **more) -> None:
        super().__init__(
            manager,
            keepalive_timeout=limits.idle_timeout_s,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            **more,
        )
        self.has_received_request = False
        self._head_timeout_s = limits.header_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None

    @property
    def _is_idle(self) -> bool:
        """Tell whether no whole head has come that is not answered yet."""
        return self._waiter is not None and not self._waiter.done()

    def close(self) -> None:
        """Close the connection, an idle one at once.

        aiohttp wakes the task of an idle connection, which ends without closing
        the transport, so that the next request would be read and never answered.
        """
        is_idle = self._is_idle
        super().close()
        if is_idle and self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Read what has come; the rest of a head must come within its time."""
        super().data_received(data)
        if not self._is_idle:
            self._stop_head_timer()
        elif self._head_timer is None and data.strip():
            self._head_timer = self._loop.call_later(
                self._head_timeout_s, self._reread_head
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """End what belongs to the connection."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _reread_head(self) -> None:
        self._head_timer = self._loop.call_later(REREAD_S, self._give_up_head)

    def _give_up_head(self) -> None:
        self._head_timer = None
        if self.transport is None or not self._is_idle:
            return
        self._manager.slow_heads.event(after_s=self._head_timeout_s)
        self.transport.write(HEAD_TIMED_OUT)
        self.close()

    def _process_keepalive(self) -> None:
        """Close an idle connection, after bytes that wait have been read."""
        self._keepalive_handle = self._loop.call_later(
            REREAD_S, super()._process_keepalive
        )

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
    """Listens for callers; each new connection gets the limits of its moment."""

    def __init__(self, handler: Handler, refuse: Refuse, limits: Limits) -> None:
        super().__init__(
            handler, handler_cancellation=True, access_log=None, lingering_time=1.0
        )
        self.refuse = refuse
        self.slow_heads = RateLimitedLog("head_timed_out", SLOW_HEAD_LINES)
        self._limits = limits
        self._listening: asyncio.Server | None = None

    def __call__(self) -> CallerProtocol:
        """Return the protocol of a new connection."""
        return CallerProtocol(self, self._limits(), loop=self._loop, **self._kwargs)

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
            if conn.has_received_request:
                conn.close()

    async def stop_listening(self) -> None:
        """Accept no more connections, and hear first requests out."""
        if self._listening is None:
            return
        self._listening.close()
        self._listening = None
        if self.connections:
            await asyncio.sleep(CLOSE_GRACE_S)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        await self.stop_listening()
        self.pre_shutdown()
        await self.shutdown(SHUTDOWN_TIMEOUT_S)
