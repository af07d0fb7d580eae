"""Puts the services of a control VM together."""

from pathlib import Path

from fuchsiacroft import operations
from fuchsiacroft.config import held
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
    storage,
)
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.kernel import Kernel
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
    bus = security.bus(settings, secured)
    disk = storage.create(settings.data_folder, settings.node)
    log = consensus.create(settings, bus, disk)
    log.register("configuration", document_state)
    log.register("ledger", ledger_state)
    log.register("orders", orders_state)
    ops = operations.create(settings.addresses.operators, Metrics(), secured.context)
    ops.add_check(log.why_not_ready)
    operator_api = api.create(settings, document_state)
    operator_api.add_routes(ops)
    kernel = Kernel()
    for service in (
        bus,
        held.create(),
        log,
        feed.create(settings, document_state),
        ledger_service.create(ledger_state),
        inventory.create(),
        engine_orders.create(),
        orders.create(settings, orders_state, document_state),
        operator_api,
        ops,
    ):
        kernel.add(service)
    security.add_reload(kernel, path, settings, secured)
    return kernel
