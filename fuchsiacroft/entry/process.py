"""Puts the services of an entry together."""

from fuchsiacroft import operations
from fuchsiacroft.config import follower, held
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.entry import backend_client, callers, dispatch, ledger_client
from fuchsiacroft.exceptions import SettingsError
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership import backend_servers, ownership
from fuchsiacroft.membership import service as membership
from fuchsiacroft.routing import (
    desk,
    lending,
    member_owners,
    quarantine,
    scheduler,
    spill,
)
from fuchsiacroft.routing.member_owners import MemberOwners
from fuchsiacroft.transport import zmq_bus
from fuchsiacroft.utils.metrics import Metrics


def create(settings: Settings) -> Kernel:
    """Return the kernel of an entry, ready to start."""
    addresses = settings.addresses
    if addresses.peers is None or addresses.callers is None:
        raise SettingsError("an entry needs addresses.peers and addresses.callers")
    metrics = Metrics()
    members = membership.create(settings)
    table = ownership.create(settings)
    owned_by = MemberOwners(settings, table)
    front = callers.create(settings, metrics)
    ops = operations.create(addresses.operators, metrics)
    following = follower.create(settings)
    ops.add_check(following.why_not_ready)
    ops.add_check(front.why_not_ready)
    kernel = Kernel()
    for service in (
        zmq_bus.create(settings.node, addresses.peers),
        held.create(),
        following,
        members,
        table,
        backend_servers.create(settings),
        quarantine.create(settings),
        desk.create(settings.node, settings.policies, owned_by),
        lending.create({member.node: member.peers for member in settings.entries}),
        spill.create(settings),
        scheduler.create(settings, owned_by),
        member_owners.create(),
        backend_client.create(),
        ledger_client.create(settings),
        dispatch.create(),
        ops,
        front,
    ):
        kernel.add(service)
    return kernel
