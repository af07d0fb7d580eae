"""Routes, services, workspaces and limits.

A `RouteTable` is immutable and indexed for lookups; times are in seconds.
"""

import enum
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash


class RequestKind(enum.Enum):
    """The retry semantics of a request.

    `IDEMPOTENT` may be executed more than once, `ONCE` at most once. The
    response to a `STREAM` is a series of events, and it is executed at most
    once; a `RESUMABLE` stream may be continued by another backend server after
    the last event.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def is_stream(self) -> bool:
        """Return whether the response is a series of events."""
        return self in (RequestKind.STREAM, RequestKind.RESUMABLE)

    @property
    def is_retryable(self) -> bool:
        """Return whether a request that may have been executed may be sent again."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.RESUMABLE)


@dataclass(frozen=True, slots=True)
class Target:
    """A service of a route and its weight in the traffic split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The route of requests to one host and path prefix.

    `rank` 0 has the highest priority. `latency_target_s` is the target time to
    the response, or to the first event of a stream, and `gap_target_s` the
    target time between two events. `attempts` is the maximum number of backend
    servers that one request may be sent to.
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

    @property
    def services(self) -> frozenset[str]:
        """Return the services that its requests may go to."""
        return frozenset(t.service for t in self.targets if t.weight > 0)

    def choose_service(self, rng: random.Random) -> str:
        """Choose a service at random by the weights of the targets."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        return rng.choices(self.targets, weights)[0].service


@dataclass(frozen=True, slots=True)
class BackendService:
    """A service; `event_tokens` is the number of tokens per stream event.

    `server_tokens` is the memory of each of its servers for the tokens of its runs,
    prompts and outputs, None if it isn't known.
    """

    name: str
    health_path: str
    max_connections: int
    event_tokens: int = 1
    server_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class Quota:
    """A token bucket with a refill rate and a capacity, `burst`.

    With `counts_tokens` a request costs its number of tokens, or `plain_units`
    if it does not state one; otherwise each request costs one unit.
    """

    units_per_s: float
    burst: float
    counts_tokens: bool = False
    plain_units: float = 1.0


@dataclass(frozen=True, slots=True)
class Workspace:
    """A group of callers with its own keys; its rank counts before a route's rank."""

    name: str
    rank: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits and timeouts of a caller's requests."""

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
        """Return the route with the longest matching path prefix on the host."""
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
        """Return the workspace that a caller's key belongs to."""
        name = self._keys.get(hash_key(key))
        return None if name is None else self.workspaces.get(name)

    def server_tokens(self) -> dict[str, int]:
        """Return the token memory of the servers of each service that has a figure."""
        return {
            name: service.server_tokens
            for name, service in self.services.items()
            if service.server_tokens is not None
        }

    @property
    def routes(self) -> tuple[Route, ...]:
        """Return every route."""
        return tuple(r for routes in self._routes.values() for r in routes.values())


def hash_key(key: str) -> str:
    """Return the hash under which a key is indexed."""
    return xxhash.xxh3_128_hexdigest(key.encode("utf-8", "surrogateescape"))


def create_route_table(
    version: int,
    routes: Iterable[Route],
    services: Iterable[BackendService],
    workspaces: Iterable[tuple[Workspace, tuple[str, ...]]],
    limits: CallerLimits,
) -> RouteTable:
    """Return an indexed table; each workspace is given with its keys."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, {})[route.path_prefix] = route
    workspace_keys = list(workspaces)
    return RouteTable(
        version=version,
        services={service.name: service for service in services},
        workspaces={workspace.name: workspace for workspace, _ in workspace_keys},
        limits=limits,
        _routes=by_host,
        _keys={
            hash_key(key): workspace.name
            for workspace, keys in workspace_keys
            for key in keys
        },
    )
