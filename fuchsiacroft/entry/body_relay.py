"""Copies a response body from a backend server to the caller.

The copy runs in the callback that receives the bytes: aiohttp parses them, and
the parsed bytes are written to the caller's connection immediately. The
request's task waits until the body has ended or the caller reads too slowly.
"""

import asyncio

import aiohttp
from aiohttp import HttpVersion11, web

from fuchsiacroft.entry.memory_budget import MemoryBudget, Use
from fuchsiacroft.entry.response_progress import ResponseProgress
from fuchsiacroft.entry.second_answer import SecondAnswerError, SecondAnswerFinder
from fuchsiacroft.entry.slow_reader import wait_until_read
from fuchsiacroft.utils import connections

WRITE_TIMEOUT_S = 30.0
PARSER_PAUSE_BYTES = 4_096


class ResponseWriter:
    """Writes a response to the caller's connection.

    The connection buffers at most its high-water mark plus one read.
    """

    def __init__(
        self,
        http: web.BaseRequest,
        response: web.StreamResponse,
        budget: MemoryBudget,
    ) -> None:
        self._http = http
        self._budget = budget
        self._response = response
        self._transport = http.transport
        self._protocol = http.protocol
        self._chunked = False

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has disconnected."""
        return self._transport is None or self._transport.is_closing()

    @property
    def is_blocked(self) -> bool:
        """Whether the write buffer is full until the caller reads."""
        return self._protocol.writing_paused and not self.is_disconnected

    @property
    def has_length(self) -> bool:
        """Whether the caller knows the length of the body."""
        return self._response.content_length is not None

    @property
    def _ends_with_connection(self) -> bool:
        return self._http.version < HttpVersion11 and not self.has_length

    async def start(self) -> None:
        """Write the response head.

        A connection whose end is that of the body ends in a reset until `finish`.
        """
        if self._ends_with_connection:
            connections.reset_at_close(self._transport)
        await self._response.prepare(self._http)
        encoding = self._response.headers.get("Transfer-Encoding")
        self._chunked = encoding == "chunked"

    def write(self, chunk: bytes) -> None:
        """Write a chunk of the body; it is dropped if the caller has disconnected."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._chunked:
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        transport.write(chunk)

    async def finish(self) -> None:
        """Write the end of a whole response."""
        await self._response.write_eof()
        if self._ends_with_connection and not self.is_disconnected:
            self._transport.set_write_buffer_limits(high=0)
            await self._http.writer.drain()
            connections.close_in_order(self._transport)

    def close(self, linger_s: float) -> None:
        """Close the connection before the caller has got the whole response.

        A framed response is closed after its buffered data, or aborted after
        `linger_s` seconds. Any other response is reset at once, because an
        orderly close would make it appear complete.
        """
        if self._chunked or self.has_length:
            self._transport.close()
            loop = asyncio.get_running_loop()
            loop.call_later(linger_s, self._transport.abort)
        else:
            connections.reset(self._transport)

    async def drain(self) -> None:
        """Wait until the write buffer has drained; raise `SlowCallerError`."""
        claim = self._budget.open(Use.RESPONSE)
        try:
            await wait_until_read(self._http, claim, timeout_s=WRITE_TIMEOUT_S)
        finally:
            claim.release()


class BodyRelay(asyncio.Protocol):
    """Wraps aiohttp's protocol on the backend server's connection."""

    def __init__(
        self,
        upstream: aiohttp.ClientResponse,
        writer: ResponseWriter,
        progress: ResponseProgress,
        finder: SecondAnswerFinder,
    ) -> None:
        self._content = upstream.content
        self._writer = writer
        self._progress = progress
        self._finder = finder
        self._waiter: asyncio.Future | None = None
        self._detached = False
        self._transport: asyncio.Transport | None = None
        if upstream.connection is not None:
            self._transport = upstream.connection.transport
        if self._transport is not None:
            self._inner = self._transport.get_protocol()
            self._transport.set_protocol(self)

    async def run(self) -> None:
        """Copy until the body has ended; raise `ClientError` if it is incomplete."""
        try:
            self._forward()
            while self._content.exception() is not None or not self._content.at_eof():
                if self._content.exception() is not None:
                    raise self._content.exception()
                if self._writer.is_blocked:
                    await self._wait_for_caller()
                    continue
                self._waiter = asyncio.get_running_loop().create_future()
                await self._waiter
        finally:
            self._detached = True

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes and forward them."""
        self._inner.data_received(data)
        self._forward()

    def eof_received(self) -> None:
        """Forward the end of the connection to aiohttp."""
        return self._inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forward the loss to aiohttp and wake the task to check the body."""
        self._inner.connection_lost(exc)
        self._wake_up()

    def pause_writing(self) -> None:
        """Forward flow control of the upload to aiohttp."""
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Forward flow control of the upload to aiohttp."""
        self._inner.resume_writing()

    def _forward(self) -> None:
        content = self._content
        if self._detached or content.exception() is not None:
            self._wake_up()
            return
        # aiohttp's parser pauses only when more bytes than this are unread.
        size = PARSER_PAUSE_BYTES
        while size >= PARSER_PAUSE_BYTES:
            chunk = content.read_nowait()
            size = len(chunk)
            if not self._is_own(chunk):
                break
            if size:
                self._progress.record(chunk)
                self._writer.write(chunk)
        if content.is_eof() or self._writer.is_blocked:
            self._wake_up()

    def _is_own(self, chunk: bytes) -> bool:
        """Return whether no other answer begins in the chunk; fail the body if so."""
        try:
            self._finder.feed(chunk)
            if self._content.is_eof():
                self._finder.end()
        except SecondAnswerError as exc:
            self._content.set_exception(exc)
            self._wake_up()
            return False
        return True

    def _wake_up(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait_for_caller(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()
        await self._writer.drain()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        self._forward()
