"""Futures of the requests that wait for the coordinator's decision."""

import asyncio
import contextlib

from expression import Error, Result

from fuchsiacroft.placing.messages import SlotAssignment
from fuchsiacroft.routing.permits import Refusal, RefusalReason

CANCELLED = Refusal(RefusalReason.TIMED_OUT, 0.0)
"""Result of a cancelled wait, which is not delivered: the caller disconnected or
the request was placed in another domain."""

PlacementResult = Result[SlotAssignment, Refusal]


class PendingPlacements:
    """Delivers one result to each waiting request.

    Remote requests come from other failure domains, which make the final decision.
    """

    def __init__(self) -> None:
        self._futures: dict[str, asyncio.Future[PlacementResult]] = {}
        self._remote: set[str] = set()
        self._has_futures = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._futures)

    def add(
        self, run_id: str, *, is_remote: bool = False
    ) -> asyncio.Future[PlacementResult]:
        """Register a request and return the future of its result."""
        fut = asyncio.get_running_loop().create_future()
        self._futures[run_id] = fut
        if is_remote:
            self._remote.add(run_id)
        self._has_futures.set()
        return fut

    def discard(self, run_id: str) -> None:
        """Remove a request whose result was delivered or is no longer awaited."""
        self._futures.pop(run_id, None)
        self._remote.discard(run_id)

    def is_remote(self, run_id: str) -> bool:
        """Return whether a request belongs to another failure domain."""
        return run_id in self._remote

    def is_pending(self, run_id: str) -> bool:
        """Return whether a request still waits for its result."""
        fut = self._futures.get(run_id)
        return fut is not None and not fut.done()

    def resolve(self, run_id: str, outcome: PlacementResult) -> None:
        """Deliver the result of a request, if it still waits."""
        if self.is_pending(run_id):
            self._futures[run_id].set_result(outcome)

    def cancel(self, run_id: str) -> None:
        """End a wait whose result is no longer needed."""
        self.resolve(run_id, Error(CANCELLED))

    async def wait_for_any(self, timeout_s: float) -> None:
        """Block until a request is registered, for at most `timeout_s`."""
        if self._futures:
            return
        self._has_futures.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._has_futures.wait()
