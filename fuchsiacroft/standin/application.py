"""A stand-in plain application: bookings, checks and tags, counted by request.

`/echo` streams the body back as it comes; `/bytes/N` answers N bytes; every
other path is answered with what was asked.
"""

import asyncio
import os

import msgspec
from aiohttp import web

from fuchsiacroft.membership.announcement import Announcement, ReportedLoad
from fuchsiacroft.standin.counts import BoundedCounter, note_run
from fuchsiacroft.standin.faults import CRASH_TEXT, FaultState, abort

CHUNK_BYTES = 64 * 1024


class Application:
    """Answers every path with what it was asked, after `work_s` seconds."""

    def __init__(self, work_s: float, can_crash: bool = False) -> None:
        self._work_s = work_s
        self._can_crash = can_crash
        self._started = BoundedCounter()
        self._bodies = BoundedCounter()
        self._faults = FaultState()
        self.running = 0

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/counts", self._counts)
        self._faults.add_routes(app)
        app.router.add_route("*", "/echo", self._echo)
        app.router.add_get("/bytes/{count}", self._bytes)
        app.router.add_route("*", "/{path:.*}", self._answer)
        return app

    def describe(self, announcement: Announcement) -> Announcement:
        """Return the announcement with the load of now."""
        load = ReportedLoad(running=self.running)
        return msgspec.structs.replace(announcement, load=load)

    async def _answer(self, req: web.Request) -> web.Response:
        self.running += 1
        try:
            body = await req.read()
            if self._can_crash and CRASH_TEXT in body:
                os._exit(70)
            refusal = self._faults.refusal()
            if refusal is not None:
                return refusal
            await self._faults.thaw()
            request_id = note_run(req, self._started)
            self._bodies.add(body.decode(errors="replace")[:200])
            await asyncio.sleep(self._work_s * self._faults.fault.slowdown)
            if self._faults.breaks_now(0):
                abort(req)
            return web.json_response(
                {
                    "method": req.method,
                    "path": req.path_qs,
                    "request_id": request_id,
                    "bytes": len(body),
                    "headers": sorted(name.lower() for name in req.headers),
                }
            )
        finally:
            self.running -= 1

    async def _echo(self, req: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = req.content_length
        note_run(req, self._started)
        await response.prepare(req)
        async for chunk in req.content.iter_any():
            await response.write(chunk)
        await response.write_eof()
        return response

    async def _bytes(self, req: web.Request) -> web.StreamResponse:
        left = int(req.match_info["count"])
        response = web.StreamResponse()
        response.content_length = left
        note_run(req, self._started)
        await response.prepare(req)
        chunks = 0
        if req.method == "HEAD":
            return response
        while left:
            if self._faults.breaks_now(chunks):
                abort(req)
                return response
            size = min(left, CHUNK_BYTES)
            await response.write(b"x" * size)
            left -= size
            chunks += 1
        await response.write_eof()
        return response

    async def _counts(self, req: web.Request) -> web.Response:
        return web.json_response(
            {
                "started": self._started.as_dict(),
                "bodies": self._bodies.as_dict(),
                "running": self.running,
            }
        )


def create(work_s: float, can_crash: bool = False) -> Application:
    """Return an application whose calls take `work_s` seconds."""
    return Application(work_s, can_crash)
