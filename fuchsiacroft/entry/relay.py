"""Copies the body of an answer from a backend server to its caller.

The copy runs in the callback that receives the bytes: aiohttp parses them, and
what it has parsed is written to the caller's connection at once. The request's
task sleeps until the body has ended or the caller reads too slowly.
"""

import asyncio

import aiohttp
from aiohttp import web

from fuchsiacroft.entry.progress import Progress

WRITE_TIMEOUT_S = 30.0
PARSER_PAUSE_BYTES = 4_096


class SlowCallerError(Exception):
    """The caller has read too little for too long."""


class CallerSink:
    """Writes the body of an answer to the caller's connection.

    The caller's connection buffers at most its high-water mark and one read.
    """

    def __init__(self, http: web.BaseRequest, response: web.StreamResponse) -> None:
        self._http = http
        self._response = response
        self._transport = http.transport
        self._protocol = http.protocol
        self._chunked = False

    @property
    def is_gone(self) -> bool:
        """Tell whether the caller has left."""
        return self._transport is None or self._transport.is_closing()

    @property
    def is_full(self) -> bool:
        """Tell whether the caller must read before more is written."""
        return self._protocol.writing_paused and not self.is_gone

    async def begin(self) -> None:
        """Write the head of the answer."""
        await self._response.prepare(self._http)
        coding = self._response.headers.get("Transfer-Encoding")
        self._chunked = coding == "chunked"

    def write(self, chunk: bytes) -> None:
        """Write a part of the body; what a caller that left misses is lost."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._chunked:
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        transport.write(chunk)

    def close(self, linger_s: float) -> None:
        """Close after what was written, without the end that makes it whole."""
        if self._has_framing:
            self._transport.close()
            loop = asyncio.get_running_loop()
            loop.call_later(linger_s, self._transport.abort)
        else:
            self._transport.abort()

    @property
    def _has_framing(self) -> bool:
        return self._chunked or self._response.content_length is not None

    async def drain(self) -> None:
        """Wait until the caller has read enough."""
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self._http.writer.drain()
        except TimeoutError as exc:
            raise SlowCallerError from exc


class BodyRelay(asyncio.Protocol):
    """Takes the place of aiohttp's protocol on the backend server's connection."""

    def __init__(
        self, upstream: aiohttp.ClientResponse, sink: CallerSink, progress: Progress
    ) -> None:
        self._content = upstream.content
        self._sink = sink
        self._progress = progress
        self._wake: asyncio.Future | None = None
        self._detached = False
        self._transport: asyncio.Transport | None = None
        if upstream.connection is not None:
            self._transport = upstream.connection.transport
        if self._transport is not None:
            self._inner = self._transport.get_protocol()
            self._transport.set_protocol(self)

    async def run(self) -> None:
        """Copy until the body has ended; raise `ClientError` if it broke."""
        try:
            self._pass_on()
            while not self._content.at_eof():
                if self._content.exception() is not None:
                    raise self._content.exception()
                if self._sink.is_full:
                    await self._wait_for_caller()
                    continue
                self._wake = asyncio.get_running_loop().create_future()
                await self._wake
        finally:
            self._detached = True

    def data_received(self, data: bytes) -> None:
        """Parse what came and pass it on."""
        self._inner.data_received(data)
        self._pass_on()

    def eof_received(self) -> None:
        """Pass the end of the connection on to aiohttp."""
        return self._inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass the loss on to aiohttp and look what it means."""
        self._inner.connection_lost(exc)
        self._wake_up()

    def pause_writing(self) -> None:
        """Pass flow control of an upload on to aiohttp."""
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass flow control of an upload on to aiohttp."""
        self._inner.resume_writing()

    def _pass_on(self) -> None:
        content = self._content
        if self._detached or content.exception() is not None:
            self._wake_up()
            return
        # aiohttp's parser pauses only when more than this waits to be read.
        size = PARSER_PAUSE_BYTES
        while size >= PARSER_PAUSE_BYTES:
            chunk = content.read_nowait()
            size = len(chunk)
            if size:
                self._progress.note(chunk)
                self._sink.write(chunk)
        if content.is_eof() or self._sink.is_full:
            self._wake_up()

    def _wake_up(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    async def _wait_for_caller(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()
        await self._sink.drain()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        self._pass_on()
