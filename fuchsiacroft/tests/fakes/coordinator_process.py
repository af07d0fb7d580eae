"""A process that runs the coordinator of a failure domain, and nothing else.

    python -m fuchsiacroft.tests.fakes.coordinator_process ADDRESS CONTROL

It learns of the other entries and of its backend servers from the control member at
`CONTROL`, and logs to standard error.
"""

import sys

from fuchsiacroft.config.route_table import Quota, RouteTable, Workspace
from fuchsiacroft.config.settings import Addresses, Member, Settings
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership import roster
from fuchsiacroft.placing import coordinator, neighbours, placer
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.placing.quotas import QuotaTolerance
from fuchsiacroft.quarantine import service as quarantine
from fuchsiacroft.tests.fakes.memory_region import DOMAINS, FixedTable
from fuchsiacroft.transport import zmq_bus
from fuchsiacroft.utils import logs, process

WORKSPACES = tuple(f"tills-{number}" for number in range(16))
UNITS_PER_S = 1_000_000.0
LIMITS = SharedLimits(quotas=QuotaTolerance(overshoot=0.1, slack=140_000.0))


def route_table() -> RouteTable:
    """Return a table whose workspaces have quotas."""
    quota = Quota(UNITS_PER_S, UNITS_PER_S, counts_tokens=True)
    return RouteTable(
        1, {}, {name: Workspace(name, quota=quota) for name in WORKSPACES}
    )


def create(address: str, control: str) -> Kernel:
    """Return the kernel of a coordinator that listens at an address."""
    cfg = Settings(
        "coordinator",
        DOMAINS[0],
        "mvd",
        Addresses("127.0.0.1:1", address),
        control=[Member("core-1", DOMAINS[0], control)],
    )
    entries = roster.create(cfg)
    kernel = Kernel()
    for service in (
        zmq_bus.create(cfg.node, address),
        entries,
        FixedTable(route_table()),
        quarantine.create(entries.peers),
        neighbours.create(cfg),
        coordinator.create(cfg, LIMITS),
        placer.create(cfg),
    ):
        kernel.add(service)
    return kernel


def main(address: str, control: str) -> None:
    """Run a coordinator until it gets a signal."""
    logs.configure("INFO")
    process.run(process.serve(create(address, control), "coordinator"))


if __name__ == "__main__":
    main(*sys.argv[1:])
