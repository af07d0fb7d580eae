"""A stand-in model engine: admits everything, streams tokens, counts runs."""

import asyncio
import os
from collections import Counter
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

from fuchsiacroft.entry.problems import REQUEST_ID_HEADER
from fuchsiacroft.membership.announcement import ReportedLoad

BYTES_PER_TOKEN = 4
CRASH_TEXT = b"crash-this-engine"


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """How fast an engine is.

    `knee` is the number of running requests from which the token gap grows.
    """

    prefill_tokens_per_s: float = 20_000.0
    token_gap_s: float = 0.010
    knee: int = 8


@dataclass(slots=True)
class Run:
    """One run: its text so far, and whether it has ended."""

    request_id: str
    wanted: int
    prompt_tokens: int
    sent: list[bytes] = field(default_factory=list)
    ended: bool = False
    cancelled: bool = False
    grown: asyncio.Event = field(default_factory=asyncio.Event)


class Engine:
    """Serves the OpenAI shapes; a run can be cancelled and resumed."""

    def __init__(self, speed: EngineSpeed, can_crash: bool = False) -> None:
        self._speed = speed
        self._can_crash = can_crash
        self._prefill = asyncio.Lock()
        self.runs: dict[str, Run] = {}
        self.started: Counter[str] = Counter()
        self.running = 0
        self.slowdown = 1.0
        self.prefill_tokens = 0
        self.wasted_prefill_tokens = 0

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_post("/runs/{id}/cancel", self._cancel)
        app.router.add_get("/runs/{id}", self._resume)
        app.router.add_get("/counts", self._counts)
        app.router.add_post("/slowdown/{factor}", self._slow_down)
        return app

    def load(self) -> ReportedLoad:
        """Return the load as the engine reports it."""
        return ReportedLoad(running=self.running)

    async def _complete(self, req: web.Request) -> web.StreamResponse:
        body = await req.read()
        if self._can_crash and CRASH_TEXT in body:
            os._exit(70)
        fields = msgspec.json.decode(body)
        request_id = req.headers.get(REQUEST_ID_HEADER, "")
        self.started[request_id] += 1
        run = Run(
            request_id, int(fields.get("max_tokens", 16)), len(body) // BYTES_PER_TOKEN
        )
        self.runs[request_id] = run
        task = asyncio.get_running_loop().create_task(self._generate(run))
        try:
            if fields.get("stream"):
                return await self._stream(req, run, 0)
            await task
            return self._whole(run)
        except (ConnectionError, asyncio.CancelledError):
            run.cancelled = True
            raise

    async def _generate(self, run: Run) -> None:
        self.running += 1
        try:
            async with self._prefill:
                rate = self._speed.prefill_tokens_per_s / self.slowdown
                await asyncio.sleep(run.prompt_tokens / rate)
            self.prefill_tokens += run.prompt_tokens
            for i in range(run.wanted):
                if run.cancelled:
                    self.wasted_prefill_tokens += run.prompt_tokens
                    break
                text = f"{run.request_id[:8]}-{i} "
                run.sent.append(_event(text))
                _wake(run)
                await asyncio.sleep(self._gap())
        finally:
            self.running -= 1
            run.ended = True
            _wake(run)

    def _gap(self) -> float:
        crowding = max(1.0, self.running / self._speed.knee)
        return self._speed.token_gap_s * crowding * self.slowdown

    async def _stream(self, req: web.Request, run: Run, offset: int):
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(req)
        sent = 0
        skipped = 0
        while True:
            grown = run.grown
            while sent < len(run.sent):
                chunk = run.sent[sent]
                sent += 1
                start = min(len(chunk), max(0, offset - skipped))
                skipped += len(chunk)
                if chunk[start:]:
                    await response.write(chunk[start:])
            if run.ended:
                break
            await grown.wait()
        if run.cancelled:
            await response.write(b'event: error\ndata: {"error": "cancelled"}\n\n')
        else:
            await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def _whole(self, run: Run) -> web.Response:
        text = "".join(f"{run.request_id[:8]}-{i} " for i in range(len(run.sent)))
        if run.cancelled:
            return web.json_response({"error": "cancelled"}, status=499)
        return web.json_response({"choices": [{"index": 0, "text": text}]})

    async def _cancel(self, req: web.Request) -> web.Response:
        run = self.runs.get(req.match_info["id"])
        if run is None:
            return web.Response(status=404)
        run.cancelled = True
        return web.Response(status=204)

    async def _resume(self, req: web.Request) -> web.StreamResponse:
        run = self.runs.get(req.match_info["id"])
        if run is None:
            return web.Response(status=404)
        return await self._stream(req, run, int(req.query.get("offset", "0")))

    async def _counts(self, req: web.Request) -> web.Response:
        return web.json_response(
            {
                "started": dict(self.started),
                "running": self.running,
                "prefill_tokens": self.prefill_tokens,
                "wasted_prefill_tokens": self.wasted_prefill_tokens,
            }
        )

    async def _slow_down(self, req: web.Request) -> web.Response:
        self.slowdown = float(req.match_info["factor"])
        return web.Response(status=204)


def _event(text: str) -> bytes:
    body = msgspec.json.encode({"choices": [{"index": 0, "text": text}]})
    return b"data: " + body + b"\n\n"


def _wake(run: Run) -> None:
    run.grown.set()
    run.grown = asyncio.Event()


def create(speed: EngineSpeed, can_crash: bool = False) -> Engine:
    """Return an engine; `can_crash` lets marked requests end its process."""
    return Engine(speed, can_crash)
