"""Streams: whole or visibly broken, resumed on the same run, cancelled."""

import asyncio
from unittest import mock

import aiohttp
import msgspec

from fuchsiacroft.standin import application, engine
from fuchsiacroft.tests.fakes.data_plane import AUTHORIZED, DataPlaneTestCase

ASK = {"model": "lens-assistant", "prompt": "kit?", "max_tokens": 20, "stream": True}
ERROR_EVENT = b"event: error\ndata: "


class StreamTests(DataPlaneTestCase):
    """One engine behind the data plane."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.engine = engine.create(engine.EngineSpeed(token_gap_s=0.005))
        self.backend = await self.serve(self.engine.app())

    async def stream(self, **more) -> tuple[bytes, bool]:
        """Return what came, and whether the body ended as it should."""
        headers = AUTHORIZED | more.pop("headers", {})
        body = b""
        async with asyncio.timeout(5):
            async with self.session.post(
                "/v1/completions", json=ASK | more, headers=headers
            ) as res:
                self.request_id = res.headers["Fuchsiacroft-Request-Id"]
                try:
                    async for chunk in res.content.iter_any():
                        body += chunk
                except aiohttp.ClientPayloadError:
                    return body, False
                return body, True

    async def counts(self) -> dict:
        async with self.backend.get("/counts") as res:
            return await res.json()

    def problem(self, body: bytes) -> dict:
        self.assertIn(ERROR_EVENT, body)
        return msgspec.json.decode(body.rpartition(ERROR_EVENT)[2])

    async def ended(self, **expected) -> None:
        await asyncio.sleep(0.1)
        counts = await self.counts()
        self.assertEqual(0, counts["running"])
        self.assertEqual([1], list(counts["started"].values()))
        self.assertEqual(expected.get("cancelled", 0), counts["cancelled"])
        self.assertEqual(1, len(self.scheduler.released), self.scheduler.released)

    async def test_a_broken_stream_is_resumed_on_the_same_run(self):
        await self.backend.post("/fault", json={"break_after": 7, "break_times": 1})
        body, whole = await self.stream()
        self.assertTrue(whole, body)
        events = body.decode().split("\n\n")
        wanted = [f"{self.request_id[:8]}-{i} " for i in range(20)]
        texts = [
            msgspec.json.decode(event[6:])["choices"][0]["text"]
            for event in events[:-2]
        ]
        self.assertEqual(wanted, texts)
        self.assertEqual(["data: [DONE]", ""], events[-2:])
        await self.ended()

    async def test_a_stream_that_cannot_be_resumed_ends_in_an_error(self):
        fault = {"break_after": 7, "forget_runs": True}
        await self.backend.post("/fault", json=fault)
        body, whole = await self.stream()
        self.assertFalse(whole)
        self.assertEqual("yes", self.problem(body)["ran"])
        self.assertEqual([("permit-0", "connection_lost")], self.scheduler.released)
        self.assertEqual(1, sum((await self.counts())["started"].values()))

    async def test_a_stream_without_its_closing_event_is_broken(self):
        await self.backend.post("/fault", json={"drop_done": True})
        body, whole = await self.stream()
        self.assertFalse(whole)
        self.problem(body)

    async def test_a_cut_ends_the_run_and_answers_at_once(self):
        call = asyncio.create_task(self.stream(max_tokens=5_000))
        await self.wait_for(lambda: self.engine.running)
        await asyncio.sleep(0.1)
        self.scheduler.granted[0].preempted.set_result(4.0)
        async with asyncio.timeout(0.5):
            body, whole = await call
        self.assertFalse(whole)
        problem = self.problem(body)
        self.assertEqual(("yes", 4.0), (problem["ran"], problem["retry_after_s"]))
        await self.ended(cancelled=1)
        self.assertEqual("cut", self.scheduler.released[0][1])

    async def test_a_deadline_ends_the_run(self):
        body, whole = await self.stream(
            max_tokens=5_000, headers={"Fuchsiacroft-Timeout": "0.3"}
        )
        self.assertFalse(whole)
        self.assertEqual("yes", self.problem(body)["ran"])
        await self.ended(cancelled=1)

    async def test_a_caller_that_leaves_ends_the_run(self):
        call = asyncio.create_task(self.stream(max_tokens=5_000))
        await self.wait_for(lambda: self.engine.running)
        await asyncio.sleep(0.1)
        call.cancel()
        await self.wait_for(lambda: self.scheduler.released)
        await self.ended(cancelled=1)

    async def test_a_caller_that_leaves_before_the_head_ends_the_run(self):
        self.engine._speed = engine.EngineSpeed(prefill_tokens_per_s=10)
        call = asyncio.create_task(self.stream(prompt="x" * 400))
        await self.wait_for(lambda: self.engine.running)
        call.cancel()
        await self.wait_for(lambda: self.scheduler.released)
        self.assertEqual([("permit-0", "cancelled")], self.scheduler.released)

    async def test_two_broken_streams_do_not_mix(self):
        await self.backend.post("/fault", json={"break_after": 5, "break_times": 8})
        results = await asyncio.gather(*(self._own_tokens() for _ in range(8)))
        self.assertEqual([(20, 20)] * 8, results)

    async def _own_tokens(self) -> tuple[int, int]:
        async with self.session.post(
            "/v1/completions", json=ASK, headers=AUTHORIZED
        ) as res:
            request_id = res.headers["Fuchsiacroft-Request-Id"]
            body = await res.read()
        return body.count(request_id[:8].encode()), body.count(b'"text"')


class SlowCallerTests(DataPlaneTestCase):
    """A caller that reads too slowly."""

    async def test_it_is_given_up_on(self):
        app = application.create(0.0)
        await self.serve(app.app())
        host, _, port = self.address.rpartition(":")
        with mock.patch("fuchsiacroft.entry.relay.WRITE_TIMEOUT_S", 0.3):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
            writer.write(
                b"GET /services/gateway/bytes/200000000 HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: Bearer key-1\r\n\r\n"
            )
            await self.wait_for(lambda: self.scheduler.released)
        writer.close()
        self.assertEqual([("permit-0", "cancelled")], self.scheduler.released)
