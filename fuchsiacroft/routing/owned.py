"""A backend server whose permits this entry hands out, and its runs."""

from collections import deque
from dataclasses import dataclass, field

from fuchsiacroft.membership.backend_servers import BackendServer
from fuchsiacroft.routing.health import Health
from fuchsiacroft.routing.limit import Limit
from fuchsiacroft.routing.permits import Permit
from fuchsiacroft.routing.reserve import Reserve
from fuchsiacroft.utils.clock import now

LOST_KEPT_S = 15.0
TOP_PREFILLS = 3
LOWER_PREFILLS = 2


@dataclass(slots=True, eq=False)
class Run:
    """A permit in use; seconds are on the loop's clock."""

    permit: Permit
    started_at: float
    expected_s: float
    prefill_s: float
    cached_tokens: int
    weight: float = 1.0
    was_first_prefill: bool = False
    alone: bool = False
    cutting: bool = False

    @property
    def is_foreign(self) -> bool:
        """Tell whether only its holder knows the ask, after a takeover."""
        return self.permit.request.timeout_s <= 0.0

    def spent_s(self) -> float:
        """Return the engine time spent on it, prefill counted in full."""
        return max(now() - self.started_at, 0.0)


@dataclass(slots=True, eq=False)
class OwnedServer:
    """What the owner knows of one backend server in its present life.

    `share` is the part of the limit that may be handed out from here, and
    `load` what is handed out, in runs of mean size.
    `held_for` is the number of the ask that waits to run there alone.
    """

    server: BackendServer
    limit: Limit
    health: Health
    reserve: Reserve
    share: float = 1.0
    load: float = 0.0
    running: dict[str, Run] = field(default_factory=dict)
    held_for: int | None = None
    runs_alone: bool = False
    prefills: dict[str, float] = field(default_factory=dict)
    lost: deque[tuple[float, str]] = field(default_factory=deque)

    @property
    def name(self) -> str:
        """Return the backend server's name."""
        return self.server.name

    @property
    def generation(self) -> str:
        """Return its hardware generation."""
        return self.server.announcement.generation

    def room(self, rank: int) -> float:
        """Return the load left for requests of this rank that start now."""
        free = self.free(rank)
        if free <= 0:
            return 0
        most = TOP_PREFILLS if rank == 0 else LOWER_PREFILLS
        return min(free, most - self.prefilling())

    def free(self, rank: int) -> float:
        """Return the load left for this rank, whatever prefill goes on."""
        if self.server.announcement.leaving or self.held_for is not None:
            return 0
        if self.runs_alone:
            return 0
        allowed = self.limit.allowed()
        if rank == 0:
            allowed += self.limit.overshoot()
        allowed = int(self.share * self.health.cap(allowed))
        free = allowed - self.load
        if free <= 0 or not self.running:
            return free
        unreserved = allowed - self.reserve.kept_from(rank)
        return min(free, unreserved - self.reserve.below(rank))

    def prefilling(self) -> int:
        """Return how many prompts are in prefill, as far as is known."""
        if not self.prefills:
            return 0
        at = now()
        over = [permit_id for permit_id, until in self.prefills.items() if until <= at]
        for permit_id in over:
            del self.prefills[permit_id]
        return len(self.prefills)

    def add(self, run: Run) -> None:
        """Begin a run; prompts in prefill share the engine."""
        permit_id = run.permit.permit_id
        self.running[permit_id] = run
        self.load += run.weight
        self.reserve.note(run.permit.request.rank, run.weight)
        if run.prefill_s > 0.0 and self.limit.paces_prefill:
            beside = self.prefilling()
            run.was_first_prefill = beside == 0
            self.prefills[permit_id] = now() + run.prefill_s * (1 + beside)

    def end_prefill(self, permit_id: str) -> bool:
        """Note a run's first token; return whether it was in prefill."""
        return self.prefills.pop(permit_id, None) is not None

    def remove(self, permit_id: str) -> Run | None:
        """End a run; return None if it was not running."""
        run = self.running.pop(permit_id, None)
        self.prefills.pop(permit_id, None)
        if run is not None:
            self.runs_alone = self.runs_alone and not run.alone
            self.load -= run.weight
            self.reserve.note(run.permit.request.rank, -run.weight)
        return run

    def offers(self, service: str) -> bool:
        """Tell whether it offers the service."""
        return any(
            offer.service == service for offer in self.server.announcement.offers
        )

    def note_lost(self, fingerprint: str) -> None:
        """Remember a run whose connection was lost, in case of a crash."""
        self.lost.append((now(), fingerprint))
        while self.lost and self.lost[0][0] < now() - LOST_KEPT_S:
            self.lost.popleft()

    def suspects(self) -> set[str]:
        """Return the fingerprints to blame if this backend server has died."""
        oldest = now() - LOST_KEPT_S
        lost = {name for lost_at, name in self.lost if lost_at >= oldest}
        return lost | {run.permit.request.fingerprint for run in self.running.values()}
