"""Assembles the services of a control member on the platform."""

from pathlib import Path

from fuchsiacroft import operations
from fuchsiacroft.control import consensus, publisher, storage
from fuchsiacroft.control.published import PublishedState
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership import control_members, registry
from fuchsiacroft.placing import spending_store
from fuchsiacroft.platform import (
    control_api,
    published_services,
    settings,
    settings_watch,
)
from fuchsiacroft.platform.settings import WireSettings
from fuchsiacroft.rollouts import controller
from fuchsiacroft.rollouts.state import RolloutState
from fuchsiacroft.transport import security
from fuchsiacroft.utils.metrics import Metrics


def create(wire: WireSettings, path: Path) -> Kernel:
    """Return the kernel of a control member, ready to start."""
    if wire.bind.control_plane is None:
        raise SettingsError("a control member needs bind.controlPlane")
    if wire.data_dir is None:
        raise SettingsError("a control member needs dataDir")
    cfg = settings.control_settings(wire)
    bus = security.create_bus(cfg, security.create(cfg))
    state = PublishedState()
    log = consensus.create(cfg, bus, storage.create(wire.data_dir, cfg.node))
    log.register_state_machine("published", state)
    rollout_state = RolloutState()
    log.register_state_machine("rollouts", rollout_state)
    services = published_services.create(state)
    metrics = Metrics()
    ops = operations.create(
        cfg.addresses.operators, metrics, limits=cfg.inbound.for_listeners()
    )
    ops.add_readiness_check(log.not_ready_reason)
    kernel = Kernel()
    for service in (
        bus,
        log,
        control_members.create(cfg),
        publisher.create(state),
        registry.create(cfg, wire.heartbeat_s),
        spending_store.create(),
        controller.create(
            rollout_state,
            wire.rollout_limits,
            metrics,
            services.is_known,
            services.longest_run_s,
        ),
        ops,
        control_api.create(cfg, wire.bind.control_plane, metrics),
        settings_watch.create(wire, path, log.add_contacts),
    ):
        kernel.add(service)
    return kernel
