"""Parses the operator's configurations into route tables.

An invalid configuration is rejected as a whole, with all its issues reported.
"""

from collections.abc import Iterator
from typing import Any

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.config import route_table
from fuchsiacroft.config.bounds import (
    MAX_COUNT,
    Amount,
    Bytes,
    Count,
    DurationMs,
    HeaderText,
    Rank,
    Version,
)
from fuchsiacroft.config.route_table import (
    BackendService,
    CallerLimits,
    Quota,
    RequestKind,
    Route,
    RouteTable,
    Target,
    Workspace,
)
from fuchsiacroft.config.validation import ValidationIssue, decode_wire

MS_PER_S = 1000.0
DEFAULT_LIMITS = CallerLimits()
TOKENS_UNIT = "tokens"


class WireSplit(msgspec.Struct, rename="camel"):
    """One target of a route's traffic split."""

    service: str
    weight: Amount


class WireRoute(msgspec.Struct, rename="camel"):
    """A route; for streams, `target_latency_ms` is the time to the first event."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: DurationMs
    service: str | None = None
    traffic_split: list[WireSplit] | None = None
    target_latency_ms: DurationMs = 0.0
    target_gap_ms: DurationMs = 0.0
    priority: Rank = 0
    max_attempts: Count = 1
    public: bool = False
    stream_resume: bool = False


class WireEngine(msgspec.Struct, rename="camel"):
    """Properties of model engines; `stride` is the number of tokens in an event.

    The requests on one engine together may need `kv_capacity_tokens` tokens of its
    memory, prompts and outputs. It is of any type here, as configurations that were
    acknowledged before it was read may hold anything.
    """

    slots: Count = 0
    stride: Count = 1
    kv_capacity_tokens: Any = None


class WireService(msgspec.Struct, rename="camel"):
    """A service of the configuration."""

    name: str
    health_path: str = "/"
    max_connections: Count = 0
    engine: WireEngine | None = None


class WireLimits(msgspec.Struct, rename="camel"):
    """Limits on client requests and connections."""

    max_header_bytes: Bytes = DEFAULT_LIMITS.max_header_bytes
    max_body_bytes: Bytes = DEFAULT_LIMITS.max_body_bytes
    header_timeout_ms: DurationMs = DEFAULT_LIMITS.header_timeout_s * MS_PER_S
    idle_timeout_ms: DurationMs = DEFAULT_LIMITS.idle_timeout_s * MS_PER_S


class WireTenant(msgspec.Struct, rename="camel"):
    """A tenant; a rate of 0 means no quota."""

    name: HeaderText
    api_keys: list[str] = []
    priority: Rank | None = None
    unit: str = ""
    plain_tokens: Amount = 1.0
    rate_per_s: Amount = 0.0
    burst: Amount = 0.0


class WireConfig(msgspec.Struct, rename="camel"):
    """A complete configuration."""

    version: Version
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] = []


def parse(body: bytes) -> Result[RouteTable, list[ValidationIssue]]:
    """Return the route table of a configuration, or all its issues."""
    return _decode(body).bind(_checked).map(_table)


def read(body: bytes) -> Result[RouteTable, list[ValidationIssue]]:
    """Return the route table of a configuration that was acknowledged.

    It isn't checked again: a control member of another software version may have
    acknowledged it by other checks.
    """
    return _decode(body).map(_table)


def _decode(body: bytes) -> Result[WireConfig, list[ValidationIssue]]:
    return decode_wire(body, WireConfig).map_error(lambda issue: [issue])


def _checked(wire: WireConfig) -> Result[WireConfig, list[ValidationIssue]]:
    issues = list(_validate(wire))
    return Error(issues) if issues else Ok(wire)


def _validate(wire: WireConfig) -> Iterator[ValidationIssue]:
    if wire.version < 1:
        yield ValidationIssue("$.version", "must be 1 or more")
    services = {service.name for service in wire.services}
    seen: set[tuple[str, str]] = set()
    for i, route in enumerate(wire.routes):
        path = f"$.routes[{i}]"
        yield from _validate_route(route, path, services)
        host_and_prefix = (route.host.lower(), route.path_prefix)
        if host_and_prefix in seen:
            yield ValidationIssue(
                path, "another route has the same host and path prefix"
            )
        seen.add(host_and_prefix)
    yield from _validate_api_keys(wire.tenants)


def _validate_route(
    route: WireRoute, path: str, services: set[str]
) -> Iterator[ValidationIssue]:
    if route.timeout_ms <= 0:
        yield ValidationIssue(f"{path}.timeoutMs", "must be more than 0")
    if route.kind not in ("safe", "unsafe", "stream"):
        yield ValidationIssue(f"{path}.kind", f'unknown kind "{route.kind}"')
    targets = _targets(route)
    named = [target.service for target in targets]
    if route.service is not None and route.service not in named:
        named.append(route.service)
    for service in named:
        if service not in services:
            yield ValidationIssue(path, f'unknown service "{service}"')
    if sum(target.weight for target in targets) <= 0:
        yield ValidationIssue(path, "the weights must add up to more than 0")


def _validate_api_keys(tenants: list[WireTenant]) -> Iterator[ValidationIssue]:
    owners: dict[str, str] = {}
    for i, tenant in enumerate(tenants):
        for key in tenant.api_keys:
            if owners.setdefault(key, tenant.name) != tenant.name:
                yield ValidationIssue(
                    f"$.tenants[{i}].apiKeys",
                    "an API key also belongs to another tenant",
                )


def _targets(route: WireRoute) -> tuple[Target, ...]:
    if route.traffic_split is not None:
        return tuple(Target(s.service, s.weight) for s in route.traffic_split)
    if route.service is None:
        return ()
    return (Target(route.service, 1.0),)


def _table(wire: WireConfig) -> RouteTable:
    limits = wire.limits
    return route_table.create_route_table(
        version=wire.version,
        routes=[_route(route) for route in wire.routes],
        services=[_service(service) for service in wire.services],
        workspaces=[(_workspace(t), tuple(t.api_keys)) for t in wire.tenants],
        limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / MS_PER_S,
            limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def _route(route: WireRoute) -> Route:
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=_kind(route),
        timeout_s=route.timeout_ms / MS_PER_S,
        latency_target_s=(route.target_latency_ms or route.timeout_ms) / MS_PER_S,
        gap_target_s=route.target_gap_ms / MS_PER_S,
        rank=route.priority,
        targets=tuple(t for t in _targets(route) if t.weight > 0),
        attempts=max(route.max_attempts, 1),
        is_public=route.public,
    )


def _kind(route: WireRoute) -> RequestKind:
    if route.kind == "safe":
        return RequestKind.IDEMPOTENT
    if route.kind == "unsafe":
        return RequestKind.ONCE
    return RequestKind.RESUMABLE if route.stream_resume else RequestKind.STREAM


def _service(service: WireService) -> BackendService:
    engine = service.engine
    return BackendService(
        name=service.name,
        health_path=service.health_path,
        max_connections=service.max_connections,
        event_tokens=max(engine.stride, 1) if engine is not None else 1,
        server_tokens=_server_tokens(engine) if engine is not None else None,
    )


def _server_tokens(engine: WireEngine) -> int | None:
    """Return the token memory of an engine, None without a sensible figure."""
    tokens = engine.kv_capacity_tokens
    if isinstance(tokens, bool) or not isinstance(tokens, int | float):
        return None
    return int(tokens) if 1 <= tokens <= MAX_COUNT else None


def _workspace(tenant: WireTenant) -> Workspace:
    quota = None
    if tenant.rate_per_s > 0:
        quota = Quota(
            units_per_s=tenant.rate_per_s,
            burst=tenant.burst,
            counts_tokens=tenant.unit == TOKENS_UNIT,
            plain_units=tenant.plain_tokens,
        )
    return Workspace(tenant.name, tenant.priority, quota)
