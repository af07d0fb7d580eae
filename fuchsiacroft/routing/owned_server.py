"""A backend server whose permits this entry grants, and its runs."""

from collections import deque
from dataclasses import dataclass, field

from fuchsiacroft.membership import request_pacing
from fuchsiacroft.membership.backend_servers import BackendServer
from fuchsiacroft.membership.request_pacing import RequestPacing
from fuchsiacroft.membership.server_notices import ServerInstance
from fuchsiacroft.quarantine.evidence import ANSWER_SURVIVAL_S
from fuchsiacroft.routing.concurrency_limit import ConcurrencyLimit
from fuchsiacroft.routing.health import ServerHealth
from fuchsiacroft.routing.permits import Permit
from fuchsiacroft.routing.reserve import CapacityReserve
from fuchsiacroft.utils.clock import now

LOST_RUN_RETENTION_S = 15.0
MAX_TOP_TIER_PREFILLS = 3
MAX_LOWER_TIER_PREFILLS = 2


@dataclass(slots=True, eq=False)
class Run:
    """A permit in use; times are on the loop's clock, in seconds."""

    permit: Permit
    started_at: float
    expected_s: float
    prefill_s: float
    cached_tokens: int
    weight: float = 1.0
    was_first_prefill: bool = False
    is_isolated: bool = False
    is_preempted: bool = False
    first_token_at: float | None = None

    @property
    def is_foreign(self) -> bool:
        """Return whether the request is known to its holder only, after a takeover."""
        return self.permit.request.timeout_s <= 0.0

    def has_survived(self) -> bool:
        """Return whether its answer has gone on too long for it to crash the server."""
        if self.first_token_at is None:
            return False
        return now() - self.first_token_at >= ANSWER_SURVIVAL_S

    def elapsed_s(self) -> float:
        """Return the seconds since its start, prefill included."""
        return max(now() - self.started_at, 0.0)


@dataclass(slots=True, eq=False)
class OwnedServer:
    """The state of one owned backend server since its last boot.

    `share` is the part of the limit that this entry may grant, and `load` what is
    granted, in runs of mean size. `reserved_for` is the sequence number of the
    waiter that is to run there in isolation.
    """

    server: BackendServer
    limit: ConcurrencyLimit
    health: ServerHealth
    reserve: CapacityReserve
    pacing: RequestPacing = field(default_factory=request_pacing.create)
    share: float = 1.0
    load: float = 0.0
    running: dict[str, Run] = field(default_factory=dict)
    reserved_for: int | None = None
    has_isolated_run: bool = False
    prefill_ends: dict[str, float] = field(default_factory=dict)
    lost_runs: deque[tuple[float, tuple[str, ...]]] = field(default_factory=deque)

    @property
    def name(self) -> str:
        """Return the backend server's name."""
        return self.server.name

    @property
    def instance(self) -> ServerInstance:
        """Return this start of the server."""
        return ServerInstance(self.name, self.server.boot_id)

    @property
    def generation(self) -> str:
        """Return its hardware generation."""
        return self.server.announcement.generation

    def available_capacity(self, rank: int) -> float:
        """Return the load that requests of this rank may start now.

        It is the free capacity, bounded by the limit of concurrent prefills.
        """
        free = self.free_capacity(rank)
        if free <= 0:
            return 0
        max_prefills = MAX_TOP_TIER_PREFILLS if rank == 0 else MAX_LOWER_TIER_PREFILLS
        return min(free, max_prefills - self.prefill_count())

    def awaits_limit(self) -> bool:
        """Return whether the limit that the server names allows no request now."""
        return self.pacing.allowed(self.instance, now()) < 1

    def free_capacity(self, rank: int) -> float:
        """Return the free load for this rank, regardless of concurrent prefills."""
        if self.server.announcement.leaving or self.reserved_for is not None:
            return 0
        if self.has_isolated_run or self.awaits_limit():
            return 0
        allowed = self.limit.allowed()
        if rank == 0:
            allowed += self.limit.overshoot()
        allowed = int(self.share * self.health.effective_limit(allowed))
        free = allowed - self.load
        if free <= 0 or not self.running:
            return free
        unreserved = allowed - self.reserve.reserved_above(rank)
        return min(free, unreserved - self.reserve.load_at_or_below(rank))

    def prefill_count(self) -> int:
        """Return the estimated number of prompts in prefill."""
        if not self.prefill_ends:
            return 0
        at = now()
        ended = [permit_id for permit_id, end in self.prefill_ends.items() if end <= at]
        for permit_id in ended:
            del self.prefill_ends[permit_id]
        return len(self.prefill_ends)

    def add(self, run: Run) -> None:
        """Start a run; concurrent prefills share the engine."""
        permit_id = run.permit.permit_id
        self.running[permit_id] = run
        self.load += run.weight
        self.reserve.record_load(run.permit.request.rank, run.weight)
        if run.prefill_s > 0.0 and self.limit.limits_prefill:
            concurrent = self.prefill_count()
            run.was_first_prefill = concurrent == 0
            self.prefill_ends[permit_id] = now() + run.prefill_s * (1 + concurrent)

    def end_prefill(self, permit_id: str) -> bool:
        """Record a run's first token; return whether it was in prefill."""
        return self.prefill_ends.pop(permit_id, None) is not None

    def remove(self, permit_id: str) -> Run | None:
        """End a run; return None if it was not running."""
        run = self.running.pop(permit_id, None)
        self.prefill_ends.pop(permit_id, None)
        if run is not None:
            self.has_isolated_run = self.has_isolated_run and not run.is_isolated
            self.load -= run.weight
            self.reserve.record_load(run.permit.request.rank, -run.weight)
        return run

    def record_first_token(self, permit_id: str) -> None:
        """Record that the answer of a run has begun."""
        run = self.running.get(permit_id)
        if run is not None and run.first_token_at is None:
            run.first_token_at = now()

    def record_lost_run(self, run: Run) -> None:
        """Record a run whose connection was lost, in case the server has crashed."""
        if run.has_survived():
            return
        self.lost_runs.append((now(), run.permit.request.content_ids))
        while self.lost_runs and self.lost_runs[0][0] < now() - LOST_RUN_RETENTION_S:
            self.lost_runs.popleft()

    def suspects(self) -> set[str]:
        """Return the content suspected if this backend server has crashed."""
        oldest = now() - LOST_RUN_RETENTION_S
        suspects = [ids for lost_at, ids in self.lost_runs if lost_at >= oldest]
        suspects += [
            run.permit.request.content_ids
            for run in self.running.values()
            if not run.has_survived()
        ]
        return set().union(*suspects)
