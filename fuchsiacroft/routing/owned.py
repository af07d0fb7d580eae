"""A backend server whose permits this entry hands out, and its runs."""

from collections import deque
from dataclasses import dataclass, field

from fuchsiacroft.membership.backend_servers import BackendServer
from fuchsiacroft.routing.ask import Permit
from fuchsiacroft.routing.health import Health
from fuchsiacroft.routing.limit import Limit
from fuchsiacroft.utils.clock import now

LOST_KEPT_S = 15.0


@dataclass(slots=True, eq=False)
class Run:
    """A permit in use; seconds are on the loop's clock."""

    permit: Permit
    started_at: float
    expected_s: float
    cached_tokens: int
    alone: bool = False
    cutting: bool = False

    def spent_s(self) -> float:
        """Return the engine time spent on it, prefill counted in full."""
        return max(now() - self.started_at, 0.0)


@dataclass(slots=True, eq=False)
class OwnedServer:
    """What the owner knows of one backend server in its present life.

    `held_for` is the number of the ask that waits to run there alone.
    """

    server: BackendServer
    limit: Limit
    health: Health
    running: dict[str, Run] = field(default_factory=dict)
    held_for: int | None = None
    lost: deque[tuple[float, str]] = field(default_factory=deque)

    @property
    def name(self) -> str:
        """Return the backend server's name."""
        return self.server.name

    @property
    def generation(self) -> str:
        """Return its hardware generation."""
        return self.server.announcement.generation

    def room(self, rank: int) -> int:
        """Return how many more requests of this rank may run there now."""
        if self.server.announcement.leaving or self.held_for is not None:
            return 0
        if any(run.alone for run in self.running.values()):
            return 0
        allowed = self.health.cap(self.limit.allowed(rank))
        return allowed - len(self.running)

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
        return lost | {run.permit.ask.fingerprint for run in self.running.values()}
