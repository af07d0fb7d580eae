"""Chooses the server of a request among those that are free.

Like the allocator, it takes the time as an argument, does no I/O and starts no tasks.
"""

import math
import statistics
from collections.abc import Container, Iterable, Sequence

from fuchsiacroft.membership.request_pacing import RequestPacing
from fuchsiacroft.placing.crash_detector import CrashDetector
from fuchsiacroft.placing.fleet_runs import DEFAULT_RUN_S, FleetRuns
from fuchsiacroft.placing.messages import EnginePrefill, PlaceRequest
from fuchsiacroft.placing.server_load import ServerLoad
from fuchsiacroft.placing.server_pool import ServerPool
from fuchsiacroft.placing.slot_capacity import SlotCapacity
from fuchsiacroft.placing.token_memory import TokenMemory
from fuchsiacroft.quarantine.evidence import Treatment
from fuchsiacroft.rollouts.entry_rollouts import EntryRollouts
from fuchsiacroft.routing.permits import PermitRequest

SHORT_RUN_SHARE = 0.5
"""Runs up to this share of the service's mean run time count as short."""
STALL_AVOIDANCE_SHARE = 0.4
"""Share of its in-time wait that a request spends waiting for a server on which its
prefill would not stall other streams for too long."""


class ServerChoice:
    """Finds the free server on which a request costs least."""

    def __init__(
        self,
        pool: ServerPool,
        runs: FleetRuns,
        capacity: SlotCapacity,
        *,
        rollouts: EntryRollouts,
        pacing: RequestPacing,
        token_memory: TokenMemory,
        crash_detector: CrashDetector,
    ) -> None:
        self._pool = pool
        self._runs = runs
        self._capacity = capacity
        self._rollouts = rollouts
        self._pacing = pacing
        self._token_memory = token_memory
        self._crash_detector = crash_detector

    def may_run(self, permit_request: PermitRequest) -> bool:
        """Return whether a request may run on any server, free or not."""
        avoid = permit_request.avoid
        candidates = self._pool.candidates(permit_request)
        return any(load.name not in avoid for load in candidates)

    def median_run_s(self, permit_request: PermitRequest) -> float:
        """Return the expected run time on a server of median speed."""
        candidates = self._pool.candidates(permit_request)
        if not candidates:
            return DEFAULT_RUN_S
        if not permit_request.size.prompt_tokens:
            return statistics.median(load.run_s(permit_request) for load in candidates)
        by_speed = sorted(candidates, key=lambda load: load.gap_s)
        middle = by_speed[(len(by_speed) - 1) // 2 : len(by_speed) // 2 + 1]
        return statistics.fmean(load.run_s(permit_request) for load in middle)

    def fastest_first_event_s(
        self, request: PlaceRequest, target_s: float, at: float
    ) -> float | None:
        """Return the shortest time to a first event if all free servers miss a target.

        None if one of them meets it, or if none is free.
        """
        tokens = request.ask.size.prompt_tokens
        fastest_s = math.inf
        for load in self._eligible(request.ask, at):
            if not self._has_room(load, request, at):
                continue
            first_event_s = load.first_event_s(tokens)
            if first_event_s >= fastest_s:
                continue
            if first_event_s <= target_s:
                return None
            fastest_s = first_event_s
        return None if fastest_s == math.inf else fastest_s

    def fastest_prefill(self, service: str, at: float) -> EnginePrefill | None:
        """Return the prefill speed of the fastest free engine of a service."""
        self._rollouts.permission(service, at)
        free = [
            load
            for load in self._pool.usable(service)
            if self._capacity.free_for(load, service, at)
        ]
        fastest = max(free, key=lambda load: load.prefill_tokens_per_s, default=None)
        if fastest is None:
            return None
        return EnginePrefill(int(fastest.prefill_tokens_per_s), fastest.prefill_tokens)

    def choose(
        self,
        request: PlaceRequest,
        at: float,
        waited_s: float = 0.0,
        *,
        only_limited: bool = False,
        awaited: Container[str] = (),
    ) -> ServerLoad | None:
        """Return the free server with the lowest expected cost, or None.

        While the request has time left, servers whose streams it would stall are
        skipped. A request with suspected content runs in isolation. A short one gets
        a place of a limited server only if no other server is free, since each place
        is one request of any length. With `only_limited`, no other server is chosen.
        Servers of `awaited` versions are left to the streams that wait for them, if
        another one is free. A new version that is rolled out gets its share first.
        """
        permit_request = request.ask
        match self.treatment(permit_request, at):
            case Treatment.REFUSED:
                return None
            case Treatment.ISOLATED:
                return self._choose_isolated(request, at)
        avoids_stalls = waited_s < STALL_AVOIDANCE_SHARE * request.in_time_s
        best, lowest_cost = None, (math.inf, True, True, math.inf)
        lacks_tokens = False
        servers = self._eligible(permit_request, at)
        order = self._pool.rollout_order(permit_request, servers)
        allows_too_slow = _allows_too_slow(request, servers, at, waited_s)
        remaining_s = permit_request.timeout_s - waited_s
        for load in servers:
            if not self._capacity.free_on(load, at):
                continue
            slowed_run_s = load.slowed_run_s(permit_request, at)
            if not allows_too_slow and not load.can_complete(
                slowed_run_s, remaining_s, at
            ):
                continue
            is_limited = self._pacing.is_limited(load.instance)
            is_awaited = _is_awaited(load, permit_request, awaited)
            cost = (
                order.get(load.name, 0),
                is_awaited,
                is_limited and self._is_short_on(load, permit_request),
                slowed_run_s + load.failure_cost_s,
            )
            if cost >= lowest_cost:
                continue
            if not self._token_memory.fits(load, request, at):
                lacks_tokens = True
                continue
            if only_limited and not is_limited:
                continue
            if avoids_stalls and load.would_stall(permit_request, request.event_tokens):
                continue
            if not self._runs.isolated.occupies(load):
                best, lowest_cost = load, cost
        if best is None and lacks_tokens and waited_s > 0.0:
            self._token_memory.hold(
                request,
                servers,
                at,
                lambda load: self._capacity.free_on(load, at) > 0,
            )
        return best

    def treatment(self, permit_request: PermitRequest, at: float) -> Treatment:
        """Return how a request may run, by what is known of its content."""
        evidence = self._crash_detector.evidence
        if evidence.is_empty:
            return Treatment.UNRESTRICTED
        return evidence.treatment(permit_request.content_ids, at)

    def suspected_content(
        self, permit_request: PermitRequest, at: float
    ) -> frozenset[str]:
        """Return the content for which a request runs in isolation."""
        evidence = self._crash_detector.evidence
        if evidence.is_empty:
            return frozenset()
        return evidence.suspected(permit_request.content_ids, at)

    def _choose_isolated(self, request: PlaceRequest, at: float) -> ServerLoad | None:
        permit_request = request.ask
        return self._runs.isolated.choose(
            self.suspected_content(permit_request, at),
            self._eligible(permit_request, at),
            lambda load: self._has_room(load, request, at),
        )

    def _eligible(
        self, permit_request: PermitRequest, at: float
    ) -> Sequence[ServerLoad]:
        """Return the servers that a request may be placed on now, free or not.

        A stream doesn't go on at a server that may have started again.
        """
        self._rollouts.permission(permit_request.service, at)
        avoid = permit_request.avoid
        candidates = self._pool.candidates(permit_request)
        may_be_uncertain = permit_request.version is None
        if may_be_uncertain and not avoid:
            return candidates
        return [
            load
            for load in candidates
            if load.name not in avoid
            and (may_be_uncertain or self._capacity.is_start_certain(load, at))
        ]

    def _has_room(self, load: ServerLoad, request: PlaceRequest, at: float) -> bool:
        is_free = self._capacity.free_on(load, at) > 0
        return is_free and self._token_memory.fits(load, request, at)

    def _is_short_on(self, load: ServerLoad, permit_request: PermitRequest) -> bool:
        mean_s = self._runs.mean_run_s(permit_request.service)
        return load.run_s(permit_request) < SHORT_RUN_SHARE * mean_s


def _is_awaited(
    load: ServerLoad, permit_request: PermitRequest, awaited: Container[str]
) -> bool:
    """Return whether streams of other requests wait for a server's version."""
    if permit_request.version is not None or not awaited:
        return False
    return load.version_of(permit_request.service) in awaited


def _allows_too_slow(
    request: PlaceRequest, servers: Iterable[ServerLoad], at: float, waited_s: float
) -> bool:
    """Return whether a request may go where it is not expected to end in time.

    It may if it can't wait any longer and no server, free or not, is fast enough. One
    that could not be reached lately is not waited for.
    """
    if waited_s < STALL_AVOIDANCE_SHARE * request.in_time_s:
        return False
    remaining_s = request.ask.timeout_s - waited_s
    return not any(
        load.can_complete(load.slowed_run_s(request.ask, at), remaining_s, at)
        for load in servers
        if at >= load.backoff_until
    )
