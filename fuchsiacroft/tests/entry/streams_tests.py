"""Tests for streams: complete or visibly incomplete, resumed and cancelled."""

import asyncio
from unittest import mock

import aiohttp
import msgspec

from fuchsiacroft.membership.announcement import Announcement, Offer
from fuchsiacroft.standin import application, engine
from fuchsiacroft.tests.fakes.data_plane import AUTHORIZED, BOOT_ID, DataPlaneTestCase

REQUEST = {
    "model": "lens-assistant",
    "prompt": "kit?",
    "max_tokens": 20,
    "stream": True,
}
ANNOUNCEMENT = Announcement(
    name="backend-1",
    boot_id=BOOT_ID,
    failure_domain="domain-1",
    address="127.0.0.1:1",
    offers=(Offer("lens-assistant"),),
    slots=8,
)
ERROR_EVENT = b"event: error\ndata: "


class StreamTests(DataPlaneTestCase):
    """Streams from one engine."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.engine = engine.create(engine.EngineSpeed(token_gap_s=0.005))
        self.engine.describe(ANNOUNCEMENT)
        self.backend = await self.serve(self.engine.app())

    async def stream(self, **fields) -> tuple[bytes, bool]:
        """Return the body, and whether it was complete."""
        headers = AUTHORIZED | fields.pop("headers", {})
        body = b""
        async with asyncio.timeout(5):
            async with self.session.post(
                "/v1/completions", json=REQUEST | fields, headers=headers
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

    async def check_run_ended(self, **expected) -> None:
        await asyncio.sleep(0.1)
        counts = await self.counts()
        self.assertEqual(0, counts["running"])
        self.assertEqual([1], list(counts["started"].values()))
        self.assertEqual(expected.get("cancelled", 0), counts["cancelled"])
        self.assertEqual(1, len(self.scheduler.released), self.scheduler.released)
        self.assertEqual(["permit-0"], self.scheduler.first_tokens)

    async def test_lost_stream_is_resumed_on_the_same_run(self):
        await self.backend.post("/fault", json={"break_after": 7, "break_times": 1})
        body, complete = await self.stream()
        self.assertTrue(complete, body)
        events = body.decode().split("\n\n")
        expected_texts = [f"{self.request_id[:8]}-{i} " for i in range(20)]
        texts = [
            msgspec.json.decode(event[6:])["choices"][0]["text"]
            for event in events[:-2]
        ]
        self.assertEqual(expected_texts, texts)
        self.assertEqual(["data: [DONE]", ""], events[-2:])
        await self.check_run_ended()

    async def test_stream_that_cannot_be_resumed_ends_with_error_event(self):
        fault = {"break_after": 7, "forget_runs": True}
        await self.backend.post("/fault", json=fault)
        body, complete = await self.stream()
        self.assertFalse(complete)
        self.assertEqual("yes", self.problem(body)["ran"])
        self.assertEqual([("permit-0", "connection_lost")], self.scheduler.released)
        self.assertEqual(1, sum((await self.counts())["started"].values()))

    async def test_stream_without_final_event_is_incomplete(self):
        await self.backend.post("/fault", json={"drop_done": True})
        body, complete = await self.stream()
        self.assertFalse(complete)
        self.problem(body)

    async def test_preemption_cancels_the_run(self):
        call = asyncio.create_task(self.stream(max_tokens=5_000))
        await self.wait_for(lambda: self.engine.running)
        await asyncio.sleep(0.1)
        self.scheduler.granted[0].preempted.set_result(4.0)
        async with asyncio.timeout(0.5):
            body, complete = await call
        self.assertFalse(complete)
        problem = self.problem(body)
        self.assertEqual(("yes", 4.0), (problem["ran"], problem["retry_after_s"]))
        await self.check_run_ended(cancelled=1)
        self.assertEqual("cut", self.scheduler.released[0][1])

    async def test_timeout_cancels_the_run(self):
        body, complete = await self.stream(
            max_tokens=5_000, headers={"Fuchsiacroft-Timeout": "0.3"}
        )
        self.assertFalse(complete)
        self.assertEqual("yes", self.problem(body)["ran"])
        await self.check_run_ended(cancelled=1)

    async def test_disconnect_cancels_the_run(self):
        call = asyncio.create_task(self.stream(max_tokens=5_000))
        await self.wait_for(lambda: self.engine.running)
        await asyncio.sleep(0.1)
        call.cancel()
        await self.wait_for(lambda: self.scheduler.released)
        await self.check_run_ended(cancelled=1)

    async def test_disconnect_before_response_head_cancels_the_run(self):
        self.engine._speed = engine.EngineSpeed(prefill_tokens_per_s=10)
        call = asyncio.create_task(self.stream(prompt="x" * 400))
        await self.wait_for(lambda: self.engine.running)
        call.cancel()
        await self.wait_for(lambda: self.scheduler.released)
        self.assertEqual([("permit-0", "cancelled")], self.scheduler.released)

    async def test_resumed_streams_do_not_mix(self):
        await self.backend.post("/fault", json={"break_after": 5, "break_times": 8})
        results = await asyncio.gather(*(self._count_own_tokens() for _ in range(8)))
        self.assertEqual([(20, 20)] * 8, results)

    async def _count_own_tokens(self) -> tuple[int, int]:
        async with self.session.post(
            "/v1/completions", json=REQUEST, headers=AUTHORIZED
        ) as res:
            request_id = res.headers["Fuchsiacroft-Request-Id"]
            body = await res.read()
        return body.count(request_id[:8].encode()), body.count(b'"text"')


class SlowCallerTests(DataPlaneTestCase):
    """A caller that reads its response too slowly."""

    async def test_slow_caller_is_disconnected(self):
        app = application.create(0.0)
        await self.serve(app.app())
        host, _, port = self.address.rpartition(":")
        with mock.patch("fuchsiacroft.entry.body_relay.WRITE_TIMEOUT_S", 0.3):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
            writer.write(
                b"GET /services/gateway/bytes/200000000 HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: Bearer key-1\r\n\r\n"
            )
            await self.wait_for(lambda: self.scheduler.released)
        writer.close()
        self.assertEqual([("permit-0", "cancelled")], self.scheduler.released)
