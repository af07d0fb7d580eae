"""Assembles the services of an entry on the platform."""

from collections.abc import Sequence
from pathlib import Path

from fuchsiacroft import operations
from fuchsiacroft.config import published_follower
from fuchsiacroft.entry import quarantine_api
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.gateway import forwarder, frontend, upstream
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership import roster
from fuchsiacroft.placing import coordinator, neighbours, placer
from fuchsiacroft.platform import (
    documents,
    protocol_adapter,
    readiness,
    settings,
    settings_watch,
    start_probe,
)
from fuchsiacroft.platform.settings import WireSettings
from fuchsiacroft.quarantine import service as quarantine
from fuchsiacroft.rollouts import follower as rollout_follower
from fuchsiacroft.streams import service as stream_origins
from fuchsiacroft.transport import security
from fuchsiacroft.utils.metrics import Metrics


def create(
    wire: WireSettings, path: Path, operator_token_hashes: Sequence[str] = ()
) -> Kernel:
    """Return the kernel of an entry, ready to start.

    Operators with one of the tokens may lift a quarantine at the metrics address.
    """
    if wire.bind.data_plane is None or wire.bind.readiness is None:
        raise SettingsError("an entry needs bind.dataPlane and bind.readiness")
    cfg = settings.entry_settings(wire)
    adapter = protocol_adapter.create()
    region_roster = roster.create(cfg)
    tables = published_follower.create(documents.read)
    metrics = Metrics()
    callers = frontend.create(cfg, adapter, metrics)
    ready = readiness.create(
        wire.bind.readiness,
        callers.not_ready_reason,
        tables.not_ready_reason,
        region_roster.not_ready_reason,
        limits=cfg.inbound.for_listeners(),
    )
    ops = operations.create(
        cfg.addresses.operators, metrics, limits=cfg.inbound.for_listeners()
    )
    kernel = Kernel()
    for service in (
        security.create_bus(cfg, security.create(cfg)),
        region_roster,
        tables,
        quarantine.create(region_roster.peers),
        stream_origins.create(cfg),
        neighbours.create(cfg),
        coordinator.create(cfg, wire.shared_limits, wire.heartbeat_s),
        start_probe.create(),
        placer.create(cfg),
        rollout_follower.create(cfg.node),
        upstream.create(),
        forwarder.create(cfg, adapter, metrics, wire.max_response_bytes),
        quarantine_api.create(ops, list(operator_token_hashes)),
        ops,
        callers,
        ready,
        settings_watch.create(wire, path, region_roster.set_seeds),
    ):
        kernel.add(service)
    return kernel
