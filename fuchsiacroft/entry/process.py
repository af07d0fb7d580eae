"""Puts the services of an entry together."""

from pathlib import Path

from fuchsiacroft import operations
from fuchsiacroft.config import current_document, follower
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.config.sources import Peer
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
from fuchsiacroft.routing import addresses as address_book
from fuchsiacroft.routing import (
    leases,
    membership_owners,
    owner_digests,
    permit_queue,
    quarantine,
    scheduler,
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
    secured = security.create(settings)
    members = membership.create(settings)
    table = ownership.create(settings)
    owned_by = MembershipOwners(settings, table)
    book = address_book.create(settings, members.address_of)
    front = caller_api.create(settings, metrics, secured.context)
    ops = operations.create(addresses.operators, metrics, secured.context)
    following = follower.create(settings, lambda: _peers(members))
    ops.add_readiness_check(following.not_ready_reason)
    ops.add_readiness_check(front.not_ready_reason)
    tokens = settings.operator_token_hashes
    own_desk = permit_queue.create(settings.node, settings.policies, owned_by)
    reports = engine_reports.create(settings)
    reports.set_demand_source(LocalDemand(own_desk))
    kernel = Kernel()
    for service in (
        security.create_bus(settings, secured),
        current_document.create(),
        following,
        members,
        table,
        backend_servers.create(settings),
        reports,
        quarantine.create(settings),
        own_desk,
        owner_digests.create(),
        leases.create(book),
        spillover.create(settings),
        scheduler.create(settings, owned_by, addresses=book),
        membership_owners.create(),
        backend_client.create(),
        ledger_client.create(settings),
        dispatch.create(),
        quarantine_api.create(ops, tokens),
        ops,
        front,
    ):
        kernel.add(service)
    security.add_key_reloader(kernel, path, settings, secured)
    return kernel


def _peers(members: Membership) -> tuple[Peer, ...]:
    return tuple(Peer(entry.node, entry.peers) for entry in members.alive())
