"""Connections of untrusted clients, on every address that accepts HTTP."""

import asyncio
import fcntl
import termios
from collections import Counter
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import _ErrInfo

from fuchsiacroft.config.bounds import whole_number
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.inbound_framing import Excess, InboundFraming
from fuchsiacroft.utils.inbound_limits import (
    ConnectionTable,
    HeldBytes,
    InboundLimits,
)
from fuchsiacroft.utils.parse_turns import ParseTurns
from fuchsiacroft.utils.rate_limited_log import RateLimitedLog

INT_BYTES = 4
PENDING_READ_GRACE_S = 0.05
"""After a stall of the process, pending bytes are read before a timeout applies."""
REFUSED_CLOSE_S = 1.0
"""A client that doesn't read its refusal, or doesn't end TLS, is cut off after that."""
MAX_REFUSED_LOGS_PER_S = 10
MAX_SLOW_HEAD_LOGS_PER_S = 10
"""Log limits, because a client that is refused again and again would log each time."""
HEAD_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
FULL_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\n"
    b"Connection: close\r\n\r\n"
)
MAX_TEXT_CHARS = 200
"""Of what a client sent, in the text of a response."""
HEAD_TOO_LARGE = "the request headers exceed the size limit"

open_connections: Counter[str] = Counter()
"""Open connections of this process, by the name of the listening address."""
refused_inputs: Counter[tuple[str, str]] = Counter()
"""What this process refused, by the name of the listening address and the reason."""


class Inbound:
    """What the connections of one listening address have in common."""

    def __init__(self, name: str, limits: InboundLimits) -> None:
        self.name = name
        self.limits = limits
        self.table: ConnectionTable[InboundProtocol] = ConnectionTable(
            limits.max_connections, limits.max_connections_per_address
        )
        self.held = HeldBytes(limits.max_held_bytes)
        self._partial_heads: dict[InboundProtocol, None] = {}
        self.turns = ParseTurns(limits.max_turn_framing_bytes)
        self._refused_log = RateLimitedLog("inbound_refused", MAX_REFUSED_LOGS_PER_S)
        self._slow_head_log = RateLimitedLog("head_timed_out", MAX_SLOW_HEAD_LOGS_PER_S)

    def record_refusal(self, reason: str, conn: "InboundProtocol") -> None:
        """Count a refusal, and log it unless there are too many."""
        refused_inputs[self.name, reason] += 1
        self._refused_log.event(
            socket=self.name,
            reason=reason,
            address=conn.address,
            connections=len(self.table),
        )

    def record_partial_head(self, conn: "InboundProtocol", *, is_held: bool) -> None:
        """Record whether a connection holds a head of which the end hasn't come."""
        if is_held:
            self._partial_heads.setdefault(conn)
        else:
            self._partial_heads.pop(conn, None)

    def holds_partial_head(self, conn: "InboundProtocol") -> bool:
        """Return whether what a connection holds is a head without its end."""
        return conn in self._partial_heads

    def make_room_for_head(
        self, conn: "InboundProtocol", before: int, after: int
    ) -> None:
        """Refuse the heads that have come in part for longest, to hold another."""
        while not self.held.has_room(before, after):
            oldest = next(iter(self._partial_heads), conn)
            if oldest is conn:
                return
            oldest.refuse_partial_head()

    def record_slow_head(self, after_s: float) -> None:
        """Count a head that was not complete in time, and log it."""
        refused_inputs[self.name, "head_timeout"] += 1
        self._slow_head_log.event(after_s=after_s, socket=self.name)


class InboundProtocol(web.RequestHandler):
    """One client's connection, with limits on what it may send and how fast.

    aiohttp quotes the rest of the received bytes in its error for a line that is too
    long, and queues one more error for each read until it has answered the first.
    uvloop reads up to 32 times 256 KiB from one connection in one iteration.
    """

    __slots__ = (
        "_body",
        "_decompresses",
        "_framing",
        "_head_timeout_s",
        "_head_timer",
        "_held",
        "_inbound",
        "_is_counted",
        "_is_refused",
        "_queued_bytes",
        "_waits_for_turn",
        "address",
    )

    def __init__(
        self,
        manager: web.Server,
        inbound: Inbound,
        *,
        head_timeout_s: float | None = None,
        max_head_bytes: int | None = None,
        **kwargs,
    ) -> None:
        super().__init__(manager, **kwargs)
        limits = inbound.limits
        self.address = "-"
        self._inbound = inbound
        self._head_timeout_s = head_timeout_s or limits.head_timeout_s
        self._framing = InboundFraming(
            max_head_bytes or limits.max_head_bytes, limits.max_framing_bytes
        )
        self._max_msg_queue_size = limits.max_pipelined_requests
        self._msg_queue_resume_size = limits.max_pipelined_requests // 2
        self._head_timer: asyncio.TimerHandle | None = None
        self._body: StreamReader | None = None
        self._decompresses = kwargs.get("auto_decompress", True)
        self._held = b""
        self._queued_bytes = 0
        self._is_counted = False
        self._is_refused = False
        self._waits_for_turn = False

    @property
    def _is_idle(self) -> bool:
        """Whether no request is being served, so that the next head is awaited."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes have arrived that this process has not read or parsed yet."""
        if self.transport is None or self.transport.is_closing():
            return False
        if self._holds_unparsed:
            return True
        fd = self.transport.get_extra_info("socket").fileno()
        size = fcntl.ioctl(fd, termios.FIONREAD, bytes(INT_BYTES))
        return any(size)

    @property
    def _holds_unparsed(self) -> bool:
        """Whether bytes are held that can be parsed, unlike those of a partial head."""
        return bool(self._held) and not self._inbound.holds_partial_head(self)

    @property
    def may_make_room(self) -> bool:
        """Whether the connection waits for a request of which no more has arrived."""
        is_waiting = self._is_idle or self._request_count == 0
        return is_waiting and not self.has_unread_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, or refuse it if all others are in use."""
        peer = transport.get_extra_info("peername")
        self.address = peer[0] if peer else "-"
        is_accepted, closed = self._inbound.table.admit(
            self, self.address, now(), lambda conn: conn.may_make_room
        )
        if closed is not None:
            self._inbound.record_refusal("closed_for_another", closed)
            closed.end()
        if not is_accepted:
            self._inbound.record_refusal("too_many_connections", self)
            self._is_refused = True
            transport.write(FULL_RESPONSE)
            transport.close()
            self._loop.call_later(REFUSED_CLOSE_S, transport.abort)
            return
        self._is_counted = True
        open_connections[self._inbound.name] += 1
        super().connection_made(transport)

    def end(self) -> None:
        """Close the connection while no request is served on it."""
        self._is_refused = True
        self._abort_later()
        self.force_close()

    def _abort_later(self) -> None:
        if self.transport is not None:
            self._loop.call_later(REFUSED_CLOSE_S, self.transport.abort)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the connection holds."""
        self._stop_head_timer()
        self._drop_held()
        self._inbound.table.remove(self)
        if self._is_counted:
            self._is_counted = False
            open_connections[self._inbound.name] -= 1
        super().connection_lost(exc)
        self._body = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; a started head must be complete before its timeout.

        aiohttp passes no bytes to let the parser go on after a pause.
        """
        if self._is_refused:
            return
        if len(data) >= self._inbound.limits.max_read_bytes:
            self._pause_until_next_iteration()
        if not data:
            self._parse(b"")
        self._parse_or_hold(self._held + data)
        self._update_head_timer()

    def _parse_or_hold(self, data: bytes) -> None:
        """Parse bytes while this connection may go on, and hold the others."""
        rest = self._parse_allowed(data, heeds_turns=True)
        if not self._inbound.held.has_room(len(self._held), len(rest)):
            rest = self._parse_allowed(rest, heeds_turns=False)
        is_partial_head = bool(rest) and self._framing.awaits_head_end(rest, 0)
        if is_partial_head:
            self._inbound.make_room_for_head(self, len(self._held), len(rest))
        is_held = self._hold(rest)
        self._inbound.record_partial_head(self, is_held=is_held and is_partial_head)
        if not is_held:
            self._refuse_rest("too_many_bytes_held")
        elif self._holds_unparsed:
            self._pause_reading_for_buffer()
        if self._is_turn_over:
            self._wait_for_turn()

    def _parse_allowed(self, data: bytes, *, heeds_turns: bool) -> bytes:
        """Parse bytes until the queue of requests is full, and return the others.

        With `heeds_turns`, framing is left for the next turn once this one is over.
        """
        start = 0
        while start < len(data) and not self._is_queue_full and not self._is_refused:
            if heeds_turns and self._is_turn_over:
                break
            if self._framing.awaits_head_end(data, start):
                break
            size = self._framing.step_bytes(data, start, self._body_bytes)
            self._parse(data[start : start + size])
            start += size
        return b"" if self._is_refused else data[start:]

    @property
    def _is_turn_over(self) -> bool:
        """Whether framing comes next, and that of others has taken this iteration."""
        is_framed = self._framing.is_in_framed_body and not self._is_refused
        return is_framed and self._inbound.turns.are_spent

    def _wait_for_turn(self) -> None:
        """Read and parse on in a later iteration."""
        self._pause_reading_for_buffer()
        if not self._waits_for_turn:
            self._waits_for_turn = True
            self._inbound.turns.wait(self._take_turn)

    def _take_turn(self) -> None:
        self._waits_for_turn = False
        if self.transport is not None:
            self._resume_reading_if_drained()

    @property
    def _body_bytes(self) -> int:
        return self._body.total_bytes if self._body is not None else 0

    @property
    def _waiting_requests(self) -> int:
        """The number of requests that wait behind the one that is served."""
        return len(self._messages) - (self._waiter is not None)

    @property
    def _is_queue_full(self) -> bool:
        limits = self._inbound.limits
        waiting = self._waiting_requests
        return waiting >= limits.max_pipelined_requests or (
            waiting > 0 and self._queued_bytes >= limits.max_queued_bytes
        )

    def _hold(self, data: bytes) -> bool:
        """Keep bytes for later in place of others; return false if without room."""
        has_room = self._inbound.held.change(len(self._held), len(data))
        if not has_room:
            self._inbound.held.change(len(self._held), 0)
        self._held = data if has_room else b""
        return has_room

    def _parse(self, data: bytes) -> None:
        count, body_bytes = self._request_count, self._body_bytes
        super().data_received(data)
        if self._framing.is_in_framed_body:
            gained = self._body_bytes - body_bytes
            self._inbound.turns.spend(len(data) - gained)
        if self._request_count != count:
            self._begin_requests()
        elif self._body is not None and self._body.is_eof():
            self._begin_head()
        else:
            self._check_framing(data)
        if self._waiting_requests > 0:
            self._queued_bytes += len(data)
        else:
            self._queued_bytes = 0

    def _begin_requests(self) -> None:
        """Begin to count anew behind the last of the requests that were parsed."""
        message, payload = self._messages[-1]
        if isinstance(message, _ErrInfo):
            text = message.message.partition("\n")[0][:MAX_TEXT_CHARS]
            self._fail_body(text)
            # The library's error quotes the bytes that were parsed, and refers to them.
            self._messages[-1] = (_refusal(message.status, text), payload)
            self._stop_reading("malformed")
            return
        self._inbound.table.begin_request(self)
        if payload.is_eof():
            self._begin_head()
            return
        self._body = payload
        self._framing.begin_body(self._body_length(message))

    def _body_length(self, message: RawRequestMessage) -> int | None:
        """Return the length of a body that has no framing and isn't decompressed."""
        is_decompressed = self._decompresses and message.compression is not None
        if message.chunked or is_decompressed:
            return None
        return whole_number(message.headers.get("Content-Length", ""))

    def _begin_head(self) -> None:
        self._body = None
        self._framing.begin_head()

    def _check_framing(self, data: bytes) -> None:
        """Count bytes that completed nothing, and refuse what has too many."""
        match self._framing.add(data, self._body_bytes):
            case Excess.HEAD:
                self._refuse_head()
            # A paused parser keeps what it gets, so the body's size lags behind.
            case Excess.FRAMING if not self._reading_paused:
                self._fail_body("too much framing")
                self._stop_reading(Excess.FRAMING.value)

    def _refuse_head(self) -> None:
        status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        self._request_count += 1
        self._messages.append((_refusal(status, HEAD_TOO_LARGE), EMPTY_PAYLOAD))
        if self._is_idle:
            self._waiter.set_result(None)
        self._stop_reading(Excess.HEAD.value)

    def _refuse_rest(self, reason: str) -> None:
        """Close the connection after the request that is served."""
        self._stop_reading(reason)
        super().close()

    def refuse_partial_head(self) -> None:
        """Give the room of a head away that has come in part, and refuse it."""
        self._drop_held()
        if self._is_idle or self._request_count == 0:
            self._inbound.record_refusal("too_many_partial_heads", self)
            if self.transport is not None:
                self.transport.write(FULL_RESPONSE)
            self.end()
        else:
            self._refuse_rest("too_many_partial_heads")

    def _drop_held(self) -> None:
        self._hold(b"")
        self._inbound.record_partial_head(self, is_held=False)

    def _fail_body(self, reason: str) -> None:
        """Fail a body whose framing is broken; aiohttp reads on without end."""
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(web.RequestPayloadError(reason))

    def _stop_reading(self, reason: str) -> None:
        self._inbound.record_refusal(reason, self)
        self._is_refused = True
        self._stop_head_timer()
        self._pause_transport_reading()

    def _pause_until_next_iteration(self) -> None:
        self._pause_transport_reading()
        self._loop.call_soon(self._resume_in_iteration)

    def _resume_in_iteration(self) -> None:
        is_paused = self._reading_paused or self._buffer_paused or self._is_refused
        if not is_paused and self.transport is not None:
            self._resume_transport_reading()

    def _resume_reading_if_drained(self) -> None:
        """Go on with what is held, and read on if that has been parsed."""
        super()._resume_reading_if_drained()
        if self._holds_unparsed or self._is_refused or self._waits_for_turn:
            self._pause_reading_for_buffer()

    def _resume_transport_reading(self) -> None:
        if not self._is_refused:
            super()._resume_transport_reading()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response; behind the last one, the connection waits for a request."""
        result = await super().finish_response(request, resp, start_time)
        if not self._messages:
            self._inbound.table.end_request(self, now())
        return result

    def _update_head_timer(self) -> None:
        """Time a begun head, also one behind the request that is served."""
        if not self._framing.has_begun_head or self._is_refused:
            self._stop_head_timer()
        elif self._head_timer is None:
            self._start_head_timer()

    def _start_head_timer(self) -> None:
        self._head_timer = self._loop.call_later(
            self._head_timeout_s, self._await_pending_head
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _await_pending_head(self) -> None:
        self._head_timer = self._loop.call_later(
            PENDING_READ_GRACE_S, self._head_timed_out
        )

    def _head_timed_out(self) -> None:
        self._head_timer = None
        if self.transport is None:
            return
        if not self._is_idle:
            self._start_head_timer()
            return
        self._inbound.record_slow_head(self._head_timeout_s)
        self.transport.write(HEAD_TIMEOUT_RESPONSE)
        self.end()

    def _make_error_handler(
        self, err_info: _ErrInfo
    ) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
        self._abort_later()
        return super()._make_error_handler(err_info)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Reject a request that could not be parsed, without a log line for each."""
        if isinstance(exc, web.RequestPayloadError):
            status, message = HTTPStatus.BAD_REQUEST, str(exc)
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return super().handle_error(request, status, exc, message)
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already begun")
        first_line = (message or str(exc or "")).partition("\n")[0]
        response = web.Response(status=status, text=first_line[:MAX_TEXT_CHARS] + "\n")
        response.force_close()
        return response

    def log_exception(self, *args, **kwargs) -> None:
        """Log an error, unless it is that of a client's broken body."""
        if not isinstance(kwargs.get("exc_info"), web.RequestPayloadError):
            super().log_exception(*args, **kwargs)


def _refusal(status: int, text: str) -> _ErrInfo:
    """Return what aiohttp queues in place of a request that can't be parsed."""
    return _ErrInfo(status, ValueError(text), text)
