"""Watches an operation for progress, and ends it once another can take over."""

import asyncio
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Self

from fuchsiacroft.utils.running_timeout import RunningTimer


class SilenceWatch:
    """Context manager around an operation that should make progress.

    After `idle_timeout_s()` without progress, in which this process ran, it calls
    `is_replaced`. If that returns true, the operation is cancelled and `TimeoutError`
    is raised. Otherwise the operation goes on, as a silent one may only be slow.
    """

    def __init__(
        self,
        idle_timeout_s: Callable[[], float],
        is_replaced: Callable[[], Awaitable[bool]],
    ) -> None:
        self._idle_timeout_s = idle_timeout_s
        self._is_replaced = is_replaced
        self._limit: asyncio.Timeout | None = asyncio.timeout(None)
        self._timer: RunningTimer | None = None
        self._search: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        """Begin to watch."""
        await self._limit.__aenter__()
        self.resume()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        """End the watch."""
        self.pause()
        # It refers to the task, which may hold an exception that refers to the watch.
        limit, self._limit = self._limit, None
        return await limit.__aexit__(exc_type, exc, traceback)

    def resume(self) -> None:
        """Begin an idle period; call it after progress."""
        self.pause()
        self._timer = RunningTimer(self._idle_timeout_s(), self._start_search)

    def pause(self) -> None:
        """Stop to watch, while the operation waits for something else."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._search is not None:
            self._search.cancel()
            self._search = None

    def _start_search(self) -> None:
        self._timer = None
        self._search = asyncio.ensure_future(self._find_replacement())

    async def _find_replacement(self) -> None:
        is_replaced = await self._is_replaced()
        self._search = None
        if is_replaced:
            self._limit.reschedule(asyncio.get_running_loop().time())
        else:
            self.resume()
