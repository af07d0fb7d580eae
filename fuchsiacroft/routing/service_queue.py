"""The waiters of one service, and the owned backend servers that offer it."""

import asyncio
import math

from fuchsiacroft.routing.estimates import RunEstimates
from fuchsiacroft.routing.owned_server import OwnedServer
from fuchsiacroft.routing.permits import PermitRequest
from fuchsiacroft.routing.wait_estimates import WaitEstimates
from fuchsiacroft.routing.waiting_queue import Waiter, WaitingQueue
from fuchsiacroft.utils.clock import now

MAX_COMPARED_SERVERS = 16


class ServiceQueue:
    """The waiters, backend servers and pending preemptions of one service."""

    def __init__(self, service: str, queue: WaitingQueue) -> None:
        self.service = service
        self.waiting = queue
        self.wait_estimates = WaitEstimates()
        self.servers: dict[str, OwnedServer] = {}
        self.isolated_waiters: list[Waiter] = []
        self.preempting_waiters: set[Waiter] = set()
        self.pending_preemptions: set[str] = set()
        self.wake_up_timer: asyncio.TimerHandle | None = None

    def available_servers(self, rank: int, rng) -> list[OwnedServer]:
        """Return the servers with capacity for a rank, or a random sample of many."""
        available = [
            owned
            for owned in self.servers.values()
            if owned.available_capacity(rank) > 0
        ]
        return (
            rng.sample(available, MAX_COMPARED_SERVERS)
            if len(available) > MAX_COMPARED_SERVERS
            else available
        )

    def next_capacity_at(self) -> float | None:
        """Return when capacity is expected although no run ends, or None.

        A prefill ends, or the limit of a server allows the next request.
        """
        servers = self.servers.values()
        times = [end for owned in servers for end in owned.prefill_ends.values()]
        times += [
            owned.pacing.free_at(owned.instance, now())
            for owned in servers
            if owned.awaits_limit()
        ]
        return min(times, default=None)

    def slowest_run_s(self, request: PermitRequest, estimates: RunEstimates) -> float:
        """Return the expected run time on the slowest generation in use."""
        ratio = estimates.output_ratio(request.service)
        generations = {
            owned.generation
            for owned in self.servers.values()
            if not owned.health.is_ejected
        }
        times = [
            estimates.speed(request.service, generation).run_s(request, ratio)
            for generation in generations
        ]
        return max(times, default=estimates.run_s(request))

    def expected_wait_s(self, rank: int, workspace: str, share: float) -> float:
        """Return the expected wait of a new permit request in seconds."""
        ahead = self.waiting.count(rank, workspace)
        return self.wait_estimates.wait_s(rank, ahead, share)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter from every list, and cancel its timers."""
        self.waiting.remove(waiter)
        self.preempting_waiters.discard(waiter)
        if waiter in self.isolated_waiters:
            self.isolated_waiters.remove(waiter)
        for timer in waiter.timers:
            timer.cancel()
        waiter.timers.clear()

    def dump(self) -> dict:
        """Return the number of waiters by rank, and the expected wait."""
        longest = max(
            (self._expected_wait_at(rank) for rank in self.waiting.counts_by_rank()),
            default=0,
        )
        return {
            "waiting_by_rank": self.waiting.counts_by_rank(),
            "expected_wait_s": None if math.isinf(longest) else round(longest, 3),
            "alone": len(self.isolated_waiters),
            "cuts_pending": len(self.pending_preemptions),
        }

    def _expected_wait_at(self, rank: int) -> float:
        return self.wait_estimates.wait_s(rank, self.waiting.count(rank), 1.0)


def call_at(waiter: Waiter, at: float, callback, *args) -> None:
    """Schedule a callback at a time; it is cancelled when the waiter is removed."""
    waiter.timers.append(asyncio.get_running_loop().call_at(at, callback, *args))
