"""Helpers for aiohttp servers."""

import asyncio
import socket
import ssl

from aiohttp import web

from fuchsiacroft.utils import connections
from fuchsiacroft.utils.inbound import Inbound, InboundProtocol
from fuchsiacroft.utils.inbound_limits import (
    CALLERS_SHARE,
    TLS_HANDSHAKE_TIMEOUT_S,
    InboundLimits,
    own_connections,
)

BACKLOG = 1_024
SHUTDOWN_TIMEOUT_S = 1.0


class Listener:
    """An aiohttp application listening on one address, with limits on its clients.

    `name` stands for the address in logs and metrics.
    """

    def __init__(
        self,
        app: web.Application,
        address: str,
        tls: ssl.SSLContext | None = None,
        *,
        name: str = "other",
        limits: InboundLimits | None = None,
    ) -> None:
        self._app = app
        self._address = address
        self._tls = tls
        limits = limits or InboundLimits(own_connections(CALLERS_SHARE))
        self._inbound = Inbound(name, limits)
        self._runner: web.AppRunner | None = None
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Bind the address and accept connections."""
        self._runner = web.AppRunner(
            self._app,
            access_log=None,
            handle_signals=False,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            read_bufsize=connections.READ_BUFFER_BYTES,
        )
        await self._runner.setup()
        host, port = split_address(self._address)
        # The bound on the receive buffer applies to the connections it accepts.
        sock = socket.create_server((host, port), backlog=BACKLOG)
        connections.limit_receive_buffer(sock)
        self._server = await asyncio.get_running_loop().create_server(
            self._create_protocol,
            sock=sock,
            ssl=self._tls,
            ssl_handshake_timeout=TLS_HANDSHAKE_TIMEOUT_S if self._tls else None,
            backlog=BACKLOG,
        )

    def _create_protocol(self) -> InboundProtocol:
        server = self._runner.server
        return InboundProtocol(
            server, self._inbound, loop=asyncio.get_running_loop(), **server._kwargs
        )

    async def stop(self) -> None:
        """Close the socket and every connection."""
        if self._server is not None:
            self._server.close()
        if self._runner is not None:
            await self._runner.cleanup()


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of `IP:PORT`."""
    host, _, port = address.rpartition(":")
    return host, int(port)
