"""Which service answers which request, for whom, and within which limits.

A `RouteTable` is immutable and compiled for look-ups; times are in seconds.
"""

import enum
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash


class RequestKind(enum.Enum):
    """What may be repeated of a request.

    `IDEMPOTENT` may run more than once. `ONCE` runs at most once. A `STREAM` is
    answered by events and runs at most once; a `RESUMABLE` one may be continued
    by another backend server after the last event.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def is_stream(self) -> bool:
        """Tell whether the answer is a series of events."""
        return self in (RequestKind.STREAM, RequestKind.RESUMABLE)

    @property
    def is_retryable(self) -> bool:
        """Tell whether a request that may have run may be sent again."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.RESUMABLE)


@dataclass(frozen=True, slots=True)
class Target:
    """A service of a route, with its share of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests to one host below one path prefix.

    `rank` 0 is the most urgent. `latency_target_s` runs to the answer, or to
    the first event of a stream, and `gap_target_s` between two events.
    `attempts` is the most backend servers that one request may be sent to.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    latency_target_s: float
    gap_target_s: float
    rank: int
    targets: tuple[Target, ...]
    attempts: int
    is_public: bool

    def choose_service(self, rng: random.Random) -> str:
        """Return a service by the weights of the targets."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        return rng.choices(self.targets, weights)[0].service


@dataclass(frozen=True, slots=True)
class BackendService:
    """A service; `event_tokens` are in one event of a model engine's stream."""

    name: str
    health_path: str
    max_connections: int
    event_tokens: int = 1


@dataclass(frozen=True, slots=True)
class Quota:
    """A token bucket: units a second, and the units that it holds.

    A request counts its tokens if `counts_tokens`, and `plain_units` if it
    states none; otherwise each request counts one unit.
    """

    units_per_s: float
    burst: float
    counts_tokens: bool = False
    plain_units: float = 1.0


@dataclass(frozen=True, slots=True)
class Workspace:
    """A group of callers with keys of its own; its rank goes before a route's."""

    name: str
    rank: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of all routes, services, workspaces and limits."""

    version: int
    services: dict[str, BackendService]
    workspaces: dict[str, Workspace]
    limits: CallerLimits = CallerLimits()
    _routes: dict[str, dict[str, Route]] = field(default_factory=dict)
    _keys: dict[str, str] = field(default_factory=dict)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path."""
        by_prefix = self._routes.get(host)
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            found = by_prefix.get(path[: end + 1])
            if found is not None:
                return found
        return None

    def workspace_of(self, key: str) -> Workspace | None:
        """Return the workspace that holds a caller's key."""
        name = self._keys.get(hash_key(key))
        return None if name is None else self.workspaces.get(name)

    @property
    def routes(self) -> tuple[Route, ...]:
        """Return every route."""
        return tuple(r for found in self._routes.values() for r in found.values())


def hash_key(key: str) -> str:
    """Return the form in which keys are kept."""
    return xxhash.xxh3_128_hexdigest(key.encode())


def create_route_table(
    version: int,
    routes: Iterable[Route],
    services: Iterable[BackendService],
    workspaces: Iterable[tuple[Workspace, tuple[str, ...]]],
    limits: CallerLimits,
) -> RouteTable:
    """Return a compiled table; workspaces come with their keys."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, {})[route.path_prefix] = route
    listed = list(workspaces)
    return RouteTable(
        version=version,
        services={service.name: service for service in services},
        workspaces={workspace.name: workspace for workspace, _ in listed},
        limits=limits,
        _routes=by_host,
        _keys={hash_key(key): space.name for space, keys in listed for key in keys},
    )
