"""Shedding from the lowest tier up.

A request of a higher tier is refused only when no lower tier waits or runs
where it could run. Before that, waiters of lower tiers are evicted, and runs
of lower tiers are cut: those of the lowest tier first, among them the one on
which the least engine time has been spent. Non-idempotent runs are never cut.
"""

from fuchsiacroft.routing.order import LAST_TRY, Waiter, WaitingQueue
from fuchsiacroft.routing.owned import OwnedServer, Run
from fuchsiacroft.routing.shed import Shedding
from fuchsiacroft.routing.waits import Waits
from fuchsiacroft.utils.clock import now

MIN_AHEAD = 4
"""Requests ahead of one: fewer say nothing about how long they take."""
REFUSE_FACTOR = 2.5
"""Times its slack that a wait may be expected to last: estimates run high."""
TOP_PATIENCE_SHARE = 0.4
POSITION_DELAY_S = 0.05
PRESS_MARGIN_S = 1.0
PRESS_MARGIN_SHARE = 0.25


class LowestTier(Shedding):
    """Evicts and cuts lower tiers; refuses early what can't end in time."""

    def __init__(self, queue_limit: int) -> None:
        self._queue_limit = queue_limit

    def admits(
        self,
        waiter: Waiter,
        queue: WaitingQueue,
        waits: Waits,
        servers: list[OwnedServer],
    ) -> bool:
        """Refuse who would wait past the latest start, if none can be cut."""
        ask = waiter.ask
        ahead = queue.waiting(ask.rank, ask.workspace)
        if len(queue) < self._queue_limit and ahead < MIN_AHEAD:
            return True
        if self.victim(ask.rank, servers) is not None:
            return True
        wait_s = waits.wait_s(ask.rank, ahead, queue.share_of(ask))
        slack_s = waiter.latest_start - now()
        return len(queue) < self._queue_limit and wait_s <= REFUSE_FACTOR * slack_s

    def press_at(self, waiter: Waiter) -> float | None:
        """Return the end of the waiter's patience.

        The top tier waits for a part of its first-token target; others until
        their latest start is near. Owners asked later press later, so that
        one ask has one run cut.
        """
        if waiter.position == LAST_TRY:
            return waiter.arrived_at
        slack_s = max(0.0, waiter.latest_start - waiter.arrived_at)
        margin_s = min(PRESS_MARGIN_S, PRESS_MARGIN_SHARE * slack_s)
        patience_s = slack_s - margin_s
        if waiter.ask.rank == 0:
            target_s = waiter.ask.first_token_target_s
            patience_s = min(patience_s, TOP_PATIENCE_SHARE * target_s)
        return waiter.arrived_at + patience_s + POSITION_DELAY_S * waiter.position

    def give_up_at(self, waiter: Waiter) -> float | None:
        """Return the latest start."""
        return waiter.latest_start

    def victim(self, rank: int, servers: list[OwnedServer]) -> Run | None:
        """Return the lowest-tier run with the least engine time spent."""
        chosen = None
        least = None
        for owned in servers:
            for run in owned.running.values():
                ask = run.permit.request
                if ask.rank <= rank or not ask.idempotent or run.cutting:
                    continue
                loss = (-ask.rank, run.spent_s())
                if least is None or loss < least:
                    chosen, least = run, loss
        return chosen

    def evicted(self, rank: int, queue: WaitingQueue) -> list[Waiter]:
        """Return everyone who waits at a lower tier."""
        lower = [waiting for waiting in queue.by_rank() if waiting > rank]
        if not lower:
            return []
        return [waiter for waiter in queue if waiter.ask.rank > rank]
