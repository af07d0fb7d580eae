"""HTTP requests that are sent at most once, each on its own connection.

aiohttp retries idempotent methods when the connection is lost, even on a new
connection. A `SendGuard` prevents the second send and records whether any byte
of the request may have been sent. Only the answer that names the request is read as
its answer.
"""

import asyncio
import math
import re
from collections.abc import Callable
from functools import partial
from http import HTTPStatus

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD

from fuchsiacroft.entry.answer_identity import AnswerIdentity, RequestName
from fuchsiacroft.utils import connections
from fuchsiacroft.utils.clock import lease_now, now
from fuchsiacroft.utils.inbound_limits import STEP_BYTES, FramingMeter
from fuchsiacroft.utils.rate_limited_log import RateLimitedLog
from fuchsiacroft.utils.running_timeout import running_timeout

SKIPPED_HEADERS = ("User-Agent", "Accept-Encoding", "Accept", "Content-Type")


MAX_STATUS = 599
MAX_INTERIM_HEADS = 16
MAX_SKIPPED_ANSWERS = 16
"""Answers to other requests that are skipped on one connection."""
MAX_SKIPPED_LOGS_PER_S = 50

_STATUS_LINE = re.compile(r"HTTP/1\.[01] [0-9]{3}(?![0-9])")

_answers_not_used = RateLimitedLog("answer_not_used", MAX_SKIPPED_LOGS_PER_S)


class NoAnswerError(aiohttp.ClientPayloadError):
    """A backend server goes on sending bytes that are no answer."""


class ForeignAnswerError(aiohttp.ClientError):
    """A backend server's answer is not shown to be the request's own."""


class AlreadySentError(aiohttp.ClientError):
    """aiohttp tried to send a request again."""


class WithheldError(aiohttp.ClientError):
    """A request was not sent, as it was no longer allowed."""


class SendGuard:
    """Allows one send; `sent` is true once a byte may have been sent.

    `may_send` is called when the connection is open. If it returns false, or if
    `valid_until` on the loop's clock has passed, nothing is sent and `withheld` is
    set. A process that stood still, or whose VM was suspended since the guard was
    created, may get here long after it was allowed to send.
    `name` is what the answer has to name; with None, the first answer counts.
    """

    def __init__(
        self,
        may_send: Callable[[], bool] = lambda: True,
        valid_until: float = math.inf,
        name: RequestName | None = None,
    ) -> None:
        self.sent = False
        self.withheld = False
        self.name = name
        self._may_send = may_send
        self._expires_at = lease_now() + valid_until - now()

    @property
    def has_expired(self) -> bool:
        """Whether the permission to send has run out."""
        return lease_now() >= self._expires_at

    async def __call__(
        self, req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Pass the request on once (aiohttp client middleware)."""
        if self.sent:
            raise AlreadySentError
        req.send_guard = self
        return await handler(req)

    def begin(self) -> None:
        """Record the send, or raise an error if it is not wanted any more."""
        if self.has_expired or not self._may_send():
            self.withheld = True
            raise WithheldError
        self.sent = True


class AtMostOnceRequest(aiohttp.ClientRequest):
    """Marks its `send_guard` as sent before it writes to a connection."""

    send_guard: SendGuard

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Write the request."""
        self.send_guard.begin()
        conn.protocol.name = self.send_guard.name
        return await super().send(conn)


class CheckedResponseHandler(ResponseHandler):
    """A connection on which only the whole response that has `name` counts as one.

    aiohttp treats any close of a connection, even a reset, as the end of a
    response that has no length. It also parses interim heads, blank lines and
    framing without end, and takes the first response for the request's own.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.name: RequestName | None = None
        self._meter = FramingMeter()
        self._interim_heads = 0
        self._body: aiohttp.StreamReader | None = None

    async def read(self) -> tuple[RawResponseMessage, aiohttp.StreamReader]:
        """Return the request's own answer, or an interim one; skip those of others.

        Raise `ForeignAnswerError` if an answer is malformed or names no request, or if
        there are too many others.
        """
        for _ in range(MAX_SKIPPED_ANSWERS + 1):
            message, payload = await super().read()
            _check_head(message)
            identity = self._identify(message)
            if identity is AnswerIdentity.OWN:
                return message, payload
            _answers_not_used.event(
                request_id=self.name.request_id,
                status=message.code,
                answer=identity.value,
                names=message.headers.get(self.name.header, "-"),
            )
            if identity is AnswerIdentity.UNNAMED:
                raise ForeignAnswerError("the answer names no request")
            await self._skip(payload)
        raise ForeignAnswerError("the answers name other requests")

    def _identify(self, message: RawResponseMessage) -> AnswerIdentity:
        if self.name is None or message.code < HTTPStatus.OK:
            return AnswerIdentity.OWN
        return self.name.identify(message.headers)

    async def _skip(self, payload: aiohttp.StreamReader) -> None:
        """Drop the body of an answer; the limit on bytes begins anew behind it."""
        while not payload.at_eof():
            await payload.readany()
        if self._body is payload:
            self._body = None
            self._meter.reset()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and abort the connection if they are no answer."""
        start = 0
        while self._body is None and start < len(data):
            if self.transport is None or self.transport.is_closing():
                return
            self._parse(data[start : start + STEP_BYTES])
            start += STEP_BYTES
        # aiohttp passes no bytes to let the parser go on after a pause.
        if start < len(data) or not data:
            self._parse(data[start:])

    def feed_data(
        self, data: tuple[RawResponseMessage, aiohttp.StreamReader], size: int = 0
    ) -> None:
        """Queue an answer's head; aiohttp reads interim ones without end."""
        super().feed_data(data, size)
        if data[0].code < HTTPStatus.OK:
            self._interim_heads += 1
            if self._interim_heads > MAX_INTERIM_HEADS:
                self._abort()

    def _parse(self, data: bytes) -> None:
        super().data_received(data)
        self._meter.add(len(data))
        body = self._payload
        if body is not None and body is not EMPTY_PAYLOAD and body is not self._body:
            # Another answer may have ended in the same bytes.
            self._body = body
            self._meter.reset()
        if self.exception() is not None:
            self._fail_body()
        if self._body is not None and self._body.is_eof():
            return
        body_bytes = self._body.total_bytes if self._body is not None else 0
        if self._meter.is_exceeded(body_bytes):
            self._abort()

    def _fail_body(self) -> None:
        """Fail a body whose framing is broken; aiohttp fails only later answers."""
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(aiohttp.ClientPayloadError("broken framing"))

    def _abort(self) -> None:
        exc = NoAnswerError(f"no answer within {self._meter.received_bytes} bytes")
        self.set_exception(exc)
        if self._body is not None:
            self._body.set_exception(exc)
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> None:
        """Fail a response that ends before its request was sent.

        It has no length, and a server that gives a request up may end it so, too.
        """
        body = self._payload
        if body is not None and not body.is_eof() and self.transport is not None:
            unsent = connections.unsent_bytes(self.transport)
            if unsent:
                exc = aiohttp.ClientPayloadError(f"ended with {unsent} bytes unsent")
                body.set_exception(exc)
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response that a reset truncates."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError("connection reset before the response ended")
            )
        super().connection_lost(exc)
        # The body refers to its connection, and keeps bytes that nobody has read.
        self._body = None


def _check_head(message: RawResponseMessage) -> None:
    """Raise `ForeignAnswerError` for a head that can't begin an answer to a request.

    aiohttp takes any three digits for a status. No request asks for another protocol.
    """
    if message.code == HTTPStatus.SWITCHING_PROTOCOLS:
        raise ForeignAnswerError("the answer switches protocols")
    if not HTTPStatus.CONTINUE <= message.code <= MAX_STATUS:
        raise ForeignAnswerError("the answer has no status of the protocol")
    if _holds_status_line(message):
        raise ForeignAnswerError("another answer begins within the head")


def _holds_status_line(message: RawResponseMessage) -> bool:
    """Return whether the status line of an answer begins within the head of another."""
    return _STATUS_LINE.search(message.reason or "") is not None or any(
        _STATUS_LINE.search(value) for value in message.headers.values()
    )


class AddressConnector(aiohttp.BaseConnector):
    """Opens a plain TCP connection to an IP address and port, without a resolver.

    Each request has its own connection.
    """

    def __init__(self) -> None:
        super().__init__(limit=0, force_close=True)
        self._factory = partial(CheckedResponseHandler, loop=self._loop)

    async def _create_connection(
        self, req: aiohttp.ClientRequest, traces: list, timeout: aiohttp.ClientTimeout
    ) -> ResponseHandler:
        """Open a connection (called by aiohttp for each new one)."""
        url = req.url
        try:
            async with running_timeout(timeout.sock_connect):
                transport, protocol = await self._loop.create_connection(
                    self._factory, url.raw_host, url.port
                )
            connections.limit_receive_buffer(transport.get_extra_info("socket"))
        except TimeoutError:
            raise
        except OSError as exc:
            raise aiohttp.ClientConnectorError(req.connection_key, exc) from exc
        return protocol


def open_session(connect_timeout_s: float) -> aiohttp.ClientSession:
    """Return a session that does not change requests or responses."""
    return aiohttp.ClientSession(
        connector=AddressConnector(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
        request_class=AtMostOnceRequest,
        auto_decompress=False,
        read_bufsize=connections.READ_BUFFER_BYTES,
        skip_auto_headers=SKIPPED_HEADERS,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
