"""The requests that wait for the coordinator's decision, each with its future."""

import asyncio
import contextlib

from expression import Error, Result

from fuchsiacroft.placing.messages import Placed
from fuchsiacroft.routing.permits import Refusal, RefusalReason

WITHDRAWN = Refusal(RefusalReason.TIMED_OUT, 0.0)
"""What nobody hears any more: the caller left, or has a place elsewhere."""

Outcome = Result[Placed, Refusal]


class Turns:
    """Hands each waiting request its outcome, once.

    Guests are requests of other failure domains, which decide of them.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, asyncio.Future[Outcome]] = {}
        self._guests: set[str] = set()
        self._has_waiters = asyncio.Event()

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def begin(self, run_id: str, *, is_guest: bool = False) -> asyncio.Future[Outcome]:
        """Return the future outcome of a request that begins to wait."""
        fut = asyncio.get_running_loop().create_future()
        self._waiting[run_id] = fut
        if is_guest:
            self._guests.add(run_id)
        self._has_waiters.set()
        return fut

    def forget(self, run_id: str) -> None:
        """Forget a request whose outcome has been heard, or is no longer awaited."""
        self._waiting.pop(run_id, None)
        self._guests.discard(run_id)

    def is_guest(self, run_id: str) -> bool:
        """Tell whether a request is decided by another failure domain."""
        return run_id in self._guests

    def awaits(self, run_id: str) -> bool:
        """Tell whether a request still waits for its outcome."""
        fut = self._waiting.get(run_id)
        return fut is not None and not fut.done()

    def settle(self, run_id: str, outcome: Outcome) -> None:
        """Hand a request its outcome, if it still waits."""
        if self.awaits(run_id):
            self._waiting[run_id].set_result(outcome)

    def withdraw(self, run_id: str) -> None:
        """End a wait that nobody is interested in any more."""
        self.settle(run_id, Error(WITHDRAWN))

    async def some(self, timeout_s: float) -> None:
        """Wait until some request waits, or for `timeout_s`."""
        if self._waiting:
            return
        self._has_waiters.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._has_waiters.wait()
