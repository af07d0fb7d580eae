"""Assembles the services of a control VM."""

from pathlib import Path

from fuchsiacroft import operations
from fuchsiacroft.config import current_document
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.control import (
    api,
    configuration,
    consensus,
    engine_orders,
    feed,
    inventory,
    ledger,
    ledger_service,
    order_state,
    orders,
    rollout_api,
    storage,
)
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.rollouts.state import RolloutState
from fuchsiacroft.transport import security
from fuchsiacroft.utils.metrics import Metrics


def create(settings: Settings, path: Path | None = None) -> Kernel:
    """Return the kernel of a control member, ready to start.

    Keys are reloaded when the settings file at `path` changes.
    """
    if settings.addresses.peers is None:
        raise SettingsError("a control member needs addresses.peers")
    if settings.data_folder is None:
        raise SettingsError("a control member needs data_folder")
    secured = security.create(settings)
    document_state = configuration.ConfigurationState()
    ledger_state = ledger.LedgerState()
    orders_state = order_state.OrderState()
    bus = security.create_bus(settings, secured)
    disk = storage.create(settings.data_folder, settings.node)
    log = consensus.create(settings, bus, disk)
    log.register_state_machine("configuration", document_state)
    log.register_state_machine("ledger", ledger_state)
    log.register_state_machine("orders", orders_state)
    rollout_state = RolloutState()
    log.register_state_machine("rollouts", rollout_state)
    metrics = Metrics()
    ops = operations.create(
        settings.addresses.operators,
        metrics,
        secured.tls_context,
        settings.inbound.for_listeners(),
    )
    ops.add_readiness_check(log.not_ready_reason)
    operator_api = api.create(settings, document_state)
    operator_api.add_routes(ops)
    rollouts_api = rollout_api.create()
    rollouts_api.add_routes(ops)
    kernel = Kernel()
    for service in (
        bus,
        current_document.create(),
        log,
        feed.create(settings, document_state),
        ledger_service.create(ledger_state),
        inventory.create(),
        engine_orders.create(),
        orders.create(settings, orders_state, document_state),
        rollout_api.create_controller(rollout_state, document_state, metrics),
        operator_api,
        rollouts_api,
        ops,
    ):
        kernel.add(service)
    security.add_key_reloader(kernel, path, settings, secured)
    return kernel
