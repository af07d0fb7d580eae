"""Waits for callers that read responses slowly, within limits of time and memory.

What is buffered for such a caller was received from the backend server already, unless
the response is streamed. A caller that reads nothing for some seconds is cut off, so
that it holds neither memory nor a backend server. When memory is short, the caller that
has read nothing for the longest time is cut off first.
"""

import asyncio
from collections.abc import Coroutine
from functools import partial
from typing import Any

from aiohttp import web

from fuchsiacroft.entry.memory_budget import SMALL_BYTES, Claim
from fuchsiacroft.utils import connections
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.rate_limited_log import RateLimitedLog

UNREAD_TIMEOUT_S = 5.0
"""Backend servers abort responses that stay unread for some seconds."""
CHECK_PERIOD_S = 0.25
WRITE_BUFFER_BYTES = 32 * 1024
"""Above it a caller is waited for; at most as much again is written at once."""
STREAM_BYTES = SMALL_BYTES
"""What is buffered for a caller of a stream, so little that the reserve is for it."""
RELAY_BYTES = 256 * 1024
"""What is buffered for a caller of a large response: what was written, one read, and
what has come from the backend server meanwhile."""
MAX_LOGS_PER_S = 5
_log = RateLimitedLog("caller_cut_off", MAX_LOGS_PER_S)


class SlowCallerError(ConnectionError):
    """The caller did not read the response fast enough; its connection was reset."""


def limit_write_buffer(http: web.BaseRequest) -> None:
    """Let the transport ask to wait when `WRITE_BUFFER_BYTES` are buffered."""
    if http.transport is not None:
        http.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)


async def wait_until_read(
    http: web.BaseRequest,
    claim: Claim,
    size: int = STREAM_BYTES,
    timeout_s: float | None = None,
) -> None:
    """Wait until what is buffered for a caller is below the transport's limit.

    The claim holds `size` bytes meanwhile. Raise `SlowCallerError` if there is no room
    for them, if the claim is dropped, or if the caller reads nothing for `timeout_s`
    (`UNREAD_TIMEOUT_S` if None).
    """
    if not http.protocol.writing_paused or http.transport is None:
        return
    if timeout_s is None:
        timeout_s = UNREAD_TIMEOUT_S
    unread = _Unread(http.transport, claim, size)
    await _wait(http.writer.drain(), unread, timeout_s)


async def write_whole(
    http: web.BaseRequest, response: web.StreamResponse, claim: Claim
) -> None:
    """Write a response whose body is held by a claim, as `wait_until_read` waits."""
    await response.prepare(http)
    is_small = (response.content_length or 0) <= WRITE_BUFFER_BYTES
    if http.transport is None or (is_small and not http.protocol.writing_paused):
        await response.write_eof()
        return
    # aiohttp itself would wait for the caller without limits.
    unread = _Unread(http.transport, claim, claim.size)
    await _wait(response.write_eof(), unread, UNREAD_TIMEOUT_S)


async def _wait(
    writing: Coroutine[Any, Any, None], unread: "_Unread", timeout_s: float
) -> None:
    """Await a write that ends when the caller has read enough."""
    # aiohttp's wait can't be awaited again once it is cancelled.
    task = asyncio.ensure_future(writing)
    try:
        while not task.done():
            await asyncio.wait({task}, timeout=min(CHECK_PERIOD_S, timeout_s))
            if unread.claim.is_dropped:
                unread.cut_off("memory_short")
            if not task.done() and unread.unchanged_s() >= timeout_s:
                unread.cut_off("nothing_read")
        task.result()
    finally:
        task.cancel()
        unread.claim.on_drop = None


class _Unread:
    """What a caller has not read yet, as far as it is buffered here."""

    def __init__(self, transport: asyncio.Transport, claim: Claim, size: int) -> None:
        self.claim = claim
        self._transport = transport
        self._size = transport.get_write_buffer_size()
        self._read = 0
        self._read_at = now()
        if not claim.try_hold(max(claim.size, size), self._read_at):
            self.cut_off("memory_short")
        claim.watch_progress(partial(connections.reset, transport), self._read_at)

    def unchanged_s(self) -> float:
        """Return for how long the caller has read nothing."""
        size = self._transport.get_write_buffer_size()
        if size < self._size:
            self._read += self._size - size
            self._read_at = now()
            self.claim.record_progress(self._read, self._read_at)
        self._size = size
        return now() - self._read_at

    def cut_off(self, reason: str) -> None:
        """Reset the connection."""
        _log.event(reason=reason, unread=self._size)
        connections.reset(self._transport)
        raise SlowCallerError("the caller reads too little of the response")
