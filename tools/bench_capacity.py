"""Measure the costs that docs/CAPACITY.md reports, and print its tables.

`python tools/bench_capacity.py [--only=TABLE]`: about four minutes for all tables.
The failure domain runs on an in-memory network and a virtual clock; idle costs are
measured on real processes on loopback.
"""

import argparse
import asyncio
import gc
import logging
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import aiohttp
import msgspec

from fuchsiacroft.config import current_document
from fuchsiacroft.config.delta import Delta, compute_delta
from fuchsiacroft.config.document import Document, Workspace
from fuchsiacroft.config.feed import DocumentUpdate
from fuchsiacroft.control.configuration import ChangeDocument, ConfigurationState
from fuchsiacroft.control.ledger import (
    ClaimKey,
    LedgerState,
    SettleKey,
    StoredResponse,
)
from fuchsiacroft.model.virtual_time import run as run_paused
from fuchsiacroft.tests.fakes import cluster
from fuchsiacroft.tests.fakes.full_domain import FullDomain
from fuchsiacroft.utils import logs

ENTRY_SIZES = (9, 16, 32, 59)
SERVERS_PER_ENTRY = (0, 5, 10, 20)
WORKSPACES = (500, 1_000, 2_000, 5_700)
KEYS = (10_000, 20_000, 40_000, 80_000)
MODELS = 22
TARGET_SERVERS_PER_ENTRY = 10.6
SETTLE_S = 30.0
MEASURED_S = 60.0
IDLE_S = 15.0
KB = 1024
MB = 1024 * 1024


def fit(sizes, values) -> tuple[float, float, float]:
    """Return intercept, slope and largest deviation of a linear fit."""
    slope, base = statistics.linear_regression(sizes, values)
    spread = max(
        abs(base + slope * size - value)
        for size, value in zip(sizes, values, strict=True)
    )
    return base, slope, spread


def row(*cells: object) -> None:
    """Print a table row."""
    print("| " + " | ".join(str(cell) for cell in cells) + " |", flush=True)


def header(title: str, *columns: str) -> None:
    """Print a table heading and its header row."""
    print(f"\n### {title}\n")
    row(*columns)
    row(*("---" for _ in columns))


def fit_row(label: str, sizes, columns: list[list[float]], digits: int = 4) -> None:
    """Print the linear fit of each column."""
    cells = []
    for values in columns:
        base, slope, spread = fit(sizes, values)
        cells.append(f"{base:.{digits}f} + {slope:.{digits}f}·n (±{spread:.{digits}f})")
    row(label, *cells)


def measure_domain(size: int, servers: float) -> tuple[float, float, float]:
    """Return messages, bytes and CPU seconds per second and entry."""

    async def scenario() -> tuple[float, float, float]:
        domain = FullDomain(size)
        await domain.start()
        for i in range(round(size * servers)):
            domain.add_server(f"s{i}", f"model-{i % MODELS}")
        await asyncio.sleep(SETTLE_S)
        before = dict(domain.network.counts)
        started_at = time.process_time()
        await asyncio.sleep(MEASURED_S)
        cpu_s = time.process_time() - started_at
        after = domain.network.counts
        await domain.stop()
        entry_seconds = MEASURED_S * size
        return (
            (after["messages"] - before["messages"]) / entry_seconds,
            (after["bytes"] - before["bytes"]) / entry_seconds,
            cpu_s / entry_seconds,
        )

    return run_paused(scenario())


def domain_tables() -> None:
    """Print the idle cost of an entry by entries and by backend servers."""
    for title, points in (
        (
            "An entry at rest, by entries of its domain (n), "
            f"{TARGET_SERVERS_PER_ENTRY} backend servers an entry",
            [(size, TARGET_SERVERS_PER_ENTRY, size) for size in ENTRY_SIZES],
        ),
        (
            "An entry at rest in a domain of 16, by backend servers an entry (n)",
            [(16, servers, servers) for servers in SERVERS_PER_ENTRY],
        ),
    ):
        header(title, "n", "messages/s", "bytes/s", "% of a core")
        rows = []
        for size, servers, n in points:
            messages, data, core = measure_domain(size, servers)
            rows.append((n, messages, data, 100 * core))
            row(n, f"{messages:.2f}", f"{data:.0f}", f"{100 * core:.3f}")
        columns = [list(column) for column in zip(*rows, strict=True)]
        fit_row("fit", columns[0], columns[1:])


def allocated(make: Callable[[], object]) -> tuple[object, float]:
    """Return the result of `make` and the bytes that it keeps allocated."""
    gc.collect()
    tracemalloc.start()
    result = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return result, size


def document_of(workspaces: int) -> Document:
    """Return a document with additional workspaces."""
    base = msgspec.convert(cluster.sample_document(), Document)
    extra_workspaces = [
        Workspace(f"workspace-{i:05d}", [f"{i:064x}"], "desk")
        for i in range(workspaces)
    ]
    return msgspec.structs.replace(base, workspaces=extra_workspaces)


def document_table() -> None:
    """Print the cost of the document by workspaces."""
    header(
        "The document, by workspaces (n)",
        "n",
        "KB held",
        "KB of snapshot",
        "ms to put a change in force",
        "ms to accept a whole document",
        "bytes of a change in the log",
    )
    rows = []
    for count in WORKSPACES:
        document = document_of(count)
        changed = document_of(count)
        changed.workspaces[0] = Workspace("workspace-00000", ["f" * 64], "batch")
        delta = compute_delta(document, changed)

        def build(document=document):
            state = current_document.create()
            state.apply_update(
                DocumentUpdate(
                    1, document=msgspec.convert(msgspec.to_builtins(document), Document)
                )
            )
            return state

        state, size = allocated(build)
        started_at = time.process_time()
        for version in range(2, 12):
            state.apply_update(
                DocumentUpdate(version, first_version=version, deltas=(delta,))
            )
        in_force_ms = 100 * (time.process_time() - started_at)
        started_at = time.process_time()
        data = msgspec.json.encode(changed)
        parsed = msgspec.convert(msgspec.json.decode(data), Document)
        compute_delta(document, parsed)
        accept_ms = 1000 * (time.process_time() - started_at)
        command = msgspec.msgpack.encode(ChangeDocument(1, "id" * 16, "op", delta))
        snapshot = len(msgspec.msgpack.encode(document))
        rows.append(
            (count, size / KB, snapshot / KB, in_force_ms, accept_ms, len(command))
        )
        row(count, *(f"{value:.1f}" for value in rows[-1][1:]))
    columns = [list(column) for column in zip(*rows, strict=True)]
    fit_row("fit", columns[0], columns[1:])


def history_table() -> None:
    """Print the cost of the change history by changes."""
    header("Remembered changes (n)", "n", "KB held", "µs to apply")
    rows = []
    for count in KEYS:
        delta = Delta(put_workspaces=(Workspace("w", ["f" * 64], "desk"),))

        def changes(count=count, delta=delta):
            state = ConfigurationState()
            for i in range(count):
                command = ChangeDocument(i, f"change-{i:030d}", "op", delta)
                state.apply(i, command)
            return state

        started_at = time.process_time()
        changes()
        cpu_s = time.process_time() - started_at
        _, size = allocated(changes)
        rows.append((count, size / KB, 1e6 * cpu_s / count))
        row(count, *(f"{value:.1f}" for value in rows[-1][1:]))
    columns = [list(column) for column in zip(*rows, strict=True)]
    fit_row("fit", columns[0], columns[1:])


def ledger_table() -> None:
    """Print the cost of the ledger by stored keys."""
    header("The ledger, by keys (n)", "n", "KB held", "KB of snapshot", "µs a request")
    rows = []
    for count in KEYS:

        def keys(count=count):
            state = LedgerState()
            for i in range(count):
                key = i.to_bytes(16, "big")
                state.apply(i, ClaimKey(key, key, f"entry-x-{i:012d}", 60.0, True))
                answer = StoredResponse(200, "application/json", b"x" * 200)
                state.apply(i, SettleKey(key, f"entry-x-{i:012d}", answer))
            return state

        started_at = time.process_time()
        state = keys()
        cpu_s = time.process_time() - started_at
        snapshot = len(state.snapshot())
        _, size = allocated(keys)
        rows.append((count, size / KB, snapshot / KB, 1e6 * cpu_s / count))
        row(count, *(f"{value:.1f}" for value in rows[-1][1:]))
    columns = [list(column) for column in zip(*rows, strict=True)]
    fit_row("fit", columns[0], columns[1:])


def read_proc(pid: int) -> tuple[float, float]:
    """Return the CPU seconds and resident MB of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ticks / 100, pages * 4096 / MB


async def measure_idle(topology: cluster.Topology) -> dict[str, tuple[float, ...]]:
    """Return % of a core, MB, and KB and messages sent per second, by role."""
    with tempfile.TemporaryDirectory() as folder:
        running = cluster.create(Path(folder), topology)
        running.start()
        try:
            async with aiohttp.ClientSession() as session:
                await running.wait_healthy(session)
                await running.put_document(
                    session, cluster.sample_document(), 0, "first"
                )
                await running.wait_in_force(session, 1)
                await asyncio.sleep(SETTLE_S / 2)
                before = await idle_counters(running, session)
                await asyncio.sleep(IDLE_S)
                after = await idle_counters(running, session)
        finally:
            running.stop()
    idle = {}
    for role in ("entry", "control"):
        role_names = [name for name in before if name.startswith(role)]
        idle[role] = tuple(
            sum(values) / len(role_names)
            for values in zip(
                *(
                    (
                        100 * (after[name][0] - before[name][0]) / IDLE_S,
                        after[name][1],
                        (after[name][2] - before[name][2]) / IDLE_S / KB,
                        (after[name][3] - before[name][3]) / IDLE_S,
                    )
                    for name in role_names
                ),
                strict=True,
            )
        )
    return idle


async def idle_counters(running, session) -> dict[str, tuple[float, ...]]:
    """Return CPU seconds, MB, bytes sent and messages sent of each process."""
    counters = {}
    for name in [node.name for node in running.nodes.values()]:
        if not name.startswith(("entry", "control")):
            continue
        dump = await running.dump(session, name)
        seconds, size = read_proc(running.running[name].pid)
        counts = dump["bus"]["counts"]
        counters[name] = (seconds, size, counts["sent_bytes"], counts["sent"])
    return counters


def idle_table() -> None:
    """Print the idle cost of real processes by entries of one failure domain."""
    header(
        "Idle real processes, by entries of one domain (n), 3 control members, "
        "2 backend servers",
        "n",
        "entry: % of a core",
        "entry: MB",
        "entry: KB/s sent",
        "entry: messages/s sent",
        "control: % of a core",
        "control: MB",
        "control: KB/s sent",
        "control: messages/s sent",
    )
    rows = []
    for entries in (2, 4, 6, 8):
        topology = cluster.Topology(
            domains=("mvd-cordon",),
            entries=(entries,),
            engines=1,
            applications=1,
        )
        idle = asyncio.run(measure_idle(topology))
        rows.append((entries, *idle["entry"], *idle["control"]))
        row(entries, *(f"{value:.2f}" for value in rows[-1][1:]))
    columns = [list(column) for column in zip(*rows, strict=True)]
    fit_row("fit", columns[0], columns[1:], digits=3)


def main() -> None:
    """Measure and print every table."""
    parser = argparse.ArgumentParser(description=__doc__)
    tables = {
        "document": document_table,
        "history": history_table,
        "ledger": ledger_table,
        "idle": idle_table,
        "domain": domain_tables,
    }
    parser.add_argument("--only", choices=list(tables))
    args = parser.parse_args()
    logs.configure("ERROR")
    logging.disable(logging.WARNING)
    for name, table in tables.items():
        if args.only in (None, name):
            table()


if __name__ == "__main__":
    main()
