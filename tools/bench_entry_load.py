"""Generate load on one address for `tools/bench_entry.py`, and print measurements.

Streams are opened evenly over a ramp and read to their ends, while short probe
streams measure the time to the first token; short requests are sent in closed
loops. Prints one JSON line.
"""

import asyncio
import collections
import functools
import json
import random
import sys
import time
from pathlib import Path

import uvloop
from absl import app, flags

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fuchsiacroft.utils.http import split_address  # noqa: E402

FLAGS = flags.FLAGS
flags.DEFINE_string("target", "", "address to call")
flags.DEFINE_string("key", "", "the caller's key")
flags.DEFINE_enum("kind", "stream", ["stream", "short"], "kind of request")
flags.DEFINE_integer("seconds", 5, "seconds at full load")
flags.DEFINE_integer("streams", 200, "open streams")
flags.DEFINE_float("rate", 1000.0, "chunks a second of all streams")
flags.DEFINE_float("opens", 20.0, "short streams opened a second while measuring")
flags.DEFINE_integer("callers", 10, "callers of short requests")
flags.DEFINE_float("start_at", 0.0, "monotonic time at which the load starts")

RAMP_S = 1.5
SETTLE_S = 0.3
END_MARGIN_S = 0.5
PROBE_TOKENS = 4


class Reader(asyncio.Protocol):
    """Reads one stream and records when each chunk arrived."""

    def __init__(
        self, request: bytes, measurements: "Measurements", is_probe: bool
    ) -> None:
        self._request = request
        self._measurements = measurements
        self._is_probe = is_probe
        self._last_ns = 0

    def connection_made(self, transport) -> None:
        """Send the request."""
        self._transport = transport
        self._sent_ns = time.monotonic_ns()
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Record the chunks of one read."""
        now_ns = time.monotonic_ns()
        if self._is_probe:
            self._record_probe(data, now_ns)
            return
        count = 0
        for part in data.split(b'"at":')[1:]:
            count += 1
            emitted_ns = int(part[: part.index(b"}")])
            if self._measurements.in_window:
                self._measurements.ages_ns.append(now_ns - emitted_ns)
        if count and self._last_ns and self._measurements.in_window:
            self._measurements.gaps_ns.append(now_ns - self._last_ns)
            self._measurements.gaps_ns.extend([0] * (count - 1))
        if count:
            self._last_ns = now_ns
        self._measurements.chunks += count
        if b"[DONE]" in data:
            self._measurements.done += 1
            self._transport.close()

    def _record_probe(self, data: bytes, now_ns: int) -> None:
        if not self._last_ns and b'"at":' in data:
            self._last_ns = now_ns
            self._measurements.firsts_ns.append(now_ns - self._sent_ns)
        if b"[DONE]" in data:
            self._transport.close()


class Measurements:
    """The measurements of one load generator; times in nanoseconds."""

    def __init__(self) -> None:
        self.in_window = False
        self.chunks = 0
        self.done = 0
        self.ages_ns: list[int] = []
        self.firsts_ns: list[int] = []
        self.gaps_ns: list[int] = []


def stream_request(tokens: int, gap_s: float) -> bytes:
    """Return an encoded streaming request."""
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
        "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
        f"Authorization: Bearer {FLAGS.key}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def load_streams() -> None:
    """Open the streams evenly over the ramp and read them to their ends."""
    host, port = split_address(FLAGS.target)
    loop = asyncio.get_running_loop()
    gap_s = FLAGS.streams / FLAGS.rate
    tokens = int((FLAGS.seconds + RAMP_S) / gap_s)
    measurements = Measurements()
    await asyncio.sleep(max(0.0, FLAGS.start_at - time.monotonic()))
    started = time.monotonic()
    for i in range(FLAGS.streams):
        due = started + i * RAMP_S / FLAGS.streams
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        request = stream_request(tokens, gap_s)
        reader = functools.partial(Reader, request, measurements, False)
        await loop.create_connection(reader, host, port)
    await asyncio.sleep(SETTLE_S)
    full_from = time.monotonic()
    at_full = measurements.chunks
    measurements.in_window = True
    await probe(
        measurements, full_from + FLAGS.seconds - SETTLE_S - END_MARGIN_S, gap_s
    )
    measurements.in_window = False
    in_window = measurements.chunks - at_full
    window_s = time.monotonic() - full_from
    deadline = time.monotonic() + 10
    while measurements.done < FLAGS.streams and time.monotonic() < deadline:
        await asyncio.sleep(0.05)
    print(
        json.dumps(
            {
                "chunks_per_s": in_window / window_s,
                "done": measurements.done,
                "chunks": measurements.chunks,
                "wanted": tokens * FLAGS.streams,
                "firsts_ns": measurements.firsts_ns,
                "gaps_ns": measurements.gaps_ns[
                    :: max(1, len(measurements.gaps_ns) // 20_000)
                ],
                "ages_ns": measurements.ages_ns[
                    :: max(1, len(measurements.ages_ns) // 20_000)
                ],
            }
        )
    )


async def probe(measurements: Measurements, ends: float, gap_s: float) -> None:
    """Open short streams at random times and measure the time to their first token."""
    host, port = split_address(FLAGS.target)
    loop = asyncio.get_running_loop()
    rng = random.Random(port)
    request = stream_request(PROBE_TOKENS, gap_s)
    while time.monotonic() < ends:
        reader = functools.partial(Reader, request, measurements, True)
        await loop.create_connection(reader, host, port)
        await asyncio.sleep(rng.expovariate(FLAGS.opens))


async def load_short() -> None:
    """Send short requests in closed loops and record each duration."""
    host, port = split_address(FLAGS.target)
    request = (
        "GET /services/bench-plain/availability HTTP/1.1\r\nHost: bench\r\n"
        f"Authorization: Bearer {FLAGS.key}\r\n\r\n"
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


def main(argv: list[str]) -> None:
    """Run the selected kind of load."""
    run = load_streams if FLAGS.kind == "stream" else load_short
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


if __name__ == "__main__":
    app.run(main)
