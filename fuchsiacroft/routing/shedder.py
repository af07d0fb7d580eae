"""Carries out the decisions of the shedding policy at one owner.

A refused waiter is notified at once, with a retry delay.
"""

from collections.abc import Callable, Iterable

from expression import Error

from fuchsiacroft.routing.owned_server import Run
from fuchsiacroft.routing.permits import Permit, PermitRequest, Refusal, RefusalReason
from fuchsiacroft.routing.policies import PolicySet
from fuchsiacroft.routing.service_queue import ServiceQueue, call_at
from fuchsiacroft.routing.wait_estimates import jittered_retry_s
from fuchsiacroft.routing.waiting_queue import LAST_ATTEMPT, Waiter
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event

PREEMPT_RETRY_S = 0.1


class Shedder:
    """Refuses and evicts waiters, and preempts runs.

    `on_preempted` is called with each preempted permit and its retry delay in
    seconds.
    """

    def __init__(self, policies: PolicySet) -> None:
        self._policies = policies
        self.on_preempted: Callable[[Permit, float], None] = lambda permit, retry_s: (
            None
        )

    def may_wait(self, waiter: Waiter, service_queue: ServiceQueue) -> bool:
        """Return whether a new waiter may be queued."""
        shedding = self._policies.shedding
        servers = list(service_queue.servers.values())
        rank = waiter.request.rank
        if waiter.position == LAST_ATTEMPT:
            has_capacity = any(owned.available_capacity(rank) > 0 for owned in servers)
            return has_capacity or shedding.victim(rank, servers) is not None
        if waiter.position > 0:
            return True
        return shedding.admits(
            waiter, service_queue.waiting, service_queue.wait_estimates, servers
        )

    def schedule_timers(self, waiter: Waiter, service_queue: ServiceQueue) -> None:
        """Schedule the preemption of a run for a waiter, and the waiter's refusal."""
        preempt_at = self._policies.shedding.preempt_at(waiter)
        if preempt_at is not None:
            call_at(waiter, preempt_at, self._try_preempt, waiter, service_queue)
        refuse_at = self._policies.shedding.refuse_at(waiter)
        if refuse_at is not None:
            call_at(waiter, refuse_at, self._refuse_overdue, waiter, service_queue)

    def refuse_new(
        self, request: PermitRequest, service_queue: ServiceQueue
    ) -> Refusal:
        """Refuse a new request, after evicting the waiters of lower tiers."""
        self._evict_lower(request.rank, service_queue)
        return self.refusal(RefusalReason.OVERLOADED, request, service_queue)

    def refusal(
        self, reason: RefusalReason, request: PermitRequest, service_queue: ServiceQueue
    ) -> Refusal:
        """Return a refusal with its retry delay."""
        return Refusal(reason, self._retry_s(request, service_queue))

    def record_end(
        self, permit: Permit, service_queues: Iterable[ServiceQueue]
    ) -> None:
        """Record that a run has ended, preempted or not."""
        for service_queue in service_queues:
            service_queue.pending_preemptions.discard(permit.permit_id)

    def _try_preempt(self, waiter: Waiter, service_queue: ServiceQueue) -> None:
        if waiter.is_settled or not waiter.is_queued:
            return
        service_queue.preempting_waiters.add(waiter)
        servers = [
            owned
            for owned in service_queue.servers.values()
            if not owned.health.is_ejected and not owned.awaits_limit()
        ]
        rank = waiter.request.rank
        is_full = all(owned.free_capacity(rank) <= 0 for owned in servers)
        if is_full and len(service_queue.pending_preemptions) < len(
            service_queue.preempting_waiters
        ):
            run = self._policies.shedding.victim(rank, servers)
            if run is not None:
                self._preempt(run, service_queue)
        call_at(
            waiter, now() + PREEMPT_RETRY_S, self._try_preempt, waiter, service_queue
        )

    def _preempt(self, run: Run, service_queue: ServiceQueue) -> None:
        run.is_preempted = True
        permit = run.permit
        service_queue.pending_preemptions.add(permit.permit_id)
        retry_s = self._retry_s(permit.request, service_queue)
        event(
            "info", "run_cut", service=service_queue.service, rank=permit.request.rank
        )
        if not permit.preempted.done():
            permit.preempted.set_result(retry_s)
        self.on_preempted(permit, retry_s)

    def _refuse_overdue(self, waiter: Waiter, service_queue: ServiceQueue) -> None:
        if waiter.is_settled or not waiter.is_queued:
            return
        servers = [
            owned
            for owned in service_queue.servers.values()
            if not owned.awaits_limit()
        ]
        victim = self._policies.shedding.victim(waiter.request.rank, servers)
        if victim is not None:
            self._preempt(victim, service_queue)
        if service_queue.pending_preemptions:
            call_at(
                waiter,
                now() + PREEMPT_RETRY_S,
                self._refuse_overdue,
                waiter,
                service_queue,
            )
            return
        self._evict_lower(waiter.request.rank, service_queue)
        self._refuse(waiter, service_queue)

    def _evict_lower(self, rank: int, service_queue: ServiceQueue) -> None:
        for lower in self._policies.shedding.waiters_to_evict(
            rank, service_queue.waiting
        ):
            self._refuse(lower, service_queue)

    def _refuse(self, waiter: Waiter, service_queue: ServiceQueue) -> None:
        refusal = self.refusal(RefusalReason.OVERLOADED, waiter.request, service_queue)
        service_queue.waiting.remove(waiter)
        if not waiter.fut.done():
            waiter.fut.set_result(Error(refusal))

    def _retry_s(self, request: PermitRequest, service_queue: ServiceQueue) -> float:
        share = service_queue.waiting.share_of(request)
        wait_s = service_queue.expected_wait_s(request.rank, request.workspace, share)
        return jittered_retry_s(wait_s, self._policies.rng)
