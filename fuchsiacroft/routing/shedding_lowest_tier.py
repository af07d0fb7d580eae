"""Load shedding from the lowest tier up.

A request of a higher tier is refused only when no lower tier waits or runs where it
could run. Before that, waiters of lower tiers are evicted, and runs of lower tiers
are preempted: those of the lowest tier first, among them the one that has used the
least engine time. Non-idempotent runs are never preempted.
"""

from fuchsiacroft.routing.owned_server import OwnedServer, Run
from fuchsiacroft.routing.shedding import SheddingPolicy
from fuchsiacroft.routing.wait_estimates import WaitEstimates
from fuchsiacroft.routing.waiting_queue import LAST_ATTEMPT, Waiter, WaitingQueue
from fuchsiacroft.utils.clock import now

MIN_AHEAD = 4
"""Fewer waiters ahead than this do not allow an estimate of the wait."""
REFUSE_SLACK_FACTOR = 2.5
"""Highest ratio of expected wait to slack; above 1, as estimates run high."""
TOP_TIER_WAIT_SHARE = 0.4
"""Share of its first-token target that a top-tier request waits before it preempts; the
rest is for its prompt."""
POSITION_DELAY_S = 0.05
"""Longer than an owner takes to report a grant to the others."""
PREEMPT_MARGIN_S = 1.0
PREEMPT_MARGIN_SHARE = 0.25
"""Other tiers preempt this long before their latest start, at most a share of their
slack."""


class LowestTier(SheddingPolicy):
    """Evicts and preempts lower tiers; refuses early what would miss its deadline."""

    def __init__(self, queue_limit: int) -> None:
        self._queue_limit = queue_limit

    def admits(
        self,
        waiter: Waiter,
        queue: WaitingQueue,
        wait_estimates: WaitEstimates,
        servers: list[OwnedServer],
    ) -> bool:
        """Return whether the waiter can start in time, or preempt a run."""
        request = waiter.request
        ahead = queue.count(request.rank, request.workspace)
        if len(queue) < self._queue_limit and ahead < MIN_AHEAD:
            return True
        if self.victim(request.rank, servers) is not None:
            return True
        wait_s = wait_estimates.wait_s(request.rank, ahead, queue.share_of(request))
        slack_s = waiter.latest_start - now()
        return (
            len(queue) < self._queue_limit and wait_s <= REFUSE_SLACK_FACTOR * slack_s
        )

    def preempt_at(self, waiter: Waiter) -> float | None:
        """Return when to preempt a run for a waiter.

        The top tier waits for a part of its first-token target; others until
        their latest start is near. Owners tried later preempt later, so that
        one request has one run preempted.
        """
        if waiter.position == LAST_ATTEMPT:
            return waiter.arrived_at
        slack_s = max(0.0, waiter.latest_start - waiter.arrived_at)
        margin_s = min(PREEMPT_MARGIN_S, PREEMPT_MARGIN_SHARE * slack_s)
        max_wait_s = slack_s - margin_s
        if waiter.request.rank == 0:
            target_s = waiter.request.first_token_target_s
            max_wait_s = min(max_wait_s, TOP_TIER_WAIT_SHARE * target_s)
        return waiter.arrived_at + max_wait_s + POSITION_DELAY_S * waiter.position

    def refuse_at(self, waiter: Waiter) -> float | None:
        """Return the latest start."""
        return waiter.latest_start

    def victim(self, rank: int, servers: list[OwnedServer]) -> Run | None:
        """Return the lowest-tier run that has used the least engine time."""
        chosen = None
        lowest_loss = None
        for owned in servers:
            for run in owned.running.values():
                request = run.permit.request
                if request.rank <= rank or not request.idempotent or run.is_preempted:
                    continue
                loss = (-request.rank, run.elapsed_s())
                if lowest_loss is None or loss < lowest_loss:
                    chosen, lowest_loss = run, loss
        return chosen

    def waiters_to_evict(self, rank: int, queue: WaitingQueue) -> list[Waiter]:
        """Return the waiters of lower tiers."""
        lower = [other for other in queue.counts_by_rank() if other > rank]
        if not lower:
            return []
        return [waiter for waiter in queue if waiter.request.rank > rank]
