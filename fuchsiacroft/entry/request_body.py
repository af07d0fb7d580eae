"""Reads request bodies within limits on size, time and memory."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

from aiohttp import web
from expression import Error, Ok, Result

from fuchsiacroft.entry.problems import ExecutionState, Problem, draining_problem
from fuchsiacroft.utils.clock import now

READ_TIMEOUT_S = 30.0
MIN_RATE_SPAN_S = 1.0
"""A body's rate is known only after that time."""
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
RETRY_AFTER_S = 1.0
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
CONTINUE_SENT = "continue_sent"
"""Key of a request to whose caller 100 Continue was sent."""


class BodyReader:
    """Reads one body in chunks until its timeout or until the process stops.

    `is_stopped` is true if the stop comes first.
    """

    def __init__(
        self, http: web.BaseRequest, reads: "BodyReads", timeout_s: float | None
    ) -> None:
        self._http = http
        self._reads = reads
        self._started_at = now()
        self._ends_at = None if timeout_s is None else self._started_at + timeout_s
        self._timeout: asyncio.Timeout | None = None
        self.is_stopped = False

    async def next_chunk(self) -> bytes:
        """Return the next bytes, none at the end; raise `TimeoutError` if too late."""
        async with asyncio.timeout_at(self._reads_until()) as self._timeout:
            return await self._http.content.readany()

    def apply_stop(self) -> None:
        """End the read in progress when the process stops."""
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(self._reads_until())

    def _reads_until(self) -> float | None:
        stops_at = self._reads.stops_at
        if stops_at is None:
            return self._ends_at
        if self._outlasts(stops_at):
            self.is_stopped = True
            return now()
        self.is_stopped = self._ends_at is None or stops_at < self._ends_at
        return stops_at if self.is_stopped else self._ends_at

    def _outlasts(self, stops_at: float) -> bool:
        """Return whether the body is too long to be read in time at its mean rate."""
        received = self._http.content.total_bytes
        elapsed_s = now() - self._started_at
        length = self._http.content_length
        if length is None or not received or elapsed_s < MIN_RATE_SPAN_S:
            return False
        return now() + (length - received) * elapsed_s / received > stops_at


class BodyReads:
    """The bodies that are being read, and when the process stops.

    `stops_at` is on the event loop's clock, None while no stop was requested.
    """

    def __init__(self, retry_after_s: float = RETRY_AFTER_S) -> None:
        self._readers: set[BodyReader] = set()
        self._retry_after_s = retry_after_s
        self.stops_at: float | None = None

    def stop_at(self, when: float) -> None:
        """End every read at `when`, and at once if the body can't be complete then."""
        self.stops_at = when
        for reader in self._readers:
            reader.apply_stop()

    def stopped_problem(self, ran: ExecutionState) -> Problem:
        """Return the problem of a request whose body is not read to its end."""
        detail = "this entry is stopping and can't read the rest of the body"
        return draining_problem(detail, self._retry_after_s, ran)

    @contextmanager
    def open(
        self, http: web.BaseRequest, timeout_s: float | None = None
    ) -> Iterator[BodyReader]:
        """Return the reader of a request's body."""
        reader = BodyReader(http, self, timeout_s)
        self._readers.add(reader)
        try:
            yield reader
        finally:
            self._readers.discard(reader)


class BodyBuffer:
    """Buffers complete request bodies and limits their total size in memory."""

    def __init__(self, reads: BodyReads, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._reads = reads
        self._max_bytes = max_bytes
        self.buffered_bytes = 0

    async def read(
        self, http: web.BaseRequest, max_bytes: int
    ) -> Result[bytes, Problem]:
        """Read a complete body, which must be given back with `release`."""
        if (http.content_length or 0) > max_bytes:
            return Error(too_large_problem(max_bytes))
        if http.content.at_eof():
            return Ok(b"")
        body = bytearray()
        try:
            send_continue(http)
            with self._reads.open(http, READ_TIMEOUT_S) as reader:
                problem = await self._fill(reader, body, max_bytes)
        except TimeoutError:
            problem = self._timeout_problem(reader)
        except web.RequestPayloadError as exc:
            problem = Problem(400, "malformed", f"invalid request body: {exc}")
        finally:
            self.buffered_bytes -= len(body)
        if problem is not None:
            return Error(problem)
        self.buffered_bytes += len(body)
        return Ok(bytes(body))

    def release(self, body: bytes | None) -> None:
        """Stop counting a body that `read` returned."""
        self.buffered_bytes -= len(body or b"")

    async def _fill(
        self, reader: BodyReader, body: bytearray, max_bytes: int
    ) -> Problem | None:
        while chunk := await reader.next_chunk():
            body += chunk
            self.buffered_bytes += len(chunk)
            if len(body) > max_bytes:
                return too_large_problem(max_bytes)
            if self.buffered_bytes > self._max_bytes:
                detail = (
                    "too many large request bodies at once; the request did not run"
                )
                return Problem(503, "busy", detail, ExecutionState.NO, RETRY_AFTER_S)
        return None

    def _timeout_problem(self, reader: BodyReader) -> Problem:
        if reader.is_stopped:
            return self._reads.stopped_problem(ExecutionState.NO)
        detail = f"the body was not received within {READ_TIMEOUT_S:.0f} s"
        return Problem(408, "body_too_slow", detail)


class StreamedBody:
    """A request body that is streamed; `problem` is set if it failed."""

    def __init__(self, http: web.BaseRequest, reads: BodyReads, max_bytes: int) -> None:
        self._http = http
        self._reads = reads
        self._max_bytes = max_bytes
        self._received_bytes = 0
        self.problem: Problem | None = None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise if it fails, which sets `problem`."""
        send_continue(self._http)
        try:
            with self._reads.open(self._http) as reader:
                while chunk := await reader.next_chunk():
                    self._received_bytes += len(chunk)
                    if self._received_bytes > self._max_bytes:
                        raise self._fail(
                            too_large_problem(self._max_bytes, ExecutionState.MAYBE)
                        )
                    yield chunk
        except TimeoutError as exc:
            problem = self._reads.stopped_problem(ExecutionState.MAYBE)
            raise self._fail(problem) from exc
        except web.RequestPayloadError as exc:
            detail = f"invalid request body: {exc}"
            raise self._fail(
                Problem(400, "malformed", detail, ExecutionState.MAYBE)
            ) from exc

    def _fail(self, problem: Problem) -> ValueError:
        self.problem = problem
        return ValueError(problem.detail)


def send_continue(http: web.BaseRequest) -> None:
    """Send 100 Continue to a caller that expects it before its body."""
    if _expects_continue(http):
        http[CONTINUE_SENT] = True
        http.transport.write(CONTINUE_RESPONSE)


def awaits_continue(http: web.BaseRequest) -> bool:
    """Return whether a caller still waits for 100 Continue before its body."""
    has_begun = http.content.total_bytes > 0 or CONTINUE_SENT in http
    return _expects_continue(http) and not has_begun


def _expects_continue(http: web.BaseRequest) -> bool:
    return http.headers.get("Expect", "").lower() == "100-continue"


def too_large_problem(
    max_bytes: int, ran: ExecutionState = ExecutionState.NO
) -> Problem:
    """Return the problem for a body that exceeds the limit."""
    return Problem(413, "too_large", f"at most {max_bytes} bytes", ran)
