"""An event loop on a virtual clock that advances while every task waits."""

import asyncio
import math
import selectors

from fuchsiacroft.utils.clock import LeaseClock


class VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the virtual clock instead of waiting when nothing is ready."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Return the ready events; without any, advance the clock by `timeout`."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            return super().select(timeout)
        self.now += max(timeout, 0.0)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop, LeaseClock):
    """A loop whose clock advances only when every task is waiting for it."""

    def __init__(self) -> None:
        self._suspended_s = 0.0
        self._virtual_selector = VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    @property
    def _clock_resolution(self) -> float:
        """Return a resolution at which no timer runs early, so that time advances.

        The base class runs timers that are due within this many seconds. A
        coroutine that waits for the rest of a shorter time would loop forever.
        """
        return math.ulp(self._virtual_selector.now)

    @_clock_resolution.setter
    def _clock_resolution(self, seconds: float) -> None:
        """Ignore the resolution of the system clock."""

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now

    def lease_time(self) -> float:
        """Return the virtual time with the time for which the VM was suspended."""
        return self.time() + self._suspended_s

    def suspend(self, seconds: float) -> None:
        """Let the VM have been suspended: only the lease clock advances."""
        self._suspended_s += seconds

    def stand_still(self, seconds: float) -> None:
        """Let the process have stood still: its timers are late by up to `seconds`."""
        self._virtual_selector.now += seconds


def run(coro):
    """Run a coroutine to its end on a virtual clock."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coro)
