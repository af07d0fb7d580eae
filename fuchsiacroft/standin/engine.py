"""A stand-in model engine: admits all requests, streams tokens, counts runs.

After a run's last reader disconnects, the run continues for `ORPHAN_TIMEOUT_S`
so that it can be resumed by offset, and is then cancelled.
"""

import asyncio
import os
from collections import deque
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

from fuchsiacroft.entry import prefixes
from fuchsiacroft.entry.backend_client import BOOT_ID_HEADER, OFFSET_HEADER
from fuchsiacroft.entry.problems import REQUEST_ID_HEADER
from fuchsiacroft.membership.announcement import Announcement, ReportedLoad
from fuchsiacroft.standin import answer_names
from fuchsiacroft.standin.counts import BoundedCounter, record_run
from fuchsiacroft.standin.faults import CRASH_TEXT, FaultState, abort
from fuchsiacroft.standin.orders import OrderExecutor
from fuchsiacroft.standin.prefix_cache import PrefixCache
from fuchsiacroft.utils.clock import now

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = prefixes.PREFIX_BLOCK_BYTES // BYTES_PER_TOKEN
ORPHAN_TIMEOUT_S = 2.0
RUN_RETENTION_S = 30.0
MAX_RETAINED_RUNS = 5_000


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Performance parameters of an engine.

    `knee` is the number of running requests above which the token gap grows.
    `load_lag_s` is the age of the load that it reports.
    """

    prefill_tokens_per_s: float = 20_000.0
    token_gap_s: float = 0.010
    knee: int = 8
    cache_blocks: int = 4_096
    load_lag_s: float = 0.0
    load_model_s: float = 0.2


@dataclass(slots=True)
class Run:
    """One run: its output so far, its readers, and its state."""

    request_id: str
    max_tokens: int
    prompt_tokens: int
    cached_tokens: int
    chunks: list[bytes] = field(default_factory=list)
    readers: int = 0
    unread_since: float = 0.0
    ended_at: float | None = None
    cancelled: bool = False
    updated: asyncio.Event = field(default_factory=asyncio.Event)

    def notify_readers(self) -> None:
        """Wake all readers after the run has changed."""
        self.updated.set()
        self.updated = asyncio.Event()

    @property
    def is_orphan(self) -> bool:
        """Return whether the run has had no reader for `ORPHAN_TIMEOUT_S`."""
        return not self.readers and now() - self.unread_since > ORPHAN_TIMEOUT_S


class Engine:
    """Serves OpenAI-compatible endpoints; runs can be cancelled and resumed."""

    def __init__(
        self, speed: EngineSpeed, can_crash: bool = False, checks_fencing: bool = True
    ) -> None:
        self._speed = speed
        self._can_crash = can_crash
        self._prefill = asyncio.Lock()
        self._runs: dict[str, Run] = {}
        self._tasks: set[asyncio.Task] = set()
        self._started = BoundedCounter()
        self._faults = FaultState()
        self._cache = PrefixCache(speed.cache_blocks)
        self._orders = OrderExecutor(checks_fencing, speed.load_model_s)
        self._loads: deque[tuple[float, int]] = deque(maxlen=60)
        self._boot_id = ""
        self.running = 0
        self.prefill_tokens = 0
        self.cached_tokens = 0
        self.wasted_prefill_tokens = 0
        self.cancelled = 0

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_post("/runs/{id}/cancel", self._cancel)
        app.router.add_get("/runs/{id}", self._resume)
        app.router.add_get("/counts", self._counts)
        self._faults.add_routes(app)
        self._orders.add_routes(app)
        answer_names.add_names(app)
        return app

    def describe(self, announcement: Announcement) -> Announcement:
        """Return the announcement with the current load, offers and cache events."""
        self._boot_id = announcement.boot_id
        return msgspec.structs.replace(
            self._orders.describe(announcement),
            load=self._load(),
            cache_events=self._cache.take_events(),
        )

    def _load(self) -> ReportedLoad:
        self._loads.append((now(), self.running))
        newest = now() - self._speed.load_lag_s
        samples = [sample for sample in self._loads if sample[0] <= newest]
        at, running = samples[-1] if samples else self._loads[0]
        return ReportedLoad(running=running, age_s=round(now() - at, 3))

    async def _complete(self, req: web.Request) -> web.StreamResponse:
        body = await req.read()
        if self._can_crash and CRASH_TEXT in body:
            record_run(req, self._started)
            os._exit(70)
        fault_response = self._faults.fault_response()
        if fault_response is not None:
            return fault_response
        await self._faults.wait_while_frozen()
        fields = msgspec.json.decode(body)
        run = self._start(req, body, int(fields.get("max_tokens", 16)))
        if fields.get("stream"):
            return await self._stream(req, run, 0)
        return await self._respond(run)

    def _start(self, req: web.Request, body: bytes, max_tokens: int) -> Run:
        request_id = record_run(req, self._started)
        tokens = len(body) // BYTES_PER_TOKEN
        hits = self._cache.access(prefixes.digests(body))
        run = Run(
            request_id, max_tokens, tokens, hits * BLOCK_TOKENS, unread_since=now()
        )
        self._evict_old_runs()
        self._runs[request_id] = run
        task = asyncio.get_running_loop().create_task(self._generate(run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return run

    def _evict_old_runs(self) -> None:
        oldest = now() - RUN_RETENTION_S
        for request_id, run in list(self._runs.items())[:2]:
            expired = run.ended_at is not None and run.ended_at < oldest
            if expired or len(self._runs) > MAX_RETAINED_RUNS:
                del self._runs[request_id]

    async def _generate(self, run: Run) -> None:
        self.running += 1
        try:
            await self._run_prefill(run)
            for i in range(run.max_tokens):
                await self._faults.wait_while_frozen()
                run.cancelled = run.cancelled or run.is_orphan
                if run.cancelled:
                    break
                run.chunks.append(_sse_event(f"{run.request_id[:8]}-{i} "))
                run.notify_readers()
                await asyncio.sleep(self._token_gap_s())
        finally:
            if run.cancelled:
                self.cancelled += 1
                self.wasted_prefill_tokens += run.prompt_tokens - run.cached_tokens
            self.running -= 1
            run.ended_at = now()
            run.notify_readers()

    async def _run_prefill(self, run: Run) -> None:
        tokens = max(0, run.prompt_tokens - run.cached_tokens)
        async with self._prefill:
            if run.cancelled:
                return
            rate = self._speed.prefill_tokens_per_s / self._faults.fault.slowdown
            await asyncio.sleep(tokens / rate)
        self.prefill_tokens += tokens
        self.cached_tokens += run.cached_tokens

    def _token_gap_s(self) -> float:
        load_factor = max(1.0, self.running / self._speed.knee)
        return self._speed.token_gap_s * load_factor * self._faults.fault.slowdown

    async def _stream(self, req: web.Request, run: Run, offset: int):
        headers = {
            "Content-Type": "text/event-stream",
            REQUEST_ID_HEADER: run.request_id,
            BOOT_ID_HEADER: self._boot_id,
            OFFSET_HEADER: str(offset),
        }
        response = web.StreamResponse(headers=headers)
        run.readers += 1
        try:
            await response.prepare(req)
            if await self._send_chunks(req, response, run, offset):
                await response.write_eof()
        finally:
            run.readers -= 1
            run.unread_since = now()
        return response

    async def _send_chunks(self, req, response, run: Run, offset: int) -> bool:
        sent = 0
        position = 0
        while True:
            updated = run.updated
            while sent < len(run.chunks):
                if self._faults.take_abort(sent):
                    abort(req)
                    return False
                position = await _send_from_offset(
                    response, run.chunks[sent], position, offset
                )
                sent += 1
            if run.ended_at is not None:
                break
            await updated.wait()
        if run.cancelled:
            await response.write(b'event: error\ndata: {"error": "cancelled"}\n\n')
        elif not self._faults.fault.drop_done:
            await _send_from_offset(response, b"data: [DONE]\n\n", position, offset)
        return True

    async def _respond(self, run: Run) -> web.Response:
        run.readers += 1
        try:
            while run.ended_at is None:
                await run.updated.wait()
        finally:
            run.readers -= 1
            run.unread_since = now()
        if run.cancelled:
            return web.json_response({"error": "cancelled"}, status=499)
        text = "".join(f"{run.request_id[:8]}-{i} " for i in range(len(run.chunks)))
        return web.json_response({"choices": [{"index": 0, "text": text}]})

    async def _cancel(self, req: web.Request) -> web.Response:
        run = self._runs.get(req.match_info["id"])
        if run is None:
            return web.Response(status=404)
        run.cancelled = True
        return web.Response(status=204)

    async def _resume(self, req: web.Request) -> web.StreamResponse:
        run = self._runs.get(req.match_info["id"])
        if run is None or self._faults.fault.forget_runs:
            return web.Response(status=404)
        return await self._stream(req, run, int(req.query.get("offset", "0")))

    async def _counts(self, req: web.Request) -> web.Response:
        return web.json_response(
            {
                "started": self._started.as_dict(),
                "running": self.running,
                "cancelled": self.cancelled,
                "prefill_tokens": self.prefill_tokens,
                "cached_tokens": self.cached_tokens,
                "wasted_prefill_tokens": self.wasted_prefill_tokens,
            }
        )


async def _send_from_offset(
    response: web.StreamResponse, chunk: bytes, position: int, offset: int
) -> int:
    skipped = min(len(chunk), max(0, offset - position))
    if skipped < len(chunk):
        await response.write(chunk[skipped:])
    return position + len(chunk)


def _sse_event(text: str) -> bytes:
    body = msgspec.json.encode({"choices": [{"index": 0, "text": text}]})
    return b"data: " + body + b"\n\n"


def create(
    speed: EngineSpeed, can_crash: bool = False, checks_fencing: bool = True
) -> Engine:
    """Return an engine.

    `can_crash` lets marked requests crash its process. Without `checks_fencing`
    it also executes orders with an outdated fencing number.
    """
    return Engine(speed, can_crash, checks_fencing)
