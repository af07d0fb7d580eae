"""Each judge fails a replay against an entry that is broken in its way."""

import asyncio
import enum

import msgspec
from aiohttp import web

from fuchsiacroft.model.trace import Arrival
from fuchsiacroft.replay import stated
from fuchsiacroft.replay.player import Door, Player
from fuchsiacroft.replay.stated import RunLog, Stated
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.utils.http import Listener

TOKENS = 5


class Broken(enum.Enum):
    """What is wrong with the entry."""

    NOTHING = "nothing"
    LOSES = "loses"
    CUTS_SHORT = "cuts short"
    MIXES = "mixes"
    RUNS_TWICE = "runs twice"
    RUNS_RESENDS = "runs resends"
    LIES = "lies"
    SHEDS_THE_HIGHER = "sheds the higher"
    BREAKS_OFF = "breaks off"


class BrokenEntry:
    """An entry with a backend server in it, broken in one way."""

    def __init__(self, broken: Broken) -> None:
        self._broken = broken
        self._number = 0
        self.log = RunLog()

    def app(self) -> web.Application:
        app = web.Application()
        app.router.add_post("/v1/completions", self._answer)
        return app

    async def _answer(self, req: web.Request) -> web.StreamResponse:
        self._number += 1
        request_id = f"{self._number:08d}"
        trace_id = req.headers["Trace-Id"]
        is_resend = trace_id.endswith("-again")
        if is_resend and self._broken is not Broken.RUNS_RESENDS:
            return self._refusal(request_id, "yes", "in_progress")
        if self._sheds(req):
            return self._refusal(request_id, "no", "overloaded")
        runs = 2 if self._broken is Broken.RUNS_TWICE else 1
        self.log.by_request[request_id] += runs
        self.log.by_trace[trace_id] += runs
        if self._broken is Broken.LIES:
            return self._refusal(request_id, "no", "no_backend_server")
        if self._broken is Broken.LOSES:
            req.transport.abort()
            raise asyncio.CancelledError
        return await self._stream(req, request_id)

    def _sheds(self, req: web.Request) -> bool:
        sheds = self._broken is Broken.SHEDS_THE_HIGHER
        return sheds and req.headers["Fuchsiacroft-Tier"] == "high"

    def _refusal(self, request_id: str, ran: str, reason: str) -> web.Response:
        problem = {"type": f"urn:fuchsiacroft:problem:{reason}", "ran": ran}
        headers = {"Fuchsiacroft-Request-Id": request_id}
        return web.json_response(problem, status=503, headers=headers)

    async def _stream(self, req: web.Request, request_id: str) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Fuchsiacroft-Request-Id": request_id})
        await response.prepare(req)
        text = "99999999" if self._broken is Broken.MIXES else request_id
        tokens = TOKENS - (self._broken is Broken.CUTS_SHORT)
        for i in range(tokens):
            body = f'data: {{"choices":[{{"text":"{text}-{i} "}}]}}\n\n'
            await response.write(body.encode())
            await asyncio.sleep(0.3 if self._is_slow else 0.001)
        if self._broken is Broken.BREAKS_OFF:
            req.transport.abort()
            return response
        await response.write(b"data: [DONE]\n\n")
        return response

    @property
    def _is_slow(self) -> bool:
        return self._broken is Broken.SHEDS_THE_HIGHER


def arrival(number: int, rank: int, at_s: float, **more) -> Arrival:
    return Arrival(
        at_s=at_s,
        request_id=f"t{number}",
        kind="test",
        service="model",
        rank=rank,
        workspace="w",
        share=1.0,
        timeout_s=5.0,
        prompt_tokens=10,
        output_tokens=TOKENS,
        **more,
    )


class JudgeTests(SocketTestCase):
    """A judge says nothing of a whole system and catches a broken one."""

    async def judged(self, broken: Broken, wanted: Stated) -> list[str]:
        entry = BrokenEntry(broken)
        address = free_address()
        listener = Listener(entry.app(), address)
        await listener.start()
        trace = [arrival(1, 1, 0.0), arrival(2, 0, 0.8), arrival(3, 0, 0.8)]
        trace.append(arrival(4, 0, 0.8, idempotent=False))
        resend = msgspec.structs.replace(
            trace[-1], request_id="t4-again", resend_of="t4", at_s=0.9
        )
        trace.append(resend)
        try:
            doors = [Door(address, "d")]
            player = Player(doors, {"w": "k"}, {0: "high", 1: "low"}, 1)
            outcomes = await player.play(trace)
        finally:
            await listener.stop()
        return stated.judge(wanted, outcomes, entry.log)

    async def test_a_whole_system_is_as_stated(self):
        wanted = Stated(goodput={"0": 0.7, "1": 1.0}, cut=0)
        self.assertEqual([], await self.judged(Broken.NOTHING, wanted))

    async def test_every_judge_catches_the_build_that_is_broken_in_its_way(self):
        expected = {
            Broken.LOSES: "lost",
            Broken.CUTS_SHORT: "short",
            Broken.MIXES: "mixed",
            Broken.RUNS_TWICE: "doubled",
            Broken.RUNS_RESENDS: "doubled",
            Broken.LIES: "false_not_run",
            Broken.SHEDS_THE_HIGHER: "inversions",
            Broken.BREAKS_OFF: "cut",
        }
        for broken, name in expected.items():
            with self.subTest(broken=broken):
                wrong = await self.judged(broken, Stated(cut=0))
                self.assertTrue(any(w.startswith(f"{name}:") for w in wrong), wrong)

    async def test_goodput_below_the_stated_share_is_caught(self):
        wanted = Stated(goodput={"0": 0.9})
        wrong = await self.judged(Broken.LIES, wanted)
        self.assertTrue(any("goodput of rank 0" in w for w in wrong), wrong)
