"""An event loop whose clock stands still until every task waits for it."""

import asyncio
import math
import selectors


class VirtualTimeSelector(selectors.DefaultSelector):
    """Advance the clock instead of waiting when nothing is ready."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Return what is ready; with nothing ready, advance by `timeout`."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            return super().select(timeout)
        self.now += max(timeout, 0.0)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop whose time moves only when every task is waiting for it."""

    def __init__(self) -> None:
        self._virtual_selector = VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    @property
    def _clock_resolution(self) -> float:
        """Run a timer at its time and never before, so that time goes on.

        The base class runs timers that are due within this many seconds; a
        coroutine that waits for the rest of a shorter time would wait forever.
        """
        return math.ulp(self._virtual_selector.now)

    @_clock_resolution.setter
    def _clock_resolution(self, seconds: float) -> None:
        """Ignore the resolution of the machine's clock."""

    def time(self) -> float:
        """Return the paused clock in seconds."""
        return self._virtual_selector.now


def run(coro):
    """Run a coroutine on a paused loop to its end."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coro)
