"""Fault injection for stand-ins over HTTP.

`POST /fault` takes the fields of `Fault` as JSON and replaces the active fault;
an empty object clears it.
"""

import asyncio

import msgspec
from aiohttp import web

from fuchsiacroft.entry.backend_client import LEAVING_HEADER, LIMIT_HEADER

CRASH_TEXT = b"crash-this-engine"
FROZEN_POLL_S = 0.02


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An injected fault.

    `slowdown` multiplies every duration. `freeze` pauses runs and answers
    without closing connections. `break_after` aborts the connection of an
    answer after that many chunks, for the next `break_times` answers. `refuse`
    answers 503 before any work, `error_fast` answers 500 immediately.
    `pause_s` answers 503 with that Retry-After before any work, and `leaving` says in
    all answers that the stand-in leaves. `limit_per_s` is named in all answers as the
    requests a second that it takes. `forget_runs` makes requests to resume a run
    fail with 404. `drop_done` ends streams without their final event.
    """

    slowdown: float = 1.0
    freeze: bool = False
    break_after: int | None = None
    break_times: int = 1
    refuse: bool = False
    error_fast: bool = False
    pause_s: float | None = None
    leaving: bool = False
    limit_per_s: float | None = None
    forget_runs: bool = False
    drop_done: bool = False


class FaultState:
    """The active fault, set over HTTP."""

    def __init__(self) -> None:
        self.fault = Fault()
        self._aborts_left = 0

    def add_routes(self, app: web.Application) -> None:
        """Add the routes `/fault` and, as a short form, `/slowdown/FACTOR`."""
        app.router.add_post("/fault", self._set)
        app.router.add_post("/slowdown/{factor}", self._slow_down)
        app.on_response_prepare.append(self._add_notice)

    def fault_response(self) -> web.Response | None:
        """Return the error response for a new request, or None."""
        if self.fault.refuse:
            return web.json_response({"error": "refused"}, status=503)
        if self.fault.pause_s is not None:
            headers = {"Retry-After": f"{self.fault.pause_s:.3f}"}
            return web.json_response({"error": "paused"}, status=503, headers=headers)
        if self.fault.error_fast:
            return web.json_response({"error": "failed"}, status=500)
        return None

    async def _add_notice(self, req: web.Request, response: web.Response) -> None:
        if self.fault.leaving:
            response.headers[LEAVING_HEADER] = "1"
        if self.fault.limit_per_s is not None:
            response.headers[LIMIT_HEADER] = str(self.fault.limit_per_s)

    async def wait_while_frozen(self) -> None:
        """Wait until the stand-in is not frozen."""
        while self.fault.freeze:
            await asyncio.sleep(FROZEN_POLL_S)

    def take_abort(self, chunks: int) -> bool:
        """Return whether to abort an answer after these chunks; counts the abort."""
        if self._aborts_left <= 0 or chunks != self.fault.break_after:
            return False
        self._aborts_left -= 1
        return True

    async def _set(self, req: web.Request) -> web.Response:
        try:
            self.fault = msgspec.json.decode(await req.read(), type=Fault)
        except msgspec.MsgspecError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        aborts = self.fault.break_after is not None
        self._aborts_left = self.fault.break_times if aborts else 0
        return web.Response(status=204)

    async def _slow_down(self, req: web.Request) -> web.Response:
        factor = float(req.match_info["factor"])
        self.fault = msgspec.structs.replace(self.fault, slowdown=factor)
        return web.Response(status=204)


def abort(req: web.Request) -> None:
    """Reset the connection of a request."""
    if req.transport is not None:
        req.transport.abort()
