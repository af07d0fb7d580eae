"""Measure the time that the permit queue takes per decision with long queues.

Usage: python tools/bench_permit_queue.py. All backend servers are full and up to
thousands of requests wait; then runs end and waiting requests get their permits.
"""

import asyncio
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from expression import Result  # noqa: E402

from fuchsiacroft.config.settings import Policies  # noqa: E402
from fuchsiacroft.kernel import Kernel  # noqa: E402
from fuchsiacroft.membership.announcement import Announcement, Offer  # noqa: E402
from fuchsiacroft.membership.backend_servers import (  # noqa: E402
    BackendDirectory,
    BackendServer,
    BackendServerListeners,
)
from fuchsiacroft.routing import permit_queue  # noqa: E402
from fuchsiacroft.routing.owners import RendezvousOwners  # noqa: E402
from fuchsiacroft.routing.permits import PermitRequest, RunOutcome, RunReport, WorkSize  # noqa: E402
from fuchsiacroft.utils import clock, logs  # noqa: E402

SLOTS = 16
SERVERS = (1, 10, 200)
WAITERS = (100, 5_000)
WORKSPACES = 500
REPORT = RunReport(RunOutcome.COMPLETED, 0.2, 0.03, 1.0, 30)


class Directory(BackendDirectory):
    """A directory without announced backend servers."""

    def __init__(self) -> None:
        self.listeners = BackendServerListeners()


async def measure(servers: int, waiters: int) -> tuple[float, float]:
    """Return microseconds per queued request, and per run that ends."""
    kernel = Kernel()
    kernel.add(Directory())
    queue = permit_queue.create(
        "node", Policies(queue_limit=100_000), RendezvousOwners([])
    )
    await queue.start(kernel)
    for i in range(servers):
        queue.add_server(_server(f"server-{i}"))
    permits = []
    while (permit := queue.try_acquire(_permit_request(0))) is not None:
        permits.append(permit)
        queue.record_first_token(permit)
    tasks = [
        asyncio.create_task(queue.acquire(_permit_request(i))) for i in range(waiters)
    ]
    started_at = time.perf_counter()
    await asyncio.sleep(0)
    queued_us = (time.perf_counter() - started_at) / waiters * 1e6
    ended = permits[: min(len(permits), waiters)]
    started_at = time.perf_counter()
    for permit in ended:
        queue.record_first_token(permit)
        queue.release(permit, REPORT)
    ended_us = (time.perf_counter() - started_at) / len(ended) * 1e6
    await asyncio.sleep(0.01)
    for task in tasks:
        task.cancel()
    outcomes = await asyncio.gather(*tasks, return_exceptions=True)
    granted = sum(isinstance(o, Result) and o.is_ok() for o in outcomes)
    await queue.stop()
    if not granted:
        raise SystemExit("no waiting request got a permit")
    return queued_us, ended_us


def main() -> None:
    """Print a row for each size."""
    logs.configure("ERROR")
    print("servers waiters | queued request us | run that ends us")
    for servers in SERVERS:
        for waiters in WAITERS:
            queued_us, ended_us = asyncio.run(measure(servers, waiters))
            print(f"{servers:7} {waiters:7} | {queued_us:17.1f} | {ended_us:16.1f}")


def _server(name: str) -> BackendServer:
    announcement = Announcement(
        name=name,
        boot_id=name,
        failure_domain="domain",
        address="127.0.0.1:1",
        offers=(Offer("service"),),
        slots=SLOTS,
    )
    return BackendServer(announcement, clock.now())


def _permit_request(i: int) -> PermitRequest:
    return PermitRequest(
        request_id=str(i),
        service="service",
        rank=i % 3,
        timeout_s=300.0,
        workspace=f"workspace-{i % WORKSPACES}",
        size=WorkSize(1_000, 100),
    )


if __name__ == "__main__":
    main()
