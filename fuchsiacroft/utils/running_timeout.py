"""A timeout of what others do, which counts only time in which this process ran.

Timers that are due run before what has arrived is read. So after a process stood
still, or while each turn of its event loop takes long, an ordinary timeout gives up an
operation whose result is there already, as if the other side had been silent.
"""

import asyncio
import math
from collections.abc import Callable
from types import TracebackType
from typing import Self

from fuchsiacroft.utils.clock import lease_now

STEPS = 5
"""A timeout ends after this many timers, one after the other.

However late a timer is, it counts for its own time, and what has arrived is read
before the next one.
"""


class RunningTimer:
    """Calls `callback` after `seconds` in which the process ran.

    It is also called after the process stood still for more than `max_still_s`.
    """

    __slots__ = ("_callback", "_ends_at", "_handle", "_step_s", "_steps_left")

    def __init__(
        self,
        seconds: float,
        callback: Callable[[], None],
        max_still_s: float = math.inf,
    ) -> None:
        self._callback = callback
        self._ends_at = lease_now() + seconds + max_still_s
        self._step_s = seconds / STEPS
        self._steps_left = STEPS
        self._begin_step()

    def cancel(self) -> None:
        """Don't call it any more."""
        self._handle.cancel()

    def _begin_step(self) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(self._step_s, self._end_step)

    def _end_step(self) -> None:
        self._steps_left -= 1
        if self._steps_left and lease_now() < self._ends_at:
            self._begin_step()
        else:
            self._callback()


class RunningTimeout:
    """Context manager that raises `TimeoutError` after some seconds of running."""

    __slots__ = ("_limit", "_max_still_s", "_seconds", "_timer")

    def __init__(self, seconds: float, max_still_s: float) -> None:
        self._seconds = seconds
        self._max_still_s = max_still_s
        self._limit = asyncio.timeout(None)

    async def __aenter__(self) -> Self:
        """Begin to count."""
        await self._limit.__aenter__()
        self._timer = RunningTimer(self._seconds, self._end, self._max_still_s)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        """Raise `TimeoutError` if the time has passed."""
        # It refers to this object, and both would stay in memory.
        timer, self._timer = self._timer, None
        timer.cancel()
        return await self._limit.__aexit__(exc_type, exc, traceback)

    def _end(self) -> None:
        self._limit.reschedule(asyncio.get_running_loop().time())


def running_timeout(seconds: float, max_still_s: float = math.inf) -> RunningTimeout:
    """Return a context manager that ends after `seconds` in which the process ran.

    With `max_still_s`, it also ends after standing still for more seconds, as a result
    that has come meanwhile may be out of date.
    """
    return RunningTimeout(seconds, max_still_s)
