"""A stand-in plain application that counts its runs by request id.

`/echo` streams the request body back; `/bytes/N` answers N bytes; every other
path is answered with a summary of the request.
"""

import asyncio
import os

import msgspec
from aiohttp import web

from fuchsiacroft.membership.announcement import Announcement, ReportedLoad
from fuchsiacroft.standin import answer_names
from fuchsiacroft.standin.counts import BoundedCounter, record_run
from fuchsiacroft.standin.faults import CRASH_TEXT, FaultState, abort

CHUNK_BYTES = 64 * 1024


class Application:
    """Serves `/echo`, `/bytes/N`, and summaries that take `work_s` seconds each."""

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
        answer_names.add_names(app)
        app.router.add_route("*", "/echo", self._echo)
        app.router.add_get("/bytes/{count}", self._bytes)
        app.router.add_route("*", "/{path:.*}", self._answer)
        return app

    def describe(self, announcement: Announcement) -> Announcement:
        """Return the announcement with the current load."""
        load = ReportedLoad(running=self.running)
        return msgspec.structs.replace(announcement, load=load)

    async def _answer(self, req: web.Request) -> web.Response:
        self.running += 1
        try:
            body = await req.read()
            if self._can_crash and CRASH_TEXT in body:
                os._exit(70)
            fault_response = self._faults.fault_response()
            if fault_response is not None:
                return fault_response
            await self._faults.wait_while_frozen()
            request_id = record_run(req, self._started)
            self._bodies.add(body.decode(errors="replace")[:200])
            await asyncio.sleep(self._work_s * self._faults.fault.slowdown)
            if self._faults.take_abort(0):
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
        record_run(req, self._started)
        await response.prepare(req)
        async for chunk in req.content.iter_any():
            await response.write(chunk)
        await response.write_eof()
        return response

    async def _bytes(self, req: web.Request) -> web.StreamResponse:
        remaining = int(req.match_info["count"])
        response = web.StreamResponse()
        response.content_length = remaining
        record_run(req, self._started)
        await response.prepare(req)
        chunks = 0
        if req.method == "HEAD":
            return response
        while remaining:
            if self._faults.take_abort(chunks):
                abort(req)
                return response
            size = min(remaining, CHUNK_BYTES)
            await response.write(b"x" * size)
            remaining -= size
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
