"""A process that runs the coordinator of a failure domain, and nothing else.

    python -m fuchsiacroft.tests.fakes.coordinator_process ADDRESS

Its backend servers come with `ServersChanged`. It logs to standard error.
"""

import sys

from fuchsiacroft.config.settings import Addresses, Settings
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership import roster
from fuchsiacroft.placing import coordinator, neighbours, placer
from fuchsiacroft.placing.limits import SharedLimits
from fuchsiacroft.quarantine import service as quarantine
from fuchsiacroft.tests.fakes.memory_region import FixedTable
from fuchsiacroft.transport import zmq_bus
from fuchsiacroft.utils import logs, process

DOMAIN = "mvd-cordon"


def create(address: str) -> Kernel:
    """Return the kernel of a coordinator that listens at an address."""
    cfg = Settings("coordinator", DOMAIN, "mvd", Addresses("127.0.0.1:1", address))
    entries = roster.create(cfg)
    kernel = Kernel()
    for service in (
        zmq_bus.create(cfg.node, address),
        entries,
        FixedTable(None),
        quarantine.create(entries.peers),
        neighbours.create(cfg),
        coordinator.create(cfg, SharedLimits()),
        placer.create(cfg),
    ):
        kernel.add(service)
    return kernel


def main(address: str) -> None:
    """Run a coordinator until it gets a signal."""
    logs.configure("INFO")
    process.run(process.serve(create(address), "coordinator"))


if __name__ == "__main__":
    main(sys.argv[1])
