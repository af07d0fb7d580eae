"""The waiting work of one service, and the owned backend servers for it."""

import asyncio
import math

from fuchsiacroft.routing.estimates import Estimates
from fuchsiacroft.routing.order import Waiter, WaitingQueue
from fuchsiacroft.routing.owned import OwnedServer
from fuchsiacroft.routing.permits import PermitRequest
from fuchsiacroft.routing.waits import Waits

MAX_COMPARED = 16


class Line:
    """A queue with the servers that serve it, and what presses on them."""

    def __init__(self, service: str, queue: WaitingQueue) -> None:
        self.service = service
        self.queue = queue
        self.waits = Waits()
        self.servers: dict[str, OwnedServer] = {}
        self.alone: list[Waiter] = []
        self.pressing: set[Waiter] = set()
        self.cuts_pending: set[str] = set()
        self.wake: asyncio.TimerHandle | None = None

    def roomy(self, rank: int, rng) -> list[OwnedServer]:
        """Return servers with room for a rank, at most a few at random."""
        found = [owned for owned in self.servers.values() if owned.room(rank) > 0]
        return rng.sample(found, MAX_COMPARED) if len(found) > MAX_COMPARED else found

    def next_prefill_end(self) -> float | None:
        """Return when the next prompt is likely out of prefill."""
        ends = [
            end for owned in self.servers.values() for end in owned.prefills.values()
        ]
        return min(ends, default=None)

    def slowest_run_s(self, ask: PermitRequest, estimates: Estimates) -> float:
        """Return the expected run time on the slowest generation in use."""
        ratio = estimates.output_ratio(ask.service)
        kinds = {
            owned.generation
            for owned in self.servers.values()
            if not owned.health.is_slow
        }
        times = [estimates.speed(ask.service, kind).run_s(ask, ratio) for kind in kinds]
        return max(times, default=estimates.run_s(ask))

    def wait_s(self, rank: int, workspace: str, share: float) -> float:
        """Return the expected wait of a new ask."""
        ahead = self.queue.waiting(rank, workspace)
        return self.waits.wait_s(rank, ahead, share)

    def leave(self, waiter: Waiter) -> None:
        """Take a waiter out of every list, and stop its timers."""
        self.queue.remove(waiter)
        self.pressing.discard(waiter)
        if waiter in self.alone:
            self.alone.remove(waiter)
        for timer in waiter.timers:
            timer.cancel()
        waiter.timers.clear()

    def dump(self) -> dict:
        """Return the queue by rank."""
        longest = max((self._wait_of(rank) for rank in self.queue.by_rank()), default=0)
        return {
            "waiting_by_rank": self.queue.by_rank(),
            "expected_wait_s": None if math.isinf(longest) else round(longest, 3),
            "alone": len(self.alone),
            "cuts_pending": len(self.cuts_pending),
        }

    def _wait_of(self, rank: int) -> float:
        return self.waits.wait_s(rank, self.queue.waiting(rank), 1.0)


def later(waiter: Waiter, at: float, call, *args) -> None:
    """Call something at a time, unless the waiter leaves before."""
    waiter.timers.append(asyncio.get_running_loop().call_at(at, call, *args))
