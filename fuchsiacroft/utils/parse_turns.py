"""Shares the parsing of framing among the connections of a listening address.

Small chunks cost far more time than the bytes of a body. Without turns, connections
that send them keep the event loop from all others for seconds.
"""

import asyncio
from collections import deque
from collections.abc import Callable

GoOn = Callable[[], None]


class ParseTurns:
    """Allows so many bytes of framing in one iteration of the event loop.

    A connection that finds them spent waits for a turn. Turns come in order, some in
    each iteration.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._left_bytes = max_bytes
        self._waiting: deque[GoOn] = deque()
        self._is_scheduled = False

    @property
    def are_spent(self) -> bool:
        """Whether no more framing is to be parsed in this iteration."""
        return self._left_bytes <= 0

    def spend(self, framing_bytes: int) -> None:
        """Count framing that was parsed in this iteration."""
        if framing_bytes > 0:
            self._left_bytes -= framing_bytes
            self._schedule()

    def wait(self, go_on: GoOn) -> None:
        """Call `go_on` in a later iteration, behind all that wait already."""
        self._waiting.append(go_on)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._is_scheduled = False
        self._left_bytes = self._max_bytes
        # One that waits again has had its turn.
        for _ in range(len(self._waiting)):
            if self.are_spent:
                break
            self._waiting.popleft()()
        if self._waiting:
            self._schedule()
