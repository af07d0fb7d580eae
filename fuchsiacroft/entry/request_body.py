"""Reads request bodies within limits on size, time and memory."""

import asyncio
from collections.abc import AsyncIterator

from aiohttp import web
from expression import Error, Ok, Result

from fuchsiacroft.entry.problems import ExecutionState, Problem

READ_TIMEOUT_S = 30.0
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
RETRY_AFTER_S = 1.0
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyBuffer:
    """Buffers complete request bodies and limits their total size in memory."""

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
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
            async with asyncio.timeout(READ_TIMEOUT_S):
                await send_continue(http)
                problem = await self._fill(http, body, max_bytes)
        except TimeoutError:
            detail = f"the body was not received within {READ_TIMEOUT_S:.0f} s"
            problem = Problem(408, "body_too_slow", detail)
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
        self, http: web.BaseRequest, body: bytearray, max_bytes: int
    ) -> Problem | None:
        while chunk := await http.content.readany():
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


class StreamedBody:
    """A request body that is streamed; `problem` is set if it failed."""

    def __init__(self, http: web.BaseRequest, max_bytes: int) -> None:
        self._http = http
        self._max_bytes = max_bytes
        self._received_bytes = 0
        self.problem: Problem | None = None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise if it is too large or malformed."""
        await send_continue(self._http)
        try:
            while chunk := await self._http.content.readany():
                self._received_bytes += len(chunk)
                if self._received_bytes > self._max_bytes:
                    raise self._fail(
                        too_large_problem(self._max_bytes, ExecutionState.MAYBE)
                    )
                yield chunk
        except web.RequestPayloadError as exc:
            detail = f"invalid request body: {exc}"
            raise self._fail(
                Problem(400, "malformed", detail, ExecutionState.MAYBE)
            ) from exc

    def _fail(self, problem: Problem) -> ValueError:
        self.problem = problem
        return ValueError(problem.detail)


async def send_continue(http: web.BaseRequest) -> None:
    """Send 100 Continue to a caller that expects it before its body."""
    if http.headers.get("Expect", "").lower() == "100-continue":
        http.transport.write(CONTINUE_RESPONSE)


def too_large_problem(
    max_bytes: int, ran: ExecutionState = ExecutionState.NO
) -> Problem:
    """Return the problem for a body that exceeds the limit."""
    return Problem(413, "too_large", f"at most {max_bytes} bytes", ran)
