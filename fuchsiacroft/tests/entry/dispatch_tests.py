"""Dispatch at most once, and answers that name what ran."""

import asyncio
import socket

import aiohttp

from fuchsiacroft.standin import application
from fuchsiacroft.tests.fakes.data_plane import AUTHORIZED, DataPlaneTestCase
from fuchsiacroft.tests.fakes.ports import free_address


async def close_at_once(reader, writer):
    writer.transport.abort()


async def never_answer(reader, writer):
    await reader.read()


class DispatchTests(DataPlaneTestCase):
    """What is dispatched, and what the caller is told."""

    async def call(self, method="GET", path="/services/counter/x", **more):
        headers = AUTHORIZED | more.pop("headers", {})
        async with asyncio.timeout(5):
            async with self.session.request(
                method, path, headers=headers, **more
            ) as res:
                kind = res.content_type
                body = await (
                    res.json(content_type=kind) if "json" in kind else res.read()
                )
                return res, body

    async def test_a_lost_connection_is_not_dispatched_again(self):
        counts = await self.serve_raw(close_at_once)
        self.session._retry_connection = False
        for method in ("GET", "PUT", "DELETE", "POST"):
            with self.subTest(method=method):
                counts.clear()
                res, body = await self.call(method)
                self.assertEqual((502, "maybe"), (res.status, body["ran"]))
                self.assertEqual(1, counts["requests"])

    async def test_a_refused_connection_is_no_dispatch(self):
        self.scheduler.addresses.append(free_address())
        app = application.create(0.0)
        await self.serve(app.app())
        res, _ = await self.call()
        self.assertEqual(200, res.status)
        outcomes = [outcome for _, outcome in self.scheduler.released]
        self.assertEqual(["not_dispatched", "completed"], outcomes)

    async def test_no_connection_at_all_is_ran_no(self):
        self.scheduler.addresses.append(free_address())
        res, body = await self.call()
        self.assertEqual((503, "no"), (res.status, body["ran"]))
        self.assertIn("Retry-After", res.headers)

    async def test_a_frozen_backend_server_ends_at_the_deadline(self):
        await self.serve_raw(never_answer)
        res, body = await self.call(headers={"Fuchsiacroft-Timeout": "0.2"})
        self.assertEqual((504, "maybe"), (res.status, body["ran"]))
        self.assertEqual([("permit-0", "cancelled")], self.scheduler.released)

    async def test_a_connection_that_never_opens_is_ran_no_at_the_deadline(self):
        full = socket.socket()
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        self.addCleanup(full.close)
        for _ in range(4):
            blocked = socket.socket()
            blocked.setblocking(False)
            blocked.connect_ex(full.getsockname())
            self.addCleanup(blocked.close)
        self.scheduler.addresses.append(f"127.0.0.1:{full.getsockname()[1]}")
        res, body = await self.call(headers={"Fuchsiacroft-Timeout": "0.3"})
        self.assertEqual((504, "no"), (res.status, body["ran"]))

    async def test_a_cut_before_dispatch_or_head_is_answered_at_once(self):
        await self.serve_raw(never_answer)
        call = asyncio.create_task(self.call())
        await self.wait_for(lambda: self.scheduler.granted)
        await asyncio.sleep(0.05)
        self.scheduler.granted[0].preempted.set_result(2.4)
        res, body = await call
        self.assertEqual((503, "yes"), (res.status, body["ran"]))
        self.assertEqual("3", res.headers["Retry-After"])
        self.assertEqual([("permit-0", "cut")], self.scheduler.released)

    async def test_a_plain_service_hears_of_no_cancel(self):
        app = application.create(5.0)
        backend = await self.serve(app.app())
        await self.call(headers={"Fuchsiacroft-Timeout": "0.2"})
        await asyncio.sleep(0.1)
        async with backend.get("/counts") as res:
            counts = await res.json()
        self.assertEqual(1, sum(counts["started"].values()))

    async def test_an_answer_without_framing_is_not_passed_on(self):
        async def unframed(reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
            await writer.drain()

        await self.serve_raw(unframed)
        res, body = await self.call()
        self.assertEqual((502, "yes"), (res.status, body["ran"]))

    async def test_an_answer_cut_short_is_aborted(self):
        app = application.create(0.0)
        backend = await self.serve(app.app())
        await backend.post("/fault", json={"break_after": 2})
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.call(path="/services/counter/bytes/1000000")
        self.assertEqual([("permit-0", "connection_lost")], self.scheduler.released)

    async def test_a_booking_goes_on_when_its_caller_leaves(self):
        app = application.create(0.3)
        await self.serve(app.app())
        headers = {"Idempotency-Key": "booking-1"}
        path = "/services/counter/bookings"
        call = asyncio.create_task(self.call("POST", path, headers=headers))
        await self.wait_for(lambda: self.scheduler.granted)
        await asyncio.sleep(0.1)
        call.cancel()
        await self.wait_for(lambda: len(self.ledger.calls) == 2)
        (_, claim), (told, settled, answer) = self.ledger.calls
        self.assertEqual(("settle", claim, 200), (told, settled, answer.status))
        await asyncio.sleep(0)
        self.assertIn('outcome="completed"', self.metrics.render([])[0].decode())
        self.assertEqual([("permit-0", "completed")], self.scheduler.released)

    async def test_a_claim_whose_request_was_not_sent_is_given_back(self):
        self.scheduler.addresses.append(free_address())
        headers = {"Idempotency-Key": "booking-1"}
        path = "/services/counter/bookings"
        res, body = await self.call("POST", path, headers=headers)
        self.assertEqual("no", body["ran"])
        kinds = [told[0] for told in self.ledger.calls]
        self.assertEqual(["claim", "release"] * 3, kinds)
