"""The HTTP server for callers, based on aiohttp's low-level server.

Requests that aiohttp's parser rejects also get a problem document. Bodies stay as they
came, whatever their coding.
"""

import asyncio
import os
import socket
import ssl
from collections.abc import Awaitable, Callable

from aiohttp import web

from fuchsiacroft.config.route_table import CallerLimits
from fuchsiacroft.entry import request_body
from fuchsiacroft.utils import connections
from fuchsiacroft.utils.http import split_address
from fuchsiacroft.utils.inbound import (
    HEAD_TIMEOUT_RESPONSE,
    PENDING_READ_GRACE_S,
    Inbound,
    InboundProtocol,
)
from fuchsiacroft.utils.inbound_limits import (
    CALLERS_SHARE,
    TLS_HANDSHAKE_TIMEOUT_S,
    InboundLimits,
    own_connections,
)

BACKLOG = 2_048
CLOSE_GRACE_S = 0.5
BUSY_POLL_S = 0.05
SHUTDOWN_TIMEOUT_S = 1.0
MAX_HEADERS = 256
"""Of one request; each takes some 300 bytes once it is parsed."""
HEAD_SLACK_BYTES = 4 * 1024
"""Of a head besides what its limit counts: method, version, spaces, empty lines."""

GetLimits = Callable[[], CallerLimits]
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
RejectHandler = Callable[[web.BaseRequest, int, str], web.StreamResponse]


class CallerProtocol(InboundProtocol):
    """One caller's connection, with the limits that applied when it was opened.

    `has_received_request` is true once a request has arrived on it.
    """

    __slots__ = ("has_received_request",)

    def __init__(
        self, manager: "CallerServer", limits: CallerLimits, inbound: Inbound, **kwargs
    ) -> None:
        super().__init__(
            manager,
            inbound,
            head_timeout_s=limits.header_timeout_s,
            keepalive_timeout=limits.idle_timeout_s,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            max_headers=MAX_HEADERS,
            **kwargs,
        )
        self.has_received_request = False

    @property
    def is_busy(self) -> bool:
        """Whether a request has begun to arrive, or its answer is not complete."""
        if self.transport is None or self.transport.is_closing():
            return False
        has_begun_head = self._head_timer is not None
        return not self._is_idle or has_begun_head or self.has_unread_bytes

    def close_after(self, http: web.BaseRequest, response: web.StreamResponse) -> None:
        """Close the connection after a response, unless more is to be read from it.

        What is read later is answered too, and the connection is closed once idle.
        """
        if not self.has_more_to_read(http):
            response.force_close()

    def has_more_to_read(self, http: web.BaseRequest) -> bool:
        """Whether the rest of a request's body or a request behind it will be read."""
        if not http.content.is_eof():
            return not request_body.awaits_continue(http)
        return bool(self._messages) or self.has_unread_bytes

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response; while draining, read on until the caller has ended.

        Closing with unread bytes would reset the connection, and the caller could
        lose the answer.
        """
        result = await super().finish_response(request, resp, start_time)
        if self._manager is None or self._manager.drains_until is None:
            return result
        self._lingering_time = max(self._manager.drains_until - self._loop.time(), 0.0)
        if not resp.keep_alive and not request.content.is_eof():
            self._end_writing()
        return result

    def _end_writing(self) -> None:
        if self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()

    def close(self) -> None:
        """Close the connection, immediately if it is idle.

        aiohttp only wakes the task of an idle connection, which ends without
        closing the transport: the next request would be read but never answered.
        """
        is_idle = self._is_idle
        if is_idle and self._head_timer is not None and self.transport is not None:
            self.transport.write(HEAD_TIMEOUT_RESPONSE)
        super().close()
        if is_idle and self.transport is not None:
            self.transport.close()

    def _process_keepalive(self) -> None:
        """Close an idle connection, after pending bytes have been read."""
        self._keepalive_handle = self._loop.call_later(
            PENDING_READ_GRACE_S, super()._process_keepalive
        )

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Reject a request that could not be parsed, and close the connection."""
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already begun")
        response = self._manager.reject(request, status, message or str(exc or ""))
        response.force_close()
        return response


class CallerServer(web.Server):
    """Accepts caller connections, each with the limits that apply when it opens.

    `drains_until` is set while the process drains: when the connections end. Unless
    `has_total_head_limit`, the callers' limit on headers counts for each line.
    """

    def __init__(
        self,
        handler: Handler,
        reject: RejectHandler,
        limits: GetLimits,
        inbound: InboundLimits | None = None,
        *,
        has_total_head_limit: bool = False,
    ) -> None:
        super().__init__(
            handler,
            handler_cancellation=True,
            access_log=None,
            lingering_time=1.0,
            read_bufsize=connections.READ_BUFFER_BYTES,
            auto_decompress=False,
        )
        self.reject = reject
        inbound = inbound or InboundLimits(own_connections(CALLERS_SHARE))
        self._inbound = Inbound("callers", inbound)
        self._limits = limits
        self._has_total_head_limit = has_total_head_limit
        self.drains_until: float | None = None
        self._listener: asyncio.Server | None = None
        self._tls: ssl.SSLContext | None = None

    def __call__(self) -> CallerProtocol:
        """Return the protocol for a new connection."""
        limits = self._limits()
        max_head_bytes = limits.max_header_bytes + HEAD_SLACK_BYTES
        if not self._has_total_head_limit:
            max_head_bytes = max(max_head_bytes, self._inbound.limits.max_head_bytes)
        return CallerProtocol(
            self,
            limits,
            self._inbound,
            max_head_bytes=max_head_bytes,
            loop=self._loop,
            **self._kwargs,
        )

    async def listen(self, address: str, tls: ssl.SSLContext | None) -> None:
        """Bind the address and accept connections."""
        self._tls = tls
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self,
            host,
            port,
            ssl=tls,
            ssl_handshake_timeout=TLS_HANDSHAKE_TIMEOUT_S if tls else None,
            backlog=BACKLOG,
        )
        for sock in self._listener.sockets:
            connections.limit_receive_buffer(sock)

    @property
    def is_busy(self) -> bool:
        """Whether a request arrives or is not answered on any connection."""
        return any(conn.is_busy for conn in self.connections)

    def close_idle(self) -> None:
        """Close idle connections.

        A connection that has received no request yet stays open, because its
        first request may be in flight, and so does one whose next request arrives.
        """
        for conn in self.connections:
            if conn.has_received_request and not conn.is_busy:
                conn.close()

    async def stop_listening(self) -> None:
        """Stop accepting connections, and wait for requests in flight on open ones.

        Connections that the kernel has accepted already are served.
        """
        if self._listener is None:
            return
        # The duplicates keep the kernel's queues, which closing would reset.
        queues = [os.dup(sock.fileno()) for sock in self._listener.sockets]
        self._listener.close()
        self._listener = None
        for queue in queues:
            with socket.socket(fileno=queue) as sock:
                await self._accept_queued(sock)
        if self.connections:
            await asyncio.sleep(CLOSE_GRACE_S)

    async def _accept_queued(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        for _ in range(BACKLOG):
            try:
                conn, _ = sock.accept()
            except BlockingIOError:
                return
            await loop.connect_accepted_socket(self, conn, ssl=self._tls)

    async def _finish_busy(self) -> None:
        """Wait for what arrived last, until the drain's end at most."""
        if any(conn.has_unread_bytes for conn in self.connections):
            await asyncio.sleep(PENDING_READ_GRACE_S)
        while self.is_busy and self.drains_until is not None:
            if asyncio.get_running_loop().time() >= self.drains_until:
                return
            self.close_idle()
            await asyncio.sleep(BUSY_POLL_S)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        await self.stop_listening()
        await self._finish_busy()
        self.pre_shutdown()
        await self.shutdown(SHUTDOWN_TIMEOUT_S)
