"""A fake entry with a built-in backend server that shows a chosen fault."""

import asyncio
import enum

from aiohttp import web

from fuchsiacroft.replay.expectations import RunLog

TOKENS = 5
SILENCE_S = 60.0


class EntryFault(enum.Enum):
    """The fault that the entry shows."""

    NONE = "nothing"
    LOSES_CONNECTION = "loses"
    STAYS_SILENT = "stays silent"
    TRUNCATES = "cuts short"
    MIXES_RESPONSES = "mixes"
    RUNS_TWICE = "runs twice"
    RUNS_RESENDS = "runs resends"
    CLAIMS_NOT_RUN = "lies"
    SHEDS_HIGHER_TIER = "sheds the higher"
    ABORTS_STREAM = "breaks off"


class FaultyEntry:
    """An entry and its backend server in one application, with one fault."""

    def __init__(self, fault: EntryFault) -> None:
        self._fault = fault
        self._number = 0
        self.log = RunLog()

    def app(self) -> web.Application:
        app = web.Application()
        app.router.add_post("/v1/completions", self._respond)
        return app

    async def _respond(self, req: web.Request) -> web.StreamResponse:
        self._number += 1
        request_id = f"{self._number:08d}"
        trace_id = req.headers["Trace-Id"]
        is_resend = trace_id.endswith("-again")
        if is_resend and self._fault is not EntryFault.RUNS_RESENDS:
            return self._refusal(request_id, "yes", "in_progress")
        if self._sheds(req):
            return self._refusal(request_id, "no", "overloaded")
        runs = 2 if self._fault is EntryFault.RUNS_TWICE else 1
        self.log.by_request[request_id] += runs
        self.log.by_trace[trace_id] += runs
        if self._fault is EntryFault.CLAIMS_NOT_RUN:
            return self._refusal(request_id, "no", "no_backend_server")
        if self._fault is EntryFault.LOSES_CONNECTION:
            req.transport.abort()
            raise asyncio.CancelledError
        if self._fault is EntryFault.STAYS_SILENT:
            await asyncio.sleep(SILENCE_S)
        return await self._stream(req, request_id)

    def _sheds(self, req: web.Request) -> bool:
        sheds = self._fault is EntryFault.SHEDS_HIGHER_TIER
        return sheds and req.headers["Fuchsiacroft-Tier"] == "high"

    def _refusal(self, request_id: str, ran: str, reason: str) -> web.Response:
        problem = {"type": f"urn:fuchsiacroft:problem:{reason}", "ran": ran}
        headers = {"Fuchsiacroft-Request-Id": request_id}
        return web.json_response(problem, status=503, headers=headers)

    async def _stream(self, req: web.Request, request_id: str) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Fuchsiacroft-Request-Id": request_id})
        await response.prepare(req)
        text = "99999999" if self._fault is EntryFault.MIXES_RESPONSES else request_id
        tokens = TOKENS - (self._fault is EntryFault.TRUNCATES)
        for i in range(tokens):
            body = f'data: {{"choices":[{{"text":"{text}-{i} "}}]}}\n\n'
            await response.write(body.encode())
            await asyncio.sleep(0.3 if self._is_slow else 0.001)
        if self._fault is EntryFault.ABORTS_STREAM:
            req.transport.abort()
            return response
        await response.write(b"data: [DONE]\n\n")
        return response

    @property
    def _is_slow(self) -> bool:
        return self._fault is EntryFault.SHEDS_HIGHER_TIER
