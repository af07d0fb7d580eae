"""Puts the services of a control VM together."""

from fuchsiacroft import operations
from fuchsiacroft.config import held
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.control import (
    api,
    configuration,
    consensus,
    feed,
    ledger,
    ledger_service,
    storage,
)
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.transport import zmq_bus
from fuchsiacroft.utils.metrics import Metrics


def create(settings: Settings) -> Kernel:
    """Return the kernel of a control member, ready to start."""
    if settings.addresses.peers is None:
        raise SettingsError("a control member needs addresses.peers")
    if settings.data_folder is None:
        raise SettingsError("a control member needs data_folder")
    document_state = configuration.ConfigurationState()
    ledger_state = ledger.LedgerState()
    bus = zmq_bus.create(settings.node, settings.addresses.peers)
    disk = storage.create(settings.data_folder, settings.node)
    log = consensus.create(settings, bus, disk)
    log.register("configuration", document_state)
    log.register("ledger", ledger_state)
    ops = operations.create(settings.addresses.operators, Metrics())
    operator_api = api.create(settings, document_state)
    operator_api.add_routes(ops)
    kernel = Kernel()
    for service in (
        bus,
        held.create(),
        log,
        feed.create(settings, document_state),
        ledger_service.create(ledger_state),
        operator_api,
        ops,
    ):
        kernel.add(service)
    return kernel
