"""Acts on what the shedding policy decides for the lines of one owner.

Who is refused gets the answer at once, with the time after which another try
makes sense.
"""

from collections.abc import Callable

from expression import Error

from fuchsiacroft.routing.line import Line, later
from fuchsiacroft.routing.order import LAST_TRY, Waiter
from fuchsiacroft.routing.owned import Run
from fuchsiacroft.routing.permits import Permit, PermitRequest, Refusal, RefusalReason
from fuchsiacroft.routing.policies import Decisions
from fuchsiacroft.routing.waits import spread_retry_s
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event

PRESS_PERIOD_S = 0.1


class Shedder:
    """Refuses, evicts and cuts.

    `on_cut` is told of each permit whose run must end, and after how many
    seconds its caller may retry.
    """

    def __init__(self, decisions: Decisions) -> None:
        self._decisions = decisions
        self.on_cut: Callable[[Permit, float], None] = lambda permit, retry_s: None

    def may_wait(self, waiter: Waiter, line: Line) -> bool:
        """Tell whether a new waiter may join its line."""
        shed = self._decisions.shed
        servers = list(line.servers.values())
        rank = waiter.ask.rank
        if waiter.position == LAST_TRY:
            has_room = any(owned.room(rank) > 0 for owned in servers)
            return has_room or shed.victim(rank, servers) is not None
        if waiter.position > 0:
            return True
        return shed.admits(waiter, line.queue, line.waits, servers)

    def watch(self, waiter: Waiter, line: Line) -> None:
        """Make room for a waiter, or give it up, when its time comes."""
        press_at = self._decisions.shed.press_at(waiter)
        if press_at is not None:
            later(waiter, press_at, self._press, waiter, line)
        give_up_at = self._decisions.shed.give_up_at(waiter)
        if give_up_at is not None:
            later(waiter, give_up_at, self._give_up, waiter, line)

    def refuse_new(self, ask: PermitRequest, line: Line) -> Refusal:
        """Refuse a new ask, and who waits below it first."""
        self._evict_lower(ask.rank, line)
        return self.refusal(RefusalReason.OVERLOADED, ask, line)

    def refusal(self, reason: RefusalReason, ask: PermitRequest, line: Line) -> Refusal:
        """Return a refusal with the time to retry after."""
        return Refusal(reason, self._retry_s(ask, line))

    def forget_cut(self, permit: Permit, line: Line | None) -> None:
        """Note that a run has ended, cut or not."""
        if line is not None:
            line.cuts_pending.discard(permit.permit_id)

    def _press(self, waiter: Waiter, line: Line) -> None:
        if waiter.is_settled or not waiter.queued:
            return
        line.pressing.add(waiter)
        servers = [owned for owned in line.servers.values() if not owned.health.is_slow]
        rank = waiter.ask.rank
        is_full = all(owned.free(rank) <= 0 for owned in servers)
        if is_full and len(line.cuts_pending) < len(line.pressing):
            run = self._decisions.shed.victim(rank, servers)
            if run is not None:
                self._cut(run, line)
        later(waiter, now() + PRESS_PERIOD_S, self._press, waiter, line)

    def _cut(self, run: Run, line: Line) -> None:
        run.cutting = True
        permit = run.permit
        line.cuts_pending.add(permit.permit_id)
        retry_s = self._retry_s(permit.request, line)
        event("info", "run_cut", service=line.service, rank=permit.request.rank)
        if not permit.preempted.done():
            permit.preempted.set_result(retry_s)
        self.on_cut(permit, retry_s)

    def _give_up(self, waiter: Waiter, line: Line) -> None:
        if waiter.is_settled or not waiter.queued:
            return
        servers = list(line.servers.values())
        victim = self._decisions.shed.victim(waiter.ask.rank, servers)
        if victim is not None:
            self._cut(victim, line)
        if line.cuts_pending:
            later(waiter, now() + PRESS_PERIOD_S, self._give_up, waiter, line)
            return
        self._evict_lower(waiter.ask.rank, line)
        self._refuse(waiter, line)

    def _evict_lower(self, rank: int, line: Line) -> None:
        for lower in self._decisions.shed.evicted(rank, line.queue):
            self._refuse(lower, line)

    def _refuse(self, waiter: Waiter, line: Line) -> None:
        refusal = self.refusal(RefusalReason.OVERLOADED, waiter.ask, line)
        line.queue.remove(waiter)
        if not waiter.fut.done():
            waiter.fut.set_result(Error(refusal))

    def _retry_s(self, ask: PermitRequest, line: Line) -> float:
        share = line.queue.share_of(ask)
        wait_s = line.wait_s(ask.rank, ask.workspace, share)
        return spread_retry_s(wait_s, self._decisions.rng)
