"""Passes the response of one backend server on to the caller."""

import contextlib
from abc import ABC, abstractmethod
from collections.abc import Iterator

import aiohttp
from aiohttp import HttpVersion11, web

from fuchsiacroft.entry import http_headers
from fuchsiacroft.entry.second_answer import SecondAnswerError, SecondAnswerFinder
from fuchsiacroft.entry.slow_reader import (
    RELAY_BYTES,
    STREAM_BYTES,
    WRITE_BUFFER_BYTES,
    limit_write_buffer,
    wait_until_read,
)
from fuchsiacroft.gateway.answer_body import FramedBody, UnframedBody
from fuchsiacroft.gateway.answer_flaw import AnswerFlaw
from fuchsiacroft.gateway.attempt_result import AttemptResult
from fuchsiacroft.gateway.buffered_bytes import BufferedBytes, HeldBytes
from fuchsiacroft.gateway.event_times import EventTimes
from fuchsiacroft.gateway.events import EventOrderError
from fuchsiacroft.gateway.request_context import RequestContext
from fuchsiacroft.gateway.routed_request import ProtocolAdapter
from fuchsiacroft.gateway.silence_watch import SilenceWatch
from fuchsiacroft.utils import connections
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.tracebacks import drop_traceback

Body = FramedBody | UnframedBody

SERVER_ERROR = 500
MAX_BUFFERED_BYTES = 1024 * 1024
"""Larger plain responses are relayed, which bounds the memory of a request."""


class ServerLostError(Exception):
    """The connection to the backend server was lost in the middle of a stream."""


class CallerLeftError(ConnectionError):
    """The caller closed its connection in the middle of the response."""


class RelayListener(ABC):
    """Follows the progress of a response that is relayed."""

    @abstractmethod
    def watch(self) -> SilenceWatch:
        """Return a watch for silence, whose `TimeoutError` is passed on."""

    @abstractmethod
    def on_first_event(self) -> None:
        """Record that the first event has come."""

    @abstractmethod
    def on_progress(self) -> None:
        """Record that events or a whole response have come."""


class ResponseRelay:
    """Relays a stream by events, and any other response whole.

    `response` is set once the caller has, or can get, the whole response. `began_at` is
    when the first event of a stream or all of another response had come. `flaw` is why
    the response isn't passed on to its end.
    """

    def __init__(
        self,
        context: RequestContext,
        protocol: ProtocolAdapter,
        buffered: BufferedBytes,
    ) -> None:
        self._context = context
        self._protocol = protocol
        self._buffered = buffered
        self._listener: RelayListener | None = None
        self._splitter = context.event_splitter
        self._events_before = self._splitter.count
        self.event_times = EventTimes()
        self.began_at: float | None = None
        self.response: web.StreamResponse | None = None
        self.flaw: AnswerFlaw | None = None

    @property
    def events(self) -> int:
        """Return how many events the backend server has sent."""
        return self._splitter.count - self._events_before

    async def relay(
        self, upstream: aiohttp.ClientResponse, listener: RelayListener
    ) -> AttemptResult:
        """Relay a response.

        Raise `TimeoutError` if another server takes over, and `CallerLeftError`.
        """
        self._listener = listener
        try:
            return await self._relay(upstream)
        finally:
            # The listener refers to the relay, and both would stay in memory.
            self._listener = None

    async def _relay(self, upstream: aiohttp.ClientResponse) -> AttemptResult:
        if not self._may_go_on(upstream):
            self.flaw = AnswerFlaw.NO_CONTINUATION
            return AttemptResult.FAILED
        is_stream = self._context.request.route.kind.is_stream
        try:
            if is_stream and upstream.status == 200:
                return await self._relay_stream(upstream)
            return await self._relay_plain(upstream)
        except (CallerLeftError, TimeoutError):
            raise
        except (aiohttp.ClientError, OSError) as exc:
            drop_traceback(exc)
            if isinstance(exc, SecondAnswerError):
                self.flaw = AnswerFlaw.SECOND_ANSWER
            return AttemptResult.BROKEN

    def _may_go_on(self, upstream: aiohttp.ClientResponse) -> bool:
        """Whether the response continues what the caller has, if it has any."""
        started = self._context.started_response
        return started is None or (
            upstream.status == started.status
            and upstream.content_type == started.content_type
        )

    def _body(self, upstream: aiohttp.ClientResponse) -> Body:
        """Return the reader of a response's body."""
        if not http_headers.is_framed(upstream):
            return UnframedBody(upstream.content)
        name = self._protocol.request_name(self._context.request)
        return FramedBody(upstream.content, SecondAnswerFinder(name))

    async def _relay_plain(self, upstream: aiohttp.ClientResponse) -> AttemptResult:
        """Buffer the whole response, so that the caller gets all of it or none.

        A response too large for that is relayed while it arrives.
        """
        content = self._body(upstream)
        with HeldBytes(self._buffered) as held:
            async with self._listener.watch():
                body, has_ended = await _read_at_most(content, held)
            self.began_at = now()
            self._listener.on_progress()
            if has_ended:
                self._context.response_claims.append(held.keep(len(body)))
            else:
                self._context.has_started_body = True
                await self._write(body, upstream)
        if not has_ended:
            del body
            return await self._relay_rest(content, upstream)
        downstream = web.Response(status=upstream.status, body=body)
        downstream.headers.popall("Content-Type", None)
        for name, value in self._protocol.caller_response_headers(upstream):
            downstream.headers.add(name, value)
        self.response = downstream
        return (
            AttemptResult.FAILED
            if upstream.status >= SERVER_ERROR
            else AttemptResult.ANSWERED
        )

    async def _relay_rest(
        self, content: Body, upstream: aiohttp.ClientResponse
    ) -> AttemptResult:
        """Relay the rest of a large response."""
        while chunk := await content.readany():
            await self._write(chunk, upstream)
        await self._finish_response()
        return AttemptResult.ANSWERED

    async def _relay_stream(self, upstream: aiohttp.ClientResponse) -> AttemptResult:
        """Relay a stream, writing only complete events to the caller."""
        self._splitter.expect_after(self._context.last_event_id)
        try:
            with HeldBytes(self._buffered) as held:
                async with self._listener.watch() as watch:
                    await self._relay_events(upstream, watch, held)
        except TimeoutError:
            self._splitter.discard_partial()
            raise
        except EventOrderError:
            self._splitter.discard_partial()
            self.flaw = AnswerFlaw.EVENT_ORDER
            return AttemptResult.BROKEN
        except ServerLostError as exc:
            drop_traceback(exc)
            self._splitter.discard_partial()
            if isinstance(exc.__cause__, SecondAnswerError):
                self.flaw = AnswerFlaw.SECOND_ANSWER
            return AttemptResult.BROKEN
        if self._splitter.partial:
            # A partial event means a truncated stream even if its framing is valid.
            self._splitter.discard_partial()
            return AttemptResult.BROKEN
        if not self.events and not http_headers.is_framed(upstream):
            # A server that crashes after the head looks like this, too.
            return AttemptResult.BROKEN
        if self._splitter.is_event_due:
            self.flaw = AnswerFlaw.NO_CONTINUATION
            return AttemptResult.BROKEN
        await self._start_response(upstream)
        await self._finish_response()
        return AttemptResult.ANSWERED

    async def _relay_events(
        self, upstream: aiohttp.ClientResponse, watch: SilenceWatch, held: HeldBytes
    ) -> None:
        """Write complete events to the caller until the stream ends."""
        content = self._body(upstream)
        while not self._splitter.is_too_long:
            if not held.try_hold(len(self._splitter.partial)):
                return
            try:
                chunk = await content.readany()
            except (aiohttp.ClientError, OSError) as exc:
                raise ServerLostError from exc
            if not chunk:
                return
            events = self._splitter.feed(chunk)
            if events:
                watch.pause()
                await self._write_events(events, upstream)
                watch.resume()

    async def _write_events(
        self, events: bytes, upstream: aiohttp.ClientResponse
    ) -> None:
        at = now()
        if self.began_at is None:
            self.began_at = at
            self._listener.on_first_event()
            if self._context.first_event_at is None:
                self._context.first_event_at = at
        self.event_times.record(at)
        self._listener.on_progress()
        await self._write(events, upstream)

    async def _write(
        self, data: bytes | bytearray, upstream: aiohttp.ClientResponse
    ) -> None:
        """Write to the caller; raise `CallerLeftError` if it is gone."""
        await self._start_response(upstream)
        with _writing_to_caller():
            for start in range(0, len(data), WRITE_BUFFER_BYTES):
                await self._write_piece(data[start : start + WRITE_BUFFER_BYTES])

    async def _write_piece(self, piece: bytes | bytearray) -> None:
        http = self._context.http
        # aiohttp waits for a slow caller itself, without limits, after more bytes.
        http.writer.buffer_size = 0
        await self._context.started_response.write(piece)
        if http.protocol.writing_paused:
            await self._wait_until_read()

    async def _wait_until_read(self) -> None:
        claim = self._buffered.open_claim()
        try:
            is_stream = self._context.request.route.kind.is_stream
            size = STREAM_BYTES if is_stream else RELAY_BYTES
            await wait_until_read(self._context.http, claim, size)
        finally:
            claim.release()

    async def _start_response(self, upstream: aiohttp.ClientResponse) -> None:
        """Send the response head, taken from the first server that sent an event.

        A connection whose end is that of the body ends in a reset until the body ends.
        """
        if self._context.started_response is not None:
            return
        downstream = web.StreamResponse(status=upstream.status)
        for name, value in self._protocol.caller_response_headers(upstream):
            downstream.headers.add(name, value)
        if self._ends_with_connection:
            connections.reset_at_close(self._context.http.transport)
        else:
            downstream.enable_chunked_encoding()
        self._context.started_response = downstream
        limit_write_buffer(self._context.http)
        with _writing_to_caller():
            await downstream.prepare(self._context.http)

    async def _finish_response(self) -> None:
        """Send the end of the response that the caller has the start of."""
        http = self._context.http
        downstream = self._context.started_response
        with _writing_to_caller():
            await downstream.write_eof()
            if self._ends_with_connection and http.transport is not None:
                http.transport.set_write_buffer_limits(high=0)
                await http.writer.drain()
                connections.close_in_order(http.transport)
        self.response = downstream

    @property
    def _ends_with_connection(self) -> bool:
        return self._context.http.version < HttpVersion11


@contextlib.contextmanager
def _writing_to_caller() -> Iterator[None]:
    """Tell the loss of the caller's connection from that of the server's."""
    try:
        yield
    except ConnectionError as exc:
        raise CallerLeftError from exc


async def _read_at_most(content: Body, held: HeldBytes) -> tuple[bytearray, bool]:
    """Read to the end, or as far as this response and all together may be held.

    Return what has come, and whether the body has ended.
    """
    # One growing buffer leaves fewer gaps in the heap than many pieces.
    body = bytearray()
    while len(body) < MAX_BUFFERED_BYTES and held.try_hold(len(body)):
        chunk = await content.readany()
        if not chunk:
            return body, True
        body += chunk
    return body, False
