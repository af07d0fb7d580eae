"""A stand-in model engine: admits everything, streams tokens, counts runs.

A run goes on for `ORPHAN_S` after its reader was lost, so that it can be
resumed by offset, and is cancelled then.
"""

import asyncio
import os
from collections import deque
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

from fuchsiacroft.entry import prefixes
from fuchsiacroft.entry.problems import REQUEST_ID_HEADER
from fuchsiacroft.membership.announcement import Announcement, ReportedLoad
from fuchsiacroft.standin.counts import BoundedCounter, note_run
from fuchsiacroft.standin.faults import CRASH_TEXT, FaultState, abort
from fuchsiacroft.standin.orders import OrderBook
from fuchsiacroft.standin.prefix_cache import PrefixCache
from fuchsiacroft.utils.clock import now

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = prefixes.PREFIX_BLOCK_BYTES // BYTES_PER_TOKEN
ORPHAN_S = 2.0
RUN_KEPT_S = 30.0
MAX_RUNS_KEPT = 5_000
BOOT_ID_HEADER = "Fuchsiacroft-Boot-Id"


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """How fast an engine is.

    `knee` is the number of running requests from which the token gap grows.
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
    """One run: its text so far, its readers, and whether it has ended."""

    request_id: str
    wanted: int
    prompt_tokens: int
    cached_tokens: int
    chunks: list[bytes] = field(default_factory=list)
    readers: int = 0
    unread_since: float = 0.0
    ended_at: float | None = None
    cancelled: bool = False
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    def wake(self) -> None:
        """Let every reader look at the run again."""
        self.grown.set()
        self.grown = asyncio.Event()

    @property
    def is_orphan(self) -> bool:
        """Tell whether nobody has read the run for too long."""
        return not self.readers and now() - self.unread_since > ORPHAN_S


class Engine:
    """Serves the OpenAI shapes; a run can be cancelled and resumed."""

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
        self._orders = OrderBook(checks_fencing, speed.load_model_s)
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
        return app

    def describe(self, announcement: Announcement) -> Announcement:
        """Return the announcement with load, offers and cache events of now."""
        self._boot_id = announcement.boot_id
        return msgspec.structs.replace(
            self._orders.describe(announcement),
            load=self._load(),
            cache_events=self._cache.take_events(),
        )

    def _load(self) -> ReportedLoad:
        self._loads.append((now(), self.running))
        newest = now() - self._speed.load_lag_s
        seen = [sample for sample in self._loads if sample[0] <= newest]
        at, running = seen[-1] if seen else self._loads[0]
        return ReportedLoad(running=running, age_s=round(now() - at, 3))

    async def _complete(self, req: web.Request) -> web.StreamResponse:
        body = await req.read()
        if self._can_crash and CRASH_TEXT in body:
            note_run(req, self._started)
            os._exit(70)
        refusal = self._faults.refusal()
        if refusal is not None:
            return refusal
        await self._faults.thaw()
        fields = msgspec.json.decode(body)
        run = self._start(req, body, int(fields.get("max_tokens", 16)))
        if fields.get("stream"):
            return await self._stream(req, run, 0)
        return await self._whole(run)

    def _start(self, req: web.Request, body: bytes, wanted: int) -> Run:
        request_id = note_run(req, self._started)
        tokens = len(body) // BYTES_PER_TOKEN
        hits = self._cache.use(prefixes.digests(body))
        run = Run(request_id, wanted, tokens, hits * BLOCK_TOKENS, unread_since=now())
        self._forget_old_runs()
        self._runs[request_id] = run
        task = asyncio.get_running_loop().create_task(self._generate(run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return run

    def _forget_old_runs(self) -> None:
        oldest = now() - RUN_KEPT_S
        for request_id, run in list(self._runs.items())[:2]:
            old = run.ended_at is not None and run.ended_at < oldest
            if old or len(self._runs) > MAX_RUNS_KEPT:
                del self._runs[request_id]

    async def _generate(self, run: Run) -> None:
        self.running += 1
        try:
            await self._run_prefill(run)
            for i in range(run.wanted):
                await self._faults.thaw()
                run.cancelled = run.cancelled or run.is_orphan
                if run.cancelled:
                    break
                run.chunks.append(_event(f"{run.request_id[:8]}-{i} "))
                run.wake()
                await asyncio.sleep(self._gap())
        finally:
            if run.cancelled:
                self.cancelled += 1
                self.wasted_prefill_tokens += run.prompt_tokens - run.cached_tokens
            self.running -= 1
            run.ended_at = now()
            run.wake()

    async def _run_prefill(self, run: Run) -> None:
        tokens = max(0, run.prompt_tokens - run.cached_tokens)
        async with self._prefill:
            if run.cancelled:
                return
            rate = self._speed.prefill_tokens_per_s / self._faults.fault.slowdown
            await asyncio.sleep(tokens / rate)
        self.prefill_tokens += tokens
        self.cached_tokens += run.cached_tokens

    def _gap(self) -> float:
        crowding = max(1.0, self.running / self._speed.knee)
        return self._speed.token_gap_s * crowding * self._faults.fault.slowdown

    async def _stream(self, req: web.Request, run: Run, offset: int):
        headers = {
            "Content-Type": "text/event-stream",
            REQUEST_ID_HEADER: run.request_id,
            BOOT_ID_HEADER: self._boot_id,
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
            grown = run.grown
            while sent < len(run.chunks):
                if self._faults.breaks_now(sent):
                    abort(req)
                    return False
                position = await _send(response, run.chunks[sent], position, offset)
                sent += 1
            if run.ended_at is not None:
                break
            await grown.wait()
        if run.cancelled:
            await response.write(b'event: error\ndata: {"error": "cancelled"}\n\n')
        elif not self._faults.fault.drop_done:
            await _send(response, b"data: [DONE]\n\n", position, offset)
        return True

    async def _whole(self, run: Run) -> web.Response:
        run.readers += 1
        try:
            while run.ended_at is None:
                await run.grown.wait()
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


async def _send(
    response: web.StreamResponse, chunk: bytes, position: int, offset: int
) -> int:
    skipped = min(len(chunk), max(0, offset - position))
    if skipped < len(chunk):
        await response.write(chunk[skipped:])
    return position + len(chunk)


def _event(text: str) -> bytes:
    body = msgspec.json.encode({"choices": [{"index": 0, "text": text}]})
    return b"data: " + body + b"\n\n"


def create(
    speed: EngineSpeed, can_crash: bool = False, checks_fencing: bool = True
) -> Engine:
    """Return an engine.

    `can_crash` lets marked requests end its process. Without `checks_fencing`
    it carries out orders that have an old fencing number.
    """
    return Engine(speed, can_crash, checks_fencing)
