"""Reads request bodies within limits on size, time and memory."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from functools import partial

from aiohttp import web
from expression import Error, Ok, Result

from fuchsiacroft.entry.memory_budget import Claim, MemoryBudget, Use
from fuchsiacroft.entry.problems import ExecutionState, Problem, draining_problem
from fuchsiacroft.utils.clock import now

READ_TIMEOUT_S = 30.0
MIN_RATE_SPAN_S = 1.0
"""A body's rate is known only after that time."""
PROGRESS_TIMEOUT_S = 10.0
"""A body of which nothing arrives for that time is ended."""
CHUNKS_STEP_BYTES = 16 * 1024
"""A body without a length holds its bytes in steps of this size."""
STREAM_BUFFER_BYTES = 128 * 1024
"""What the connection buffers of a body that is streamed."""
RETRY_AFTER_S = 1.0
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
CONTINUE_SENT = "continue_sent"
"""Key of a request to whose caller 100 Continue was sent."""


class BodyReader:
    """Reads one body in chunks until its timeout or until the process stops.

    `is_stopped` is true if the stop comes first. A read that makes no progress ends
    as one whose timeout is over.
    """

    def __init__(
        self, http: web.BaseRequest, reads: "BodyReads", timeout_s: float | None
    ) -> None:
        self._http = http
        self._reads = reads
        self._started_at = now()
        self._ends_at = None if timeout_s is None else self._started_at + timeout_s
        self._progress_ends_at = self._started_at + PROGRESS_TIMEOUT_S
        self._timeout: asyncio.Timeout | None = None
        self.is_stopped = False

    @property
    def lacks_progress(self) -> bool:
        """Whether the last read was to end for want of progress, not of time."""
        return self._ends_at is None or self._progress_ends_at < self._ends_at

    async def next_chunk(self) -> bytes:
        """Return the next bytes, none at the end; raise `TimeoutError` if too late."""
        self._progress_ends_at = now() + PROGRESS_TIMEOUT_S
        try:
            async with asyncio.timeout_at(self._reads_until()) as self._timeout:
                return await self._http.content.readany()
        finally:
            # A timeout that is over can't be rescheduled.
            self._timeout = None

    def end(self) -> None:
        """End the read in progress, because its body is dropped."""
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(now())

    def apply_stop(self) -> None:
        """End the read in progress when the process stops."""
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(self._reads_until())

    def _reads_until(self) -> float:
        ends_at = self._progress_ends_at
        if self._ends_at is not None:
            ends_at = min(ends_at, self._ends_at)
        stops_at = self._reads.stops_at
        if stops_at is None:
            return ends_at
        if self._outlasts(stops_at):
            self.is_stopped = True
            return now()
        self.is_stopped = stops_at < ends_at
        return min(stops_at, ends_at)

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
    """Buffers complete request bodies, which draw from the budget of the process."""

    def __init__(self, reads: BodyReads, budget: MemoryBudget | None = None) -> None:
        self._reads = reads
        self._budget = budget or MemoryBudget()

    @property
    def buffered_bytes(self) -> int:
        """Return what all bodies hold."""
        return self._budget.held_by[Use.BODY]

    def open_claim(self) -> Claim:
        """Return the claim of a request's body, which must be released."""
        return self._budget.open(Use.BODY)

    def admit_streamed(self, http: web.BaseRequest, claim: Claim) -> Problem | None:
        """Hold what is buffered of a body that is streamed, or return a problem."""
        length = http.content_length
        size = STREAM_BUFFER_BYTES if length is None else length
        if claim.try_hold(min(size, STREAM_BUFFER_BYTES), now()):
            return None
        return _no_room_problem()

    async def read(
        self, http: web.BaseRequest, max_bytes: int, claim: Claim
    ) -> Result[bytes, Problem]:
        """Read a complete body, which a claim holds; the claim holds none if it fails.

        A body without room for its announced length is refused before it is read.
        """
        max_bytes = min(max_bytes, self._budget.max_claim_bytes)
        length = http.content_length or 0
        if length > max_bytes:
            return Error(too_large_problem(max_bytes))
        if http.content.at_eof():
            return Ok(b"")
        if not claim.try_hold(length, now()):
            return Error(_no_room_problem())
        match await self._read_admitted(http, max_bytes, claim):
            case Result(tag="ok", ok=body):
                claim.on_drop = None
                claim.hold(len(body))
                return Ok(body)
            case Result(error=problem):
                claim.release()
                return Error(problem)

    async def _read_admitted(
        self, http: web.BaseRequest, max_bytes: int, claim: Claim
    ) -> Result[bytes, Problem]:
        body = bytearray()
        try:
            send_continue(http)
            with self._reads.open(http, READ_TIMEOUT_S) as reader:
                claim.watch_progress(partial(_drop, body, reader), now())
                problem = await self._fill(reader, body, max_bytes, claim)
        except TimeoutError:
            problem = self._timeout_problem(reader, claim)
        except web.RequestPayloadError as exc:
            problem = Problem(400, "malformed", f"invalid request body: {exc}")
        if problem is not None:
            # The exception's traceback may refer to it for longer.
            body.clear()
            return Error(problem)
        return Ok(bytes(body))

    async def _fill(
        self, reader: BodyReader, body: bytearray, max_bytes: int, claim: Claim
    ) -> Problem | None:
        while chunk := await reader.next_chunk():
            size = len(body) + len(chunk)
            if size > max_bytes:
                return too_large_problem(max_bytes)
            if size > claim.size and not claim.try_hold(_step(size), now()):
                return _no_room_problem()
            body += chunk
            claim.record_progress(size, now())
        return _no_room_problem() if claim.is_dropped else None

    def _timeout_problem(self, reader: BodyReader, claim: Claim) -> Problem:
        if claim.is_dropped:
            return _no_room_problem()
        if reader.is_stopped:
            return self._reads.stopped_problem(ExecutionState.NO)
        detail = f"the body was not received within {READ_TIMEOUT_S:.0f} s"
        if reader.lacks_progress:
            detail = _no_progress_detail()
        return Problem(408, "body_too_slow", detail)


def _drop(body: bytearray, reader: BodyReader) -> None:
    """Free a body that is being read."""
    body.clear()
    reader.end()


def _no_progress_detail() -> str:
    return f"nothing of the body was received for {PROGRESS_TIMEOUT_S:.0f} s"


def _step(size: int) -> int:
    """Return what a body without a length holds once it has some size."""
    return -(-size // CHUNKS_STEP_BYTES) * CHUNKS_STEP_BYTES


def _no_room_problem() -> Problem:
    detail = "too many large request bodies at once; the request did not run"
    return Problem(503, "busy", detail, ExecutionState.NO, RETRY_AFTER_S)


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
            raise self._fail(self._timeout_problem(reader)) from exc
        except web.RequestPayloadError as exc:
            detail = f"invalid request body: {exc}"
            raise self._fail(
                Problem(400, "malformed", detail, ExecutionState.MAYBE)
            ) from exc

    def _timeout_problem(self, reader: BodyReader) -> Problem:
        if reader.is_stopped:
            return self._reads.stopped_problem(ExecutionState.MAYBE)
        # Not 408, which would promise that the request did not run.
        return Problem(
            400, "body_too_slow", _no_progress_detail(), ExecutionState.MAYBE
        )

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
