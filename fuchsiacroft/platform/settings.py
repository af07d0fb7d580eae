"""Converts the platform's settings file into the product's settings.

Unknown fields are ignored, as the platform may add new ones.
"""

import os
from pathlib import Path
from typing import Annotated

import msgspec
from expression import Error, Result

from fuchsiacroft.config import defaults
from fuchsiacroft.config.bounds import (
    MAX_COUNT,
    Amount,
    Count,
    DurationS,
    PeriodMs,
    PeriodS,
    Port,
)
from fuchsiacroft.config.settings import (
    Addresses,
    Inbound,
    Member,
    Policies,
    Settings,
)
from fuchsiacroft.config.validation import ValidationIssue, decode_wire
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.quotas import QuotaTolerance
from fuchsiacroft.placing.retry_budget import RetryLimits
from fuchsiacroft.rollouts.limits import RolloutLimits
from fuchsiacroft.rollouts.messages import Share
from fuchsiacroft.utils.inbound_limits import connections_of

PATH_VARIABLE = "FUCHSIACROFT_CONFIG"
METRICS_PORT = 9464
"""Each role's metrics port as declared in `deploy/system.toml`."""
CONTROL_PORT_OFFSET = 0
ENTRY_PORT_OFFSET = 1
"""Offsets in the port range of the ports on which processes contact each other."""
DRAIN_MARGIN_S = 0.45
"""Part of the grace period that a stop needs after the last request has ended."""
BYTES_PER_MB = 1024 * 1024
DEFAULT_MEMORY_MB = 512.0
"""Memory from which the bound on responses is derived if it is not known."""
RESPONSES_SHARE = 0.125
"""Part of the memory that is for responses before they are passed on."""
DEFAULT_ROLLOUTS = RolloutLimits()
MS_PER_S = 1000.0
CALLERS_SHARE = 0.5
"""Part of the descriptors for callers; each may have a backend server's beside it."""
ENTRY_LISTENER_SHARE = 0.05
CONTROL_LISTENER_SHARE = 0.25
"""Part of the descriptors for each other address; a control member has no callers."""
RETRY_MARGIN = 0.5
"""Part of the retry budget that is used, as two entries may decide concurrently."""


class WireBind(msgspec.Struct, rename="camel"):
    """Listen addresses; only those that the role serves are set."""

    data_plane: str | None = None
    readiness: str | None = None
    control_plane: str | None = None


class WireBounds(msgspec.Struct, rename="camel"):
    """Parameters of the platform's rules; names ending in S are in seconds.

    Names ending in Ms are in milliseconds, `canary_slack` is in requests.
    """

    grace_s: DurationS = 8.0
    retry_budget_ratio: Amount = 0.2
    retry_window_s: PeriodS = 10.0
    budget_slack: Amount = 20.0
    quota_window_s: PeriodS = 8.0
    quota_overshoot: Amount = 0.0
    quota_slack: Amount = 0.0
    canary_share: Share = DEFAULT_ROLLOUTS.canary_share
    canary_slack: Amount = DEFAULT_ROLLOUTS.canary_slack
    rollback_ms: PeriodMs = DEFAULT_ROLLOUTS.rollback_s * MS_PER_S


class WireLimits(msgspec.Struct, rename="camel"):
    """What the machine gives a process; `memory_mb` is in MiB, None if not known.

    Without `max_fds` the process's own limit on descriptors counts.
    """

    memory_mb: Annotated[float, msgspec.Meta(gt=0, le=MAX_COUNT)] | None = None
    max_fds: Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)] | None = None


class WireTolerance(msgspec.Struct, rename="camel"):
    """Concurrent failures under which all guarantees hold."""

    machines: Count = 1


class WireSettings(msgspec.Struct, rename="camel"):
    """The settings file of a process.

    `tunnels` is the product's setting of that name; the platform's own files lack it.
    """

    node_name: str
    ip: str
    zone: str
    region: str
    bind: WireBind
    port_range: tuple[Port, Port]
    seeds: list[str]
    bootstrap: bool = False
    data_dir: str | None = None
    heartbeat_ms: PeriodMs = 1_000.0
    fault_tolerance: WireTolerance = msgspec.field(default_factory=WireTolerance)
    bounds: WireBounds = msgspec.field(default_factory=WireBounds)
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tunnels: dict[str, str] = {}

    @property
    def control_peers(self) -> str:
        """Return the address on which a control member listens for other processes."""
        return f"{self.ip}:{self.port_range[0] + CONTROL_PORT_OFFSET}"

    @property
    def control_seeds(self) -> tuple[str, ...]:
        """Return the peer addresses of the control members named as seeds."""
        port = self.port_range[0] + CONTROL_PORT_OFFSET
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return tuple(f"{host}:{port}" for host in hosts)

    @property
    def entry_peers(self) -> str:
        """Return the address on which an entry listens for other processes."""
        return f"{self.ip}:{self.port_range[0] + ENTRY_PORT_OFFSET}"

    @property
    def heartbeat_s(self) -> float:
        """Return the heartbeat period of replicas."""
        return self.heartbeat_ms / 1000

    @property
    def max_response_bytes(self) -> int:
        """Return what all responses of an entry may hold in memory together."""
        memory_mb = self.limits.memory_mb or DEFAULT_MEMORY_MB
        return int(RESPONSES_SHARE * memory_mb * BYTES_PER_MB)

    @property
    def shared_limits(self) -> SharedLimits:
        """Return the limits that apply to all entries together."""
        bounds = self.bounds
        retries = RetryLimits(
            bounds.retry_budget_ratio * RETRY_MARGIN,
            bounds.retry_window_s,
            bounds.budget_slack * RETRY_MARGIN,
        )
        quotas = QuotaTolerance(
            bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack
        )
        return SharedLimits(retries, quotas)

    @property
    def rollout_limits(self) -> RolloutLimits:
        """Return the limits on versions that are not known to be good."""
        bounds = self.bounds
        return RolloutLimits(
            bounds.canary_share, bounds.canary_slack, bounds.rollback_ms / MS_PER_S
        )


def path() -> Path:
    """Return the path of the settings file from the environment."""
    return Path(os.environ.get(PATH_VARIABLE, ""))


def load(path: Path) -> Result[WireSettings, ValidationIssue]:
    """Load a settings file."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        return Error(ValidationIssue(str(path), f"cannot be read: {exc.strerror}"))
    return decode_wire(data, WireSettings).map_error(
        lambda issue: ValidationIssue(str(path), str(issue))
    )


def control_settings(wire: WireSettings) -> Settings:
    """Return the product's settings of a control member."""
    addresses = Addresses(_operators_address(wire), peers=wire.control_peers)
    return _settings(wire, addresses, _inbound(wire, CONTROL_LISTENER_SHARE))


def entry_settings(wire: WireSettings) -> Settings:
    """Return the product's settings of an entry."""
    addresses = Addresses(
        _operators_address(wire), peers=wire.entry_peers, callers=wire.bind.data_plane
    )
    return _settings(wire, addresses, _inbound(wire, ENTRY_LISTENER_SHARE))


def _inbound(wire: WireSettings, listener_share: float) -> Inbound:
    """Return the limits on clients that the machine's descriptors allow."""
    max_fds = wire.limits.max_fds
    if max_fds is None:
        return Inbound()
    return Inbound(
        max_connections=connections_of(max_fds, CALLERS_SHARE),
        max_listener_connections=connections_of(max_fds, listener_share),
    )


def _settings(wire: WireSettings, addresses: Addresses, inbound: Inbound) -> Settings:
    return Settings(
        node=wire.node_name,
        failure_domain=wire.zone,
        region=wire.region,
        addresses=addresses,
        control=[
            Member(f"seed-{number}", wire.zone, address)
            for number, address in enumerate(wire.control_seeds)
        ],
        data_folder=wire.data_dir,
        may_form_group=wire.bootstrap,
        wanted_voters=2 * wire.fault_tolerance.machines + 1,
        tunnels=wire.tunnels,
        inbound=inbound,
        policies=Policies(share="none"),
        memory_mb=_memory_mb(wire.limits.memory_mb),
        drain_timeout_s=max(wire.bounds.grace_s - DRAIN_MARGIN_S, 1.0),
    )


def _memory_mb(memory_mb: float | None) -> float | None:
    """Return the product's setting; a VM of less memory counts as the smallest one."""
    return None if memory_mb is None else max(memory_mb, defaults.MIN_MEMORY_MB)


def _operators_address(wire: WireSettings) -> str:
    return f"{wire.ip}:{METRICS_PORT}"
