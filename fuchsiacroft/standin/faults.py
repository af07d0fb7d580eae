"""Faults that a test asks a stand-in for over HTTP.

`POST /fault` takes the fields of `Fault` as JSON and replaces the fault in
force; an empty object heals the stand-in.
"""

import asyncio

import msgspec
from aiohttp import web

CRASH_TEXT = b"crash-this-engine"
FROZEN_POLL_S = 0.02


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is wrong with a stand-in.

    `slowdown` multiplies every duration. `freeze` halts runs and answers
    without closing connections. `break_after` aborts the connection of an
    answer after so many chunks, `break_times` times. `refuse` answers 503
    before any work, `error_fast` answers 500 at once. `forget_runs` makes a
    resume find nothing. `drop_done` ends streams
    without their closing event.
    """

    slowdown: float = 1.0
    freeze: bool = False
    break_after: int | None = None
    break_times: int = 1
    refuse: bool = False
    error_fast: bool = False
    forget_runs: bool = False
    drop_done: bool = False


class FaultState:
    """The fault in force, set over HTTP."""

    def __init__(self) -> None:
        self.fault = Fault()
        self._breaks_left = 0

    def add_routes(self, app: web.Application) -> None:
        """Serve `/fault` and the short form `/slowdown/FACTOR`."""
        app.router.add_post("/fault", self._set)
        app.router.add_post("/slowdown/{factor}", self._slow_down)

    def refusal(self) -> web.Response | None:
        """Return the answer to a request that is turned away, or None."""
        if self.fault.refuse:
            return web.json_response({"error": "refused"}, status=503)
        if self.fault.error_fast:
            return web.json_response({"error": "failed"}, status=500)
        return None

    async def thaw(self) -> None:
        """Wait while the stand-in is frozen."""
        while self.fault.freeze:
            await asyncio.sleep(FROZEN_POLL_S)

    def breaks_now(self, chunks: int) -> bool:
        """Tell whether an answer breaks off after this many chunks."""
        if self._breaks_left <= 0 or chunks != self.fault.break_after:
            return False
        self._breaks_left -= 1
        return True

    async def _set(self, req: web.Request) -> web.Response:
        try:
            self.fault = msgspec.json.decode(await req.read(), type=Fault)
        except msgspec.MsgspecError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        breaks = self.fault.break_after is not None
        self._breaks_left = self.fault.break_times if breaks else 0
        return web.Response(status=204)

    async def _slow_down(self, req: web.Request) -> web.Response:
        factor = float(req.match_info["factor"])
        self.fault = msgspec.structs.replace(self.fault, slowdown=factor)
        return web.Response(status=204)


def abort(req: web.Request) -> None:
    """Reset the connection of a request."""
    if req.transport is not None:
        req.transport.abort()
