"""Measure membership and ownership by the size of a failure domain.

Prints costs per entry on an in-memory network with a virtual clock (CPU time
includes the protocol and the simulated network), slopes, detection and takeover
times, false positives under message loss, and costs over real sockets on loopback.
"""

import asyncio
import gc
import statistics
import sys
import time
import tracemalloc
from pathlib import Path

import uvloop
from absl import app, flags

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fuchsiacroft.kernel import Kernel  # noqa: E402
from fuchsiacroft.membership import ownership, service  # noqa: E402
from fuchsiacroft.tests.fakes import virtual_time  # noqa: E402
from fuchsiacroft.tests.fakes.membership_domain import MembershipDomain, settings_of  # noqa: E402
from fuchsiacroft.tests.fakes.ports import free_address  # noqa: E402
from fuchsiacroft.transport import zmq_bus  # noqa: E402
from fuchsiacroft.utils import logs  # noqa: E402

FLAGS = flags.FLAGS
flags.DEFINE_list("sizes", ["8", "16", "32", "59"], "entries of the failure domain")
flags.DEFINE_list("socket_sizes", ["2", "4", "8"], "entries over real sockets")
flags.DEFINE_integer("trials", 12, "deaths for each size")
flags.DEFINE_integer("backend_servers", 10, "backend servers for each entry")

SETTLE_S = 30.0
STEADY_S = 60.0
LOSSY_S = 300.0
LOSS = 0.1
POLL_S = 0.05
SOCKET_SETTLE_S = 8.0
SOCKET_S = 8.0


class MeasuredDomain(MembershipDomain):
    """A failure domain of entries with ownership tables."""

    def __init__(self, seed: int, names: int) -> None:
        super().__init__(seed)
        self.tables = {}
        self.names = [f"gpu-{i}" for i in range(names)]

    def services(self, number, member):
        """Return an ownership table that watches every backend server."""
        settings = settings_of(number)
        table = ownership.create(settings)
        for name in self.names:
            table.watch(name)
        self.tables[number] = table
        return (table,)

    def is_owned_once(self, names: list[str]) -> bool:
        """Whether each backend server has exactly one ready owner."""
        ready = [
            sum(self.tables[n].is_ready(name) for n in self.members) for name in names
        ]
        return all(count == 1 for count in ready)

    def sum_counter(self, name: str) -> int:
        """Return the sum of a counter over every entry."""
        dumps = [member.dump()["counts"] for member in self.members.values()]
        return sum(counts.get(name, 0) for counts in dumps)


async def _start_domain(size: int, seed: int):
    names = size * FLAGS.backend_servers
    domain = MeasuredDomain(seed, names)
    await domain.start(*range(size))
    await asyncio.sleep(SETTLE_S)
    return domain


async def _measure_steady(size: int) -> dict:
    gc.collect()
    tracemalloc.start()
    domain = await _start_domain(size, 1)
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    before = dict(domain.network.counts)
    started_at = time.process_time()
    await asyncio.sleep(STEADY_S)
    cpu_s = time.process_time() - started_at
    counts = domain.network.counts
    entry_seconds = size * STEADY_S
    row = {
        "messages_per_s": (counts["messages"] - before["messages"]) / entry_seconds,
        "bytes_per_s": (counts["bytes"] - before["bytes"]) / entry_seconds,
        "cpu_percent": 100 * cpu_s / entry_seconds,
        "memory_kb": memory / size / 1024,
    }
    await domain.stop()
    return row


async def _measure_failures(size: int) -> tuple[list[float], list[float]]:
    """Kill entries one at a time; a small domain is replaced after each failure."""
    known, owned = [], []
    while len(known) < FLAGS.trials:
        domain = await _start_domain(size, len(known))
        for _ in range(max(1, size // 8)):
            if len(known) < FLAGS.trials:
                known_s, owned_s = await _measure_failure(domain, len(known))
                known.append(known_s)
                owned.append(owned_s)
        await domain.stop()
    return known, owned


async def _measure_failure(domain: MeasuredDomain, trial: int) -> tuple[float, float]:
    await asyncio.sleep(trial * 0.37)
    victim = sorted(domain.members)[trial % len(domain.members)]
    lost = [name for name in domain.names if domain.tables[victim].is_ready(name)]
    await domain.kill(victim)
    started_at = asyncio.get_running_loop().time()
    rest = tuple(domain.members)
    while not domain.agree_on(*rest):
        await asyncio.sleep(POLL_S)
    known_s = asyncio.get_running_loop().time() - started_at
    while not domain.is_owned_once(lost):
        await asyncio.sleep(POLL_S)
    return known_s, asyncio.get_running_loop().time() - started_at


async def _measure_loss(size: int) -> tuple[int, int]:
    domain = await _start_domain(size, 2)
    before = domain.sum_counter("declared_dead"), domain.sum_counter("suspected")
    domain.network.loss = LOSS
    await asyncio.sleep(LOSSY_S)
    after = domain.sum_counter("declared_dead"), domain.sum_counter("suspected")
    await domain.stop()
    return after[0] - before[0], after[1] - before[1]


async def _measure_sockets(size: int) -> dict:
    addresses = [free_address() for _ in range(size)]
    kernels = []
    for number in range(size):
        kernel = Kernel()
        settings = _socket_settings(number, addresses)
        kernel.add(zmq_bus.create(settings.node, addresses[number]))
        kernel.add(service.create(settings))
        kernel.add(ownership.create(settings))
        await kernel.start()
        kernels.append(kernel)
    await asyncio.sleep(SOCKET_SETTLE_S)
    before = [kernel.dump()["bus"]["counts"] for kernel in kernels]
    started_at = time.process_time()
    await asyncio.sleep(SOCKET_S)
    cpu_s = time.process_time() - started_at
    after = [kernel.dump()["bus"]["counts"] for kernel in kernels]
    alive = [len(kernel.dump()["membership"]["members"]) for kernel in kernels]
    for kernel in kernels:
        await kernel.stop()
    sent = sum(b["sent"] - a["sent"] for a, b in zip(before, after, strict=True))
    sent_bytes = sum(
        b["sent_bytes"] - a["sent_bytes"] for a, b in zip(before, after, strict=True)
    )
    entry_seconds = size * SOCKET_S
    return {
        "members": min(alive),
        "messages_per_s": sent / entry_seconds,
        "bytes_per_s": sent_bytes / entry_seconds,
        "cpu_percent": 100 * cpu_s / entry_seconds,
    }


def _socket_settings(number: int, addresses: list[str]):
    import msgspec

    base = settings_of(number)
    members = [
        msgspec.structs.replace(member, peers=addresses[i])
        for i, member in enumerate(base.entries)
    ]
    listening = msgspec.structs.replace(base.addresses, peers=addresses[number])
    return msgspec.structs.replace(base, entries=members, addresses=listening)


def _slope(points: list[tuple[float, float]]) -> float:
    return statistics.linear_regression(*zip(*points, strict=True)).slope


def _print_steady(sizes: list[int]) -> None:
    print("steady, per entry (network in memory)")
    rows = {size: virtual_time.run(_measure_steady(size)) for size in sizes}
    for size, row in rows.items():
        cells = "  ".join(f"{name}={value:.3f}" for name, value in row.items())
        print(f"  entries={size:3}  {cells}")
    for name in rows[sizes[0]]:
        slope = _slope([(size, row[name]) for size, row in rows.items()])
        print(f"  slope of {name} by entries: {slope:.4f}")


def _print_failures(sizes: list[int]) -> None:
    print("seconds from a death until every entry knows, and until all is owned")
    for size in sizes:
        for name, times in zip(
            ("known", "owned"), virtual_time.run(_measure_failures(size)), strict=True
        ):
            p50, worst = statistics.median(times), max(times)
            print(f"  entries={size:3}  {name}: p50={p50:.2f}  max={worst:.2f}")


def main(argv: list[str]) -> None:
    """Print every table."""
    logs.configure("ERROR")
    sizes = [int(size) for size in FLAGS.sizes]
    _print_steady(sizes)
    _print_failures([2, 3, *sizes])
    print(f"declared dead though alive, at {LOSS:.0%} loss for {LOSSY_S:.0f} s")
    for size in [2, *sizes]:
        dead, suspected = virtual_time.run(_measure_loss(size))
        print(f"  entries={size:3}  declared_dead={dead}  suspicions={suspected}")
    print("per entry over real sockets")
    for size in map(int, FLAGS.socket_sizes):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            row = runner.run(_measure_sockets(size))
        cells = "  ".join(f"{name}={value:.3f}" for name, value in row.items())
        print(f"  entries={size:3}  {cells}")


if __name__ == "__main__":
    app.run(main)
