"""A stand-in plain application: bookings, checks and tags, counted by request."""

import asyncio
from collections import Counter

from aiohttp import web

from fuchsiacroft.entry.problems import REQUEST_ID_HEADER
from fuchsiacroft.membership.announcement import ReportedLoad


class Application:
    """Answers every path with what it was asked, after `work_s` seconds."""

    def __init__(self, work_s: float) -> None:
        self._work_s = work_s
        self.started: Counter[str] = Counter()
        self.bodies: Counter[str] = Counter()
        self.running = 0

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/counts", self._counts)
        app.router.add_route("*", "/{path:.*}", self._answer)
        return app

    def load(self) -> ReportedLoad:
        """Return the load as the application reports it."""
        return ReportedLoad(running=self.running)

    async def _answer(self, req: web.Request) -> web.Response:
        self.running += 1
        try:
            body = await req.read()
            request_id = req.headers.get(REQUEST_ID_HEADER, "")
            self.started[request_id] += 1
            self.bodies[body.decode(errors="replace")[:200]] += 1
            await asyncio.sleep(self._work_s)
            return web.json_response(
                {
                    "method": req.method,
                    "path": req.path_qs,
                    "request_id": request_id,
                    "bytes": len(body),
                }
            )
        finally:
            self.running -= 1

    async def _counts(self, req: web.Request) -> web.Response:
        return web.json_response(
            {"started": dict(self.started), "bodies": dict(self.bodies)}
        )


def create(work_s: float) -> Application:
    """Return an application whose calls take `work_s` seconds."""
    return Application(work_s)
