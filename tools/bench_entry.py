"""Measure one entry process against direct calls in the same run.

Separate processes: one control member, one entry, emitters in place of
engines and load generators. An emitter writes its clock into each chunk, so
that the load generator sees how old a chunk is when it arrives. Prints one
JSON line for each trial: the direct figure, the figure through the entry, and
the entry's processor time and memory.

    python tools/bench_entry.py [--seconds=5] [--streams=600] [--rates=...]
"""

import asyncio
import collections
import functools
import json
import os
import random
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
from fuchsiacroft.standin import announcer  # noqa: E402
from fuchsiacroft.tests.fakes import cluster  # noqa: E402
from fuchsiacroft.tests.fakes.ports import free_addresses  # noqa: E402
from fuchsiacroft.utils.http import split_address  # noqa: E402

FLAGS = flags.FLAGS
flags.DEFINE_enum("part", "bench", ["bench", "emitter", "load"], "what to be")
flags.DEFINE_integer("seconds", 5, "seconds a trial")
flags.DEFINE_integer("streams", 600, "open streams")
flags.DEFINE_float("opens", 60.0, "streams opened a second while measuring")
flags.DEFINE_list("rates", ["22400", "45000"], "chunks a second to offer")
flags.DEFINE_integer("processes", 3, "emitters, and load generators")
flags.DEFINE_integer("callers", 32, "callers of short requests")
flags.DEFINE_integer("body_mb", 200, "megabytes to echo; 0 measures no body")
flags.DEFINE_bool("short", True, "measure short requests too")
flags.DEFINE_string("address", "", "where an emitter listens")
flags.DEFINE_string("target", "", "whom a load generator calls")
flags.DEFINE_string("entry", "", "whom an emitter tells of itself")
flags.DEFINE_string("kind", "stream", "stream or short")
flags.DEFINE_float("rate", 1000.0, "chunks a second of one load generator")
flags.DEFINE_float("start_at", 0.0, "monotonic time at which a load starts")

RAMP_S = 1.5
SETTLE_S = 0.3
END_MARGIN_S = 0.5
PROBE_TOKENS = 4
MEGABYTE = 1024 * 1024
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
SHORT = b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n0123456789abcdef"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KEY = "bench-key"


class Emitter(asyncio.Protocol):
    """Answers one connection: a paced stream of tokens, or a short answer."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._data = b""

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer once a request is whole."""
        self._data += data
        head, end, body = self._data.partition(b"\r\n\r\n")
        if not end:
            return
        if head.startswith(b"GET"):
            self._data = b""
            self._transport.write(SHORT)
            return
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        if len(body) < length:
            return
        self._data = b""
        fields = json.loads(body)
        self._left = fields["max_tokens"]
        self._gap_s = fields["gap_s"]
        self._next = self._loop.time()
        self._transport.write(HEAD)
        self._emit()

    def _emit(self) -> None:
        if self._transport.is_closing():
            return
        if not self._left:
            self._transport.write(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
            return
        self._left -= 1
        text = (
            f'data: {{"choices":[{{"text":" lens","at":{time.monotonic_ns()}}}]}}\n\n'
        )
        chunk = text.encode()
        self._transport.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        self._next += self._gap_s
        self._loop.call_at(self._next, self._emit)


async def emit() -> None:
    """Serve and announce until killed."""
    host, port = split_address(FLAGS.address)
    loop = asyncio.get_running_loop()
    await loop.create_server(Emitter, host, port, backlog=2048)
    if not FLAGS.entry:
        await asyncio.Event().wait()
    first = announcer.announcement(
        name=f"emitter-{port}",
        domain="bench",
        address=FLAGS.address,
        service="bench-model",
        slots=5_000,
        generation="g1",
    )
    offers = (announcer.Offer("bench-model"), announcer.Offer("bench-plain"))
    first = announcer.msgspec.structs.replace(first, offers=offers)
    await announcer.Announcer(first, [FLAGS.entry], lambda seen: seen).run()


class Reader(asyncio.Protocol):
    """Reads one stream and notes when each chunk came."""

    def __init__(self, request: bytes, seen: "Seen", is_probe: bool) -> None:
        self._request = request
        self._seen = seen
        self._is_probe = is_probe
        self._last_ns = 0

    def connection_made(self, transport) -> None:
        """Send the request."""
        self._transport = transport
        self._sent_ns = time.monotonic_ns()
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Note the chunks of one read."""
        now_ns = time.monotonic_ns()
        if self._is_probe:
            self._note_probe(data, now_ns)
            return
        count = 0
        for part in data.split(b'"at":')[1:]:
            count += 1
            emitted_ns = int(part[: part.index(b"}")])
            if self._seen.in_window:
                self._seen.ages_ns.append(now_ns - emitted_ns)
        if count and self._last_ns and self._seen.in_window:
            self._seen.gaps_ns.append(now_ns - self._last_ns)
            self._seen.gaps_ns.extend([0] * (count - 1))
        if count:
            self._last_ns = now_ns
        self._seen.chunks += count
        if b"[DONE]" in data:
            self._seen.done += 1
            self._transport.close()

    def _note_probe(self, data: bytes, now_ns: int) -> None:
        if not self._last_ns and b'"at":' in data:
            self._last_ns = now_ns
            self._seen.firsts_ns.append(now_ns - self._sent_ns)
        if b"[DONE]" in data:
            self._transport.close()


class Seen:
    """What one load generator saw; times in nanoseconds."""

    def __init__(self) -> None:
        self.in_window = False
        self.chunks = 0
        self.done = 0
        self.ages_ns: list[int] = []
        self.firsts_ns: list[int] = []
        self.gaps_ns: list[int] = []


def stream_request(tokens: int, gap_s: float) -> bytes:
    """Return a streaming request as bytes."""
    body = json.dumps(
        {
            "model": "bench-model",
            "prompt": "a scratch on the front element?",
            "max_tokens": tokens,
            "gap_s": gap_s,
            "stream": True,
        }
    ).encode()
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer {KEY}"
        f"\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def load_streams() -> None:
    """Open the streams evenly over the ramp and read them to their ends."""
    host, port = split_address(FLAGS.target)
    loop = asyncio.get_running_loop()
    gap_s = FLAGS.streams / FLAGS.rate
    tokens = int((FLAGS.seconds + RAMP_S) / gap_s)
    seen = Seen()
    await asyncio.sleep(max(0.0, FLAGS.start_at - time.monotonic()))
    started = time.monotonic()
    for i in range(FLAGS.streams):
        due = started + i * RAMP_S / FLAGS.streams
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        request = stream_request(tokens, gap_s)
        reader = functools.partial(Reader, request, seen, False)
        await loop.create_connection(reader, host, port)
    await asyncio.sleep(SETTLE_S)
    full_from = time.monotonic()
    at_full = seen.chunks
    seen.in_window = True
    await probe(seen, full_from + FLAGS.seconds - SETTLE_S - END_MARGIN_S, gap_s)
    seen.in_window = False
    in_window = seen.chunks - at_full
    window_s = time.monotonic() - full_from
    deadline = time.monotonic() + 10
    while seen.done < FLAGS.streams and time.monotonic() < deadline:
        await asyncio.sleep(0.05)
    print(
        json.dumps(
            {
                "chunks_per_s": in_window / window_s,
                "done": seen.done,
                "chunks": seen.chunks,
                "wanted": tokens * FLAGS.streams,
                "firsts_ns": seen.firsts_ns,
                "gaps_ns": seen.gaps_ns[:: max(1, len(seen.gaps_ns) // 20_000)],
                "ages_ns": seen.ages_ns[:: max(1, len(seen.ages_ns) // 20_000)],
            }
        )
    )


async def probe(seen: Seen, ends: float, gap_s: float) -> None:
    """Open short streams at random times; their first tokens are measured."""
    host, port = split_address(FLAGS.target)
    loop = asyncio.get_running_loop()
    arrivals = random.Random(port)
    request = stream_request(PROBE_TOKENS, gap_s)
    while time.monotonic() < ends:
        reader = functools.partial(Reader, request, seen, True)
        await loop.create_connection(reader, host, port)
        await asyncio.sleep(arrivals.expovariate(FLAGS.opens / FLAGS.processes))


async def load_short() -> None:
    """Call for short answers in a closed loop and note each duration."""
    host, port = split_address(FLAGS.target)
    request = (
        "GET /services/bench-plain/availability HTTP/1.1\r\nHost: bench\r\n"
        f"Authorization: Bearer {KEY}\r\n\r\n"
    ).encode()
    await asyncio.sleep(max(0.0, FLAGS.start_at - time.monotonic()))
    ends = time.monotonic() + FLAGS.seconds
    times_ns: list[int] = []
    statuses = collections.Counter()

    async def call() -> None:
        reader, writer = await asyncio.open_connection(host, port)
        while time.monotonic() < ends:
            sent_ns = time.monotonic_ns()
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
            times_ns.append(time.monotonic_ns() - sent_ns)
            statuses[head[9:12].decode()] += 1
        writer.close()

    await asyncio.gather(*(call() for _ in range(FLAGS.callers)))
    print(
        json.dumps(
            {
                "requests_per_s": len(times_ns) / FLAGS.seconds,
                "times_ns": times_ns[:: max(1, len(times_ns) // 20_000)],
                "statuses": statuses,
            }
        )
    )


def percentile_ms(values_ns: list[int], share: float) -> float:
    """Return a percentile of nanoseconds in milliseconds."""
    if not values_ns:
        return float("nan")
    ranked = sorted(values_ns)
    return round(ranked[min(len(ranked) - 1, int(len(ranked) * share))] / 1e6, 3)


class Bench:
    """Starts the processes and runs the trials."""

    def __init__(self, folder: Path) -> None:
        shape = cluster.Shape(
            domains=("bench",), entries=(1,), control=1, engines=0, applications=1
        )
        self._cluster = cluster.create(folder, shape)
        _use_fixed_limits(folder)
        self._children: list[subprocess.Popen] = []
        self._emitters = free_addresses(FLAGS.processes)

    async def run(self) -> None:
        """Run every trial and print its line."""
        try:
            self._cluster.start()
            await self._prepare()
            for rate in map(float, FLAGS.rates):
                self._print(f"stream-{rate:.0f}", await self._streams(rate))
            if FLAGS.short:
                self._print("short", await self._short())
            if FLAGS.body_mb:
                self._print("body", await self._body())
        finally:
            for child in self._children:
                child.kill()
            self._cluster.stop()

    async def _prepare(self) -> None:
        node = self._cluster.nodes["entry-bench-0"]
        for address in self._emitters:
            entry = node.addresses["backend_servers"]
            self._spawn("emitter", f"--address={address}", f"--entry={entry}")
        async with aiohttp.ClientSession() as session:
            await self._cluster.wait_healthy(session)
            await self._cluster.put_document(session, bench_document(), 0, "bench")
            await self._cluster.wait_in_force(session, 1)
        await asyncio.sleep(2.5)

    def _spawn(self, part: str, *more: str) -> subprocess.Popen:
        command = [sys.executable, __file__, f"--part={part}", *more]
        child = subprocess.Popen(command, stdout=subprocess.PIPE, cwd=ROOT)
        self._children.append(child)
        return child

    async def _load(self, targets: list[str], *more: str) -> list[dict]:
        start_at = time.monotonic() + 1.0
        children = [
            self._spawn(
                "load",
                f"--target={target}",
                f"--start_at={start_at}",
                f"--seconds={FLAGS.seconds}",
                f"--processes={FLAGS.processes}",
                f"--opens={FLAGS.opens}",
                *more,
            )
            for target in targets
        ]
        loop = asyncio.get_running_loop()
        outs = await asyncio.gather(
            *(loop.run_in_executor(None, child.communicate) for child in children)
        )
        return [json.loads(out) for out, _ in outs]

    async def _pair(self, *more: str) -> tuple[list[dict], list[dict], dict]:
        callers = self._cluster.nodes["entry-bench-0"].addresses["callers"]
        direct = await self._load(self._emitters, *more)
        before = self._usage()
        started = time.monotonic()
        via = await self._load([callers] * FLAGS.processes, *more)
        spent = self._usage()
        cpu_s = spent["cpu_s"] - before["cpu_s"]
        busy = round(cpu_s / (time.monotonic() - started - 1.0), 2)
        usage = {"cores": busy, "cpu_s": cpu_s, "rss_mb": spent["rss_mb"]}
        return direct, via, usage

    def _usage(self) -> dict:
        pid = self._cluster.running["entry-bench-0"].pid
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        status = Path(f"/proc/{pid}/status").read_text()
        peak_kb = int(status.split("VmHWM:")[1].split()[0])
        return {"cpu_s": ticks / TICKS_PER_S, "rss_mb": round(peak_kb / 1024, 1)}

    async def _streams(self, rate: float) -> dict:
        direct, via, usage = await self._pair(
            "--kind=stream",
            f"--streams={FLAGS.streams // FLAGS.processes}",
            f"--rate={rate / FLAGS.processes}",
        )
        result = {"direct": _stream_figures(direct), "entry": _stream_figures(via)}
        for name in ("first_p95_ms", "gap_p95_ms", "age_p95_ms"):
            added = result["entry"][name] - result["direct"][name]
            result[f"added_{name}"] = round(added, 3)
        ratio = result["entry"]["chunks_per_s"] / result["direct"]["chunks_per_s"]
        chunks = sum(one["chunks"] for one in via)
        cost = {"cpu_us_per_chunk": round(1e6 * usage.pop("cpu_s") / chunks, 1)}
        return result | {"ratio": round(ratio, 3)} | cost | usage

    async def _short(self) -> dict:
        direct, via, usage = await self._pair(
            "--kind=short", f"--callers={FLAGS.callers // FLAGS.processes}"
        )
        result = {"direct": _short_figures(direct), "entry": _short_figures(via)}
        added = result["entry"]["p95_ms"] - result["direct"]["p95_ms"]
        calls = result["entry"]["requests_per_s"] * FLAGS.seconds
        cost = {"cpu_us_per_request": round(1e6 * usage.pop("cpu_s") / calls)}
        return result | {"added_p95_ms": round(added, 3)} | cost | usage

    async def _body(self) -> dict:
        """Echo one large body through the entry; its length must be kept."""
        address = self._cluster.nodes["entry-bench-0"].addresses["callers"]
        before = self._usage()
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
        after = self._usage()
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
    """Let the emitters' slots be their limits: routing is not measured here."""
    for path in folder.glob("entry-*.json"):
        settings = json.loads(path.read_text())
        policies = {"limit": "fixed", "straggler": "ignore", "route": "round_robin"}
        settings["policies"] = policies
        path.write_text(json.dumps(settings))


async def _zeros():
    for _ in range(FLAGS.body_mb):
        yield bytes(MEGABYTE)


def _stream_figures(seen: list[dict]) -> dict:
    firsts = [value for one in seen for value in one["firsts_ns"]]
    gaps = [value for one in seen for value in one["gaps_ns"]]
    ages = [value for one in seen for value in one["ages_ns"]]
    return {
        "chunks_per_s": round(sum(one["chunks_per_s"] for one in seen)),
        "done": sum(one["done"] for one in seen),
        "missing": sum(one["wanted"] - one["chunks"] for one in seen),
        "first_p50_ms": percentile_ms(firsts, 0.5),
        "first_p95_ms": percentile_ms(firsts, 0.95),
        "gap_p95_ms": percentile_ms(gaps, 0.95),
        "age_p50_ms": percentile_ms(ages, 0.5),
        "age_p95_ms": percentile_ms(ages, 0.95),
    }


def _short_figures(seen: list[dict]) -> dict:
    times = [value for one in seen for value in one["times_ns"]]
    statuses = collections.Counter()
    for one in seen:
        statuses.update(one["statuses"])
    return {
        "requests_per_s": round(sum(one["requests_per_s"] for one in seen)),
        "p50_ms": percentile_ms(times, 0.5),
        "p95_ms": percentile_ms(times, 0.95),
        "statuses": dict(statuses),
    }


def bench_document() -> dict:
    """Return the document of the benchmark."""
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
    """Be the part that the flags name."""
    if FLAGS.part == "emitter":
        run = emit
    elif FLAGS.part == "load":
        run = load_streams if FLAGS.kind == "stream" else load_short
    else:
        run = bench
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


if __name__ == "__main__":
    app.run(main)
