"""Puts the services of an entry together."""

from pathlib import Path

from fuchsiacroft import operations
from fuchsiacroft.config import follower, held
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.config.sources import Peer
from fuchsiacroft.entry import (
    backend_client,
    callers,
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
    desk,
    lending,
    member_owners,
    owner_digests,
    quarantine,
    scheduler,
    spill,
)
from fuchsiacroft.routing.demand import DeskDemand
from fuchsiacroft.routing.member_owners import MemberOwners
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
    owned_by = MemberOwners(settings, table)
    book = address_book.create(settings, members.address_of)
    front = callers.create(settings, metrics, secured.context)
    ops = operations.create(addresses.operators, metrics, secured.context)
    following = follower.create(settings, lambda: _peers(members))
    ops.add_check(following.why_not_ready)
    ops.add_check(front.why_not_ready)
    tokens = settings.operator_token_hashes
    own_desk = desk.create(settings.node, settings.policies, owned_by)
    reports = engine_reports.create(settings)
    reports.attach(DeskDemand(own_desk))
    kernel = Kernel()
    for service in (
        security.bus(settings, secured),
        held.create(),
        following,
        members,
        table,
        backend_servers.create(settings),
        reports,
        quarantine.create(settings),
        own_desk,
        owner_digests.create(),
        lending.create(book),
        spill.create(settings),
        scheduler.create(settings, owned_by, addresses=book),
        member_owners.create(),
        backend_client.create(),
        ledger_client.create(settings),
        dispatch.create(),
        quarantine_api.create(ops, tokens),
        ops,
        front,
    ):
        kernel.add(service)
    security.add_reload(kernel, path, settings, secured)
    return kernel


def _peers(members: Membership) -> tuple[Peer, ...]:
    return tuple(Peer(entry.node, entry.peers) for entry in members.alive())
