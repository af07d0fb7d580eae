"""Assembles the services of an entry process."""

from pathlib import Path

from fuchsiacroft import operations
from fuchsiacroft.config import current_document, follower
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.config.sources import FetchPeer
from fuchsiacroft.entry import (
    backend_client,
    caller_api,
    dispatch,
    ledger_client,
    quarantine_api,
)
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership import backend_servers, engine_reports, ownership
from fuchsiacroft.membership import service as membership
from fuchsiacroft.membership.service import Membership
from fuchsiacroft.quarantine import service as quarantine
from fuchsiacroft.routing import addresses as address_book
from fuchsiacroft.routing import (
    leases,
    membership_owners,
    owner_digests,
    permit_queue,
    scheduler,
    server_probe,
    spillover,
)
from fuchsiacroft.routing.demand import LocalDemand
from fuchsiacroft.routing.membership_owners import MembershipOwners
from fuchsiacroft.transport import security
from fuchsiacroft.utils.metrics import Metrics


def create(settings: Settings, path: Path | None = None) -> Kernel:
    """Return the kernel of an entry, ready to start.

    Keys are reloaded when the settings file at `path` changes.
    """
    addresses = settings.addresses
    if addresses.peers is None or addresses.callers is None:
        raise SettingsError("an entry needs addresses.peers and addresses.callers")
    metrics = Metrics()
    security_config = security.create(settings)
    members = membership.create(settings)
    ownership_table = ownership.create(settings)
    owners = MembershipOwners(settings, ownership_table)
    peer_addresses = address_book.create(settings, members.address_of)
    api = caller_api.create(settings, metrics, security_config.tls_context)
    ops = operations.create(
        addresses.operators,
        metrics,
        security_config.tls_context,
        settings.inbound.for_listeners(),
    )
    document_follower = follower.create(settings, lambda: _peers(members))
    ops.add_readiness_check(document_follower.not_ready_reason)
    ops.add_readiness_check(api.not_ready_reason)
    tokens = settings.operator_token_hashes
    queue = permit_queue.create(
        settings.node, settings.policies, owners, probe=server_probe.create()
    )
    reports = engine_reports.create(settings)
    reports.set_demand_source(LocalDemand(queue))
    kernel = Kernel()
    for service in (
        security.create_bus(settings, security_config),
        current_document.create(),
        document_follower,
        members,
        ownership_table,
        backend_servers.create(settings),
        reports,
        quarantine.create_for(settings),
        queue,
        owner_digests.create(),
        leases.create(peer_addresses),
        spillover.create(settings),
        scheduler.create(settings, owners, addresses=peer_addresses),
        membership_owners.create(),
        backend_client.create(),
        ledger_client.create(settings),
        dispatch.create(),
        quarantine_api.create(ops, tokens),
        ops,
        api,
    ):
        kernel.add(service)
    security.add_key_reloader(kernel, path, settings, security_config)
    return kernel


def _peers(members: Membership) -> tuple[FetchPeer, ...]:
    return tuple(FetchPeer(entry.node, entry.peers) for entry in members.alive())
