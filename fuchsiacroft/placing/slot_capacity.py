"""How many slots of a service there are, are usable on average, and are free now.

Like the allocator, it takes the time as an argument, does no I/O and starts no tasks.
"""

from collections import Counter
from collections.abc import Iterable, Sequence

from fuchsiacroft.membership.request_pacing import RequestPacing
from fuchsiacroft.membership.server_limits import UNLIMITED
from fuchsiacroft.membership.server_starts import ServerStarts
from fuchsiacroft.placing.fleet_runs import FleetRuns
from fuchsiacroft.placing.server_load import ServerLoad
from fuchsiacroft.placing.server_pool import ServerPool
from fuchsiacroft.placing.token_memory import TokenMemory
from fuchsiacroft.rollouts.entry_rollouts import EntryRollouts


class SlotCapacity:
    """Counts the slots of services and servers.

    `share` is the part of each server's slots that this entry may use.
    """

    def __init__(
        self,
        pool: ServerPool,
        runs: FleetRuns,
        *,
        rollouts: EntryRollouts,
        pacing: RequestPacing,
        starts: ServerStarts,
        token_memory: TokenMemory,
    ) -> None:
        self._pool = pool
        self._runs = runs
        self._rollouts = rollouts
        self._pacing = pacing
        self._starts = starts
        self._token_memory = token_memory
        self.share = 1.0

    def usable_slots(self, service: str) -> float:
        """Return how many slots of a service can be in use on average.

        A server's limit on requests a second keeps some of its slots empty.
        """
        slots = self.allowed_slots(service)
        if self._pacing.limits.is_empty:
            return slots
        run_s = self._runs.mean_run_s(service)
        for load in self._pool.lasting(service):
            if not self._pacing.is_limited(load.instance):
                continue
            allowed = self._mean_allowed(load, service)
            slots -= max(allowed - self._pacing.per_s(load.instance) * run_s, 0.0)
        return slots

    def allowed_slots(self, service: str, version: str | None = None) -> float:
        """Return how many slots learned limits and token memory leave on average.

        With a version, they are those on which its streams may be continued.
        """
        if version is None:
            servers = self._pool.lasting(service)
        else:
            servers = self._pool.usable(service, version)
        return float(self._sum_allowed(servers, service))

    def limited_count(self, service: str) -> int:
        """Return how many servers of a service have a limit on requests a second."""
        return len(self._limited(service))

    def free_limited(self, service: str, at: float) -> int:
        """Return how many requests the limited servers of a service may get now."""
        if self._pacing.limits.is_empty:
            return 0
        return self._sum_free(service, at, only_limited=True)

    def free(self, service: str, at: float, version: str | None = None) -> int:
        """Return the free slots of a service, of one version if it is given."""
        if version is None:
            return self._sum_free(service, at)
        self._rollouts.permission(service, at)
        return sum(
            self.free_for(load, service, at)
            for load in self._pool.usable(service, version)
            if self.is_start_certain(load, at)
        )

    def has_free(self, service: str, at: float) -> bool:
        """Return whether a slot of a service is free, without counting them."""
        if self._rollouts.permission(service, at) is not None:
            return self.free(service, at) > 0
        return any(
            self.free_for(load, service, at) for load in self._pool.offering(service)
        )

    def free_by_version(self, service: str, at: float) -> dict[str, int]:
        """Return the free slots of each software version of a service."""
        free: Counter[str] = Counter()
        permission = self._rollouts.permission(service, at)
        for load in self._pool.offering(service):
            version = load.version_of(service)
            if permission is not None and not permission.allows(
                load.name, version, continues=True
            ):
                continue
            if self.is_start_certain(load, at):
                free[version] += self.free_for(load, service, at)
        return dict(free)

    def kept_free(self, service: str, rank: int, at: float) -> int:
        """Return how many slots of a service requests of a rank leave free.

        Only those of servers without a limit on requests a second are kept free: such a
        server's next place comes with time and not with the end of a run.
        """
        reserve = self._runs.reserve(service)
        if not reserve.kept_free(rank, self._pool.slots(service), at):
            return 0
        servers = self._pool.lasting(service)
        if not self._pacing.limits.is_empty:
            servers = [
                load for load in servers if not self._pacing.is_limited(load.instance)
            ]
        return reserve.kept_free(rank, int(self._sum_allowed(servers, service)), at)

    def free_on(self, load: ServerLoad, at: float) -> int:
        """Return the free slots of a server."""
        if len(load.runs) >= load.slots:
            return 0
        free = max(load.free(at, self.share), 0)
        if free and self._pacing.is_limited(load.instance):
            return int(min(free, max(self._pacing.allowed(load.instance, at), 0)))
        return free

    def free_for(self, load: ServerLoad, service: str, at: float) -> int:
        """Return the free slots of a server that requests of a service can fill."""
        return self._token_memory.bounded_free(load, service, self.free_on(load, at))

    def is_start_certain(self, load: ServerLoad, at: float) -> bool:
        """Return whether a request reaches the known start of a server."""
        return self._starts.is_certain(load.instance, at)

    def limit_per_s(self, load: ServerLoad) -> float | None:
        """Return the limit on requests a second that a server names, if any."""
        per_s = self._pacing.limits.per_s(load.instance)
        return None if per_s == UNLIMITED else per_s

    def _sum_free(self, service: str, at: float, *, only_limited: bool = False) -> int:
        """Return the free slots that new requests may use now.

        Those of a new version count as far as more requests may begin on it.
        """
        permission = self._rollouts.permission(service, at)
        if permission is None:
            old, new = self._pool.offering(service), ()
        else:
            old, new = self._pool.usable_by_version(service, permission)
        if only_limited:
            old, new = (
                [load for load in loads if self._pacing.is_limited(load.instance)]
                for loads in (old, new)
            )
        free = sum(self.free_for(load, service, at) for load in old)
        if new:
            free_new = sum(self.free_for(load, service, at) for load in new)
            free += int(min(free_new, permission.new_limit))
        return free

    def _mean_allowed(self, load: ServerLoad, service: str) -> float:
        """Return how many runs a server may have by its learned limit and memory."""
        return self._sum_allowed((load,), service)

    def _sum_allowed(self, servers: Iterable[ServerLoad], service: str) -> float:
        """Return how many runs servers may have by their learned limits and memory.

        Each decision asks for it, so the servers are looked at in one loop.
        """
        fitting = self._token_memory.mean_fitting(service)
        total = 0.0
        for load in servers:
            allowed = load.slots
            if load.learning.is_active:
                allowed = load.learning.mean_allowed(allowed)
            if allowed > fitting and self._token_memory.is_counted(load, service):
                allowed = fitting
            total += allowed
        return total

    def _limited(self, service: str) -> Sequence[ServerLoad]:
        if self._pacing.limits.is_empty:
            return ()
        return [
            load
            for load in self._pool.usable(service)
            if self._pacing.is_limited(load.instance)
        ]
