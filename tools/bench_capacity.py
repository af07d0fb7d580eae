"""Measure the slopes behind docs/CAPACITY.md and print its tables.

`python tools/bench_capacity.py [--only=TABLE]`: about four minutes for all. Network and
clock of the domain's entries are stand-ins in memory; idle costs are those of
real processes on loopback.
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
SERVERS_AN_ENTRY = (0, 5, 10, 20)
WORKSPACES = (500, 1_000, 2_000, 5_700)
KEYS = (10_000, 20_000, 40_000, 80_000)
MODELS = 22
SERVERS_OF_TARGET = 10.6
SETTLE_S = 30.0
MEASURED_S = 60.0
IDLE_S = 15.0
KB = 1024
MB = 1024 * 1024


def fit(sizes, values) -> tuple[float, float, float]:
    """Return base, slope and the largest deviation of a straight line."""
    slope, base = statistics.linear_regression(sizes, values)
    spread = max(
        abs(base + slope * size - value)
        for size, value in zip(sizes, values, strict=True)
    )
    return base, slope, spread


def row(*cells: object) -> None:
    """Print a row of a table."""
    print("| " + " | ".join(str(cell) for cell in cells) + " |", flush=True)


def header(title: str, *columns: str) -> None:
    """Print the head of a table."""
    print(f"\n### {title}\n")
    row(*columns)
    row(*("---" for _ in columns))


def fit_row(label: str, sizes, columns: list[list[float]], digits: int = 4) -> None:
    """Print base, slope and spread of each column."""
    cells = []
    for values in columns:
        base, slope, spread = fit(sizes, values)
        cells.append(f"{base:.{digits}f} + {slope:.{digits}f}·n (±{spread:.{digits}f})")
    row(label, *cells)


def measure_domain(size: int, servers: float) -> tuple[float, float, float]:
    """Return messages, bytes and processor seconds a second and entry."""

    async def scenario() -> tuple[float, float, float]:
        domain = FullDomain(size)
        await domain.start()
        for i in range(round(size * servers)):
            domain.add_server(f"s{i}", f"model-{i % MODELS}")
        await asyncio.sleep(SETTLE_S)
        before = dict(domain.network.counts)
        began = time.process_time()
        await asyncio.sleep(MEASURED_S)
        spent = time.process_time() - began
        after = domain.network.counts
        await domain.stop()
        share = MEASURED_S * size
        return (
            (after["messages"] - before["messages"]) / share,
            (after["bytes"] - before["bytes"]) / share,
            spent / share,
        )

    return run_paused(scenario())


def domain_tables() -> None:
    """Print what an entry at rest costs by entries and by backend servers."""
    for title, points in (
        (
            f"An entry at rest, by entries of its domain (n), {SERVERS_OF_TARGET} "
            "backend servers an entry",
            [(size, SERVERS_OF_TARGET, size) for size in ENTRY_SIZES],
        ),
        (
            "An entry at rest in a domain of 16, by backend servers an entry (n)",
            [(16, servers, servers) for servers in SERVERS_AN_ENTRY],
        ),
    ):
        header(title, "n", "messages/s", "bytes/s", "% of a core")
        seen = []
        for size, servers, n in points:
            messages, data, core = measure_domain(size, servers)
            seen.append((n, messages, data, 100 * core))
            row(n, f"{messages:.2f}", f"{data:.0f}", f"{100 * core:.3f}")
        columns = [list(column) for column in zip(*seen, strict=True)]
        fit_row("fit", columns[0], columns[1:])


def allocated(make: Callable[[], object]) -> tuple[object, float]:
    """Return what `make` builds and the bytes that it keeps."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return made, size


def document_of(workspaces: int) -> Document:
    """Return a document with so many workspaces."""
    base = msgspec.convert(cluster.sample_document(), Document)
    more = [
        Workspace(f"workspace-{i:05d}", [f"{i:064x}"], "desk")
        for i in range(workspaces)
    ]
    return msgspec.structs.replace(base, workspaces=more)


def document_table() -> None:
    """Print what the document costs by workspaces."""
    header(
        "The document, by workspaces (n)",
        "n",
        "KB held",
        "KB of snapshot",
        "ms to put a change in force",
        "ms to accept a whole document",
        "bytes of a change in the log",
    )
    seen = []
    for count in WORKSPACES:
        document = document_of(count)
        changed = document_of(count)
        changed.workspaces[0] = Workspace("workspace-00000", ["f" * 64], "batch")
        delta = compute_delta(document, changed)

        def hold(document=document):
            state = current_document.create()
            state.apply_update(
                DocumentUpdate(
                    1, document=msgspec.convert(msgspec.to_builtins(document), Document)
                )
            )
            return state

        state, size = allocated(hold)
        began = time.process_time()
        for version in range(2, 12):
            state.apply_update(
                DocumentUpdate(version, first_version=version, deltas=(delta,))
            )
        in_force_ms = 100 * (time.process_time() - began)
        began = time.process_time()
        data = msgspec.json.encode(changed)
        parsed = msgspec.convert(msgspec.json.decode(data), Document)
        compute_delta(document, parsed)
        accept_ms = 1000 * (time.process_time() - began)
        command = msgspec.msgpack.encode(ChangeDocument(1, "id" * 16, "op", delta))
        snapshot = len(msgspec.msgpack.encode(document))
        seen.append(
            (count, size / KB, snapshot / KB, in_force_ms, accept_ms, len(command))
        )
        row(count, *(f"{value:.1f}" for value in seen[-1][1:]))
    columns = [list(column) for column in zip(*seen, strict=True)]
    fit_row("fit", columns[0], columns[1:])


def history_table() -> None:
    """Print what the remembered changes cost."""
    header("Remembered changes (n)", "n", "KB held", "µs to apply")
    seen = []
    for count in KEYS:
        delta = Delta(put_workspaces=(Workspace("w", ["f" * 64], "desk"),))

        def changes(count=count, delta=delta):
            state = ConfigurationState()
            for i in range(count):
                command = ChangeDocument(i, f"change-{i:030d}", "op", delta)
                state.apply(i, command)
            return state

        began = time.process_time()
        changes()
        spent = time.process_time() - began
        _, size = allocated(changes)
        seen.append((count, size / KB, 1e6 * spent / count))
        row(count, *(f"{value:.1f}" for value in seen[-1][1:]))
    columns = [list(column) for column in zip(*seen, strict=True)]
    fit_row("fit", columns[0], columns[1:])


def ledger_table() -> None:
    """Print what the ledger costs by remembered keys."""
    header("The ledger, by keys (n)", "n", "KB held", "KB of snapshot", "µs a request")
    seen = []
    for count in KEYS:

        def keys(count=count):
            state = LedgerState()
            for i in range(count):
                key = i.to_bytes(16, "big")
                state.apply(i, ClaimKey(key, key, f"entry-x-{i:012d}", 60.0, True))
                answer = StoredResponse(200, "application/json", b"x" * 200)
                state.apply(i, SettleKey(key, f"entry-x-{i:012d}", answer))
            return state

        began = time.process_time()
        state = keys()
        spent = time.process_time() - began
        snapshot = len(state.snapshot())
        _, size = allocated(keys)
        seen.append((count, size / KB, snapshot / KB, 1e6 * spent / count))
        row(count, *(f"{value:.1f}" for value in seen[-1][1:]))
    columns = [list(column) for column in zip(*seen, strict=True)]
    fit_row("fit", columns[0], columns[1:])


def read_proc(pid: int) -> tuple[float, float]:
    """Return a process's processor seconds and resident MB."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ticks / 100, pages * 4096 / MB


async def measure_idle(shape: cluster.Topology) -> dict[str, tuple[float, ...]]:
    """Return by role: % of a core, MB, and KB and messages sent a second."""
    with tempfile.TemporaryDirectory() as folder:
        running = cluster.create(Path(folder), shape)
        running.start()
        try:
            async with aiohttp.ClientSession() as session:
                await running.wait_healthy(session)
                await running.put_document(
                    session, cluster.sample_document(), 0, "first"
                )
                await running.wait_in_force(session, 1)
                await asyncio.sleep(SETTLE_S / 2)
                before = await idle_marks(running, session)
                await asyncio.sleep(IDLE_S)
                after = await idle_marks(running, session)
        finally:
            running.stop()
    idle = {}
    for role in ("entry", "control"):
        mine = [name for name in before if name.startswith(role)]
        idle[role] = tuple(
            sum(values) / len(mine)
            for values in zip(
                *(
                    (
                        100 * (after[name][0] - before[name][0]) / IDLE_S,
                        after[name][1],
                        (after[name][2] - before[name][2]) / IDLE_S / KB,
                        (after[name][3] - before[name][3]) / IDLE_S,
                    )
                    for name in mine
                ),
                strict=True,
            )
        )
    return idle


async def idle_marks(running, session) -> dict[str, tuple[float, ...]]:
    """Return processor seconds, MB, bytes and messages sent of each process."""
    marks = {}
    for name in [node.name for node in running.nodes.values()]:
        if not name.startswith(("entry", "control")):
            continue
        dump = await running.dump(session, name)
        seconds, size = read_proc(running.running[name].pid)
        counts = dump["bus"]["counts"]
        marks[name] = (seconds, size, counts["sent_bytes"], counts["sent"])
    return marks


def idle_table() -> None:
    """Print the idle costs of real processes by entries of one domain."""
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
    seen = []
    for entries in (2, 4, 6, 8):
        shape = cluster.Topology(
            domains=("mvd-cordon",),
            entries=(entries,),
            engines=1,
            applications=1,
        )
        idle = asyncio.run(measure_idle(shape))
        seen.append((entries, *idle["entry"], *idle["control"]))
        row(entries, *(f"{value:.2f}" for value in seen[-1][1:]))
    columns = [list(column) for column in zip(*seen, strict=True)]
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
