"""Compare requests through one entry process with direct requests in the same run.

Starts separate processes: one control member, one entry, emitters in place of
model engines (`bench_entry_emitter.py`) and load generators
(`bench_entry_load.py`). Prints one JSON line per trial: the direct results, the
results through the entry, and the entry's CPU time and memory.

    python tools/bench_entry.py [--seconds=5] [--streams=600] [--rates=...]
"""

import asyncio
import collections
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import uvloop
from absl import app, flags

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from fuchsiacroft.config.document import hash_key  # noqa: E402
from fuchsiacroft.tests.fakes import cluster  # noqa: E402
from fuchsiacroft.tests.fakes.ports import free_addresses  # noqa: E402

FLAGS = flags.FLAGS
flags.DEFINE_integer("seconds", 5, "seconds a trial")
flags.DEFINE_integer("streams", 600, "open streams")
flags.DEFINE_float("opens", 60.0, "streams opened a second while measuring")
flags.DEFINE_list("rates", ["22400", "45000"], "chunks a second to offer")
flags.DEFINE_integer("processes", 3, "emitters, and load generators")
flags.DEFINE_integer("callers", 32, "callers of short requests")
flags.DEFINE_integer("body_mb", 200, "megabytes to echo; 0 measures no body")
flags.DEFINE_bool("short", True, "measure short requests too")

EMITTER = "bench_entry_emitter.py"
LOAD = "bench_entry_load.py"
MEGABYTE = 1024 * 1024
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KEY = "bench-key"


def percentile_ms(values_ns: list[int], share: float) -> float:
    """Return a percentile of durations in nanoseconds, in milliseconds."""
    if not values_ns:
        return float("nan")
    ranked = sorted(values_ns)
    return round(ranked[min(len(ranked) - 1, int(len(ranked) * share))] / 1e6, 3)


class Bench:
    """Starts the processes and runs the trials."""

    def __init__(self, folder: Path) -> None:
        topology = cluster.Topology(
            domains=("bench",), entries=(1,), control=1, engines=0, applications=1
        )
        self._cluster = cluster.create(folder, topology)
        _use_fixed_limits(folder)
        self._children: list[subprocess.Popen] = []
        self._emitters = free_addresses(FLAGS.processes)

    async def run(self) -> None:
        """Run every trial and print its result."""
        try:
            self._cluster.start()
            await self._prepare()
            for rate in map(float, FLAGS.rates):
                self._print(f"stream-{rate:.0f}", await self._measure_streams(rate))
            if FLAGS.short:
                self._print("short", await self._measure_short())
            if FLAGS.body_mb:
                self._print("body", await self._measure_body())
        finally:
            for child in self._children:
                child.kill()
            self._cluster.stop()

    async def _prepare(self) -> None:
        node = self._cluster.nodes["entry-bench-0"]
        for address in self._emitters:
            entry = node.addresses["backend_servers"]
            self._spawn(EMITTER, f"--address={address}", f"--entry={entry}")
        async with aiohttp.ClientSession() as session:
            await self._cluster.wait_healthy(session)
            await self._cluster.put_document(session, bench_document(), 0, "bench")
            await self._cluster.wait_in_force(session, 1)
        await asyncio.sleep(2.5)

    def _spawn(self, script: str, *extra_flags: str) -> subprocess.Popen:
        command = [sys.executable, str(ROOT / "tools" / script), *extra_flags]
        child = subprocess.Popen(command, stdout=subprocess.PIPE, cwd=ROOT)
        self._children.append(child)
        return child

    async def _run_load(self, targets: list[str], *extra_flags: str) -> list[dict]:
        start_at = time.monotonic() + 1.0
        children = [
            self._spawn(
                LOAD,
                f"--target={target}",
                f"--key={KEY}",
                f"--start_at={start_at}",
                f"--seconds={FLAGS.seconds}",
                *extra_flags,
            )
            for target in targets
        ]
        loop = asyncio.get_running_loop()
        outs = await asyncio.gather(
            *(loop.run_in_executor(None, child.communicate) for child in children)
        )
        return [json.loads(out) for out, _ in outs]

    async def _measure_direct_and_entry(
        self, *extra_flags: str
    ) -> tuple[list[dict], list[dict], dict]:
        callers = self._cluster.nodes["entry-bench-0"].addresses["callers"]
        direct = await self._run_load(self._emitters, *extra_flags)
        before = self._entry_usage()
        started = time.monotonic()
        via = await self._run_load([callers] * FLAGS.processes, *extra_flags)
        spent = self._entry_usage()
        cpu_s = spent["cpu_s"] - before["cpu_s"]
        busy = round(cpu_s / (time.monotonic() - started - 1.0), 2)
        usage = {"cores": busy, "cpu_s": cpu_s, "rss_mb": spent["rss_mb"]}
        return direct, via, usage

    def _entry_usage(self) -> dict:
        pid = self._cluster.running["entry-bench-0"].pid
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        status = Path(f"/proc/{pid}/status").read_text()
        peak_kb = int(status.split("VmHWM:")[1].split()[0])
        return {"cpu_s": ticks / TICKS_PER_S, "rss_mb": round(peak_kb / 1024, 1)}

    async def _measure_streams(self, rate: float) -> dict:
        direct, via, usage = await self._measure_direct_and_entry(
            "--kind=stream",
            f"--streams={FLAGS.streams // FLAGS.processes}",
            f"--rate={rate / FLAGS.processes}",
            f"--opens={FLAGS.opens / FLAGS.processes}",
        )
        result = {"direct": _stream_figures(direct), "entry": _stream_figures(via)}
        for name in ("first_p95_ms", "gap_p95_ms", "age_p95_ms"):
            added = result["entry"][name] - result["direct"][name]
            result[f"added_{name}"] = round(added, 3)
        ratio = result["entry"]["chunks_per_s"] / result["direct"]["chunks_per_s"]
        chunks = sum(report["chunks"] for report in via)
        cost = {"cpu_us_per_chunk": round(1e6 * usage.pop("cpu_s") / chunks, 1)}
        return result | {"ratio": round(ratio, 3)} | cost | usage

    async def _measure_short(self) -> dict:
        direct, via, usage = await self._measure_direct_and_entry(
            "--kind=short", f"--callers={FLAGS.callers // FLAGS.processes}"
        )
        result = {"direct": _short_figures(direct), "entry": _short_figures(via)}
        added = result["entry"]["p95_ms"] - result["direct"]["p95_ms"]
        calls = result["entry"]["requests_per_s"] * FLAGS.seconds
        cost = {"cpu_us_per_request": round(1e6 * usage.pop("cpu_s") / calls)}
        return result | {"added_p95_ms": round(added, 3)} | cost | usage

    async def _measure_body(self) -> dict:
        """Echo one large body through the entry; return received length and speed."""
        address = self._cluster.nodes["entry-bench-0"].addresses["callers"]
        before = self._entry_usage()
        started = time.monotonic()
        size = FLAGS.body_mb * MEGABYTE
        headers = {"Authorization": f"Bearer {KEY}", "Content-Length": str(size)}
        received = 0
        async with (
            aiohttp.ClientSession() as session,
            session.put(
                f"http://{address}/services/counter/echo",
                data=_zeros(),
                headers=headers,
            ) as res,
        ):
            async for chunk in res.content.iter_any():
                received += len(chunk)
        after = self._entry_usage()
        return {
            "status": res.status,
            "received_mb": received // MEGABYTE,
            "mb_per_s": round(FLAGS.body_mb / (time.monotonic() - started)),
            "rss_before_mb": before["rss_mb"],
            "rss_mb": after["rss_mb"],
        }

    def _print(self, trial: str, result: dict) -> None:
        print(json.dumps({"trial": trial} | result), flush=True)


def _use_fixed_limits(folder: Path) -> None:
    """Set the limits to the emitters' slots, since routing is not measured here."""
    for path in folder.glob("entry-*.json"):
        settings = json.loads(path.read_text())
        policies = {"limit": "fixed", "straggler": "ignore", "route": "round_robin"}
        settings["policies"] = policies
        path.write_text(json.dumps(settings))


async def _zeros():
    for _ in range(FLAGS.body_mb):
        yield bytes(MEGABYTE)


def _stream_figures(results: list[dict]) -> dict:
    firsts = [value for report in results for value in report["firsts_ns"]]
    gaps = [value for report in results for value in report["gaps_ns"]]
    ages = [value for report in results for value in report["ages_ns"]]
    return {
        "chunks_per_s": round(sum(report["chunks_per_s"] for report in results)),
        "done": sum(report["done"] for report in results),
        "missing": sum(report["wanted"] - report["chunks"] for report in results),
        "first_p50_ms": percentile_ms(firsts, 0.5),
        "first_p95_ms": percentile_ms(firsts, 0.95),
        "gap_p95_ms": percentile_ms(gaps, 0.95),
        "age_p50_ms": percentile_ms(ages, 0.5),
        "age_p95_ms": percentile_ms(ages, 0.95),
    }


def _short_figures(results: list[dict]) -> dict:
    times = [value for report in results for value in report["times_ns"]]
    statuses = collections.Counter()
    for report in results:
        statuses.update(report["statuses"])
    return {
        "requests_per_s": round(sum(report["requests_per_s"] for report in results)),
        "p50_ms": percentile_ms(times, 0.5),
        "p95_ms": percentile_ms(times, 0.95),
        "statuses": dict(statuses),
    }


def bench_document() -> dict:
    """Return the benchmark's document."""
    return {
        "tiers": [{"name": "counter", "rank": 0, "timeout_s": 120}],
        "services": [
            {"name": "bench-model", "kind": "model"},
            {"name": "bench-plain", "kind": "plain"},
            {"name": "counter", "kind": "plain", "max_body_bytes": 2**30},
        ],
        "workspaces": [
            {
                "name": "bench",
                "key_hashes": [hash_key(KEY)],
                "tier": "counter",
                "retries_per_s": 100_000,
            }
        ],
    }


async def bench() -> None:
    """Run the benchmark in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        await Bench(Path(folder)).run()


def main(argv: list[str]) -> None:
    """Run the benchmark."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bench())


if __name__ == "__main__":
    app.run(main)
