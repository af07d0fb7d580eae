"""Tests for at-most-once dispatch, and for the execution state in problems."""

import asyncio
import socket

import aiohttp

from fuchsiacroft.membership.server_notices import ServerNotice
from fuchsiacroft.standin import application
from fuchsiacroft.tests.fakes.data_plane import (
    AUTHORIZED,
    DataPlaneTestCase,
    answer_head,
)
from fuchsiacroft.tests.fakes.ports import free_address


async def abort_connection(reader, writer):
    writer.transport.abort()


async def never_respond(reader, writer):
    await reader.read()


class DispatcherTests(DataPlaneTestCase):
    """Which requests reach a backend server, and which response the caller gets."""

    async def call(self, method="GET", path="/services/counter/x", **kwargs):
        headers = AUTHORIZED | kwargs.pop("headers", {})
        async with asyncio.timeout(5):
            async with self.session.request(
                method, path, headers=headers, **kwargs
            ) as res:
                content_type = res.content_type
                body = await (
                    res.json(content_type=content_type)
                    if "json" in content_type
                    else res.read()
                )
                return res, body

    async def test_lost_connection_is_not_retried(self):
        counts = await self.serve_raw(abort_connection)
        self.session._retry_connection = False
        for method in ("GET", "PUT", "DELETE", "POST"):
            with self.subTest(method=method):
                counts.clear()
                res, body = await self.call(method)
                self.assertEqual((502, "maybe"), (res.status, body["ran"]))
                self.assertEqual(1, counts["requests"])

    async def test_what_a_backend_server_says_of_itself_is_lost(self):
        app = application.create(0.0).app()
        backend = await self.serve(app)
        await backend.post("/fault", json={"leaving": True})
        await self.call()
        await backend.post("/fault", json={"limit_per_s": 2.5})
        await self.call()
        await backend.post("/fault", json={"pause_s": 0.5})
        res, _ = await self.call()
        self.assertEqual(503, res.status)
        expected = [
            ServerNotice(is_leaving=True, has_run=True),
            ServerNotice(limit="2.5", has_run=True),
            ServerNotice(retry_after="0.500", has_run=False),
        ]
        self.assertEqual(expected, self.scheduler.notices)

    async def test_a_request_is_sent_although_its_server_said_meanwhile_it_leaves(self):
        counts = await self.serve_raw(never_respond)
        self.scheduler.leaving = True
        res, body = await self.call()
        self.assertEqual((503, "no"), (res.status, body["ran"]))
        self.assertEqual(0, counts["requests"])
        self.assertEqual({"unused"}, {kind for _, kind in self.scheduler.released})

    async def test_refused_connection_is_retried(self):
        self.scheduler.addresses.append(free_address())
        app = application.create(0.0)
        await self.serve(app.app())
        res, _ = await self.call()
        self.assertEqual(200, res.status)
        outcomes = [outcome for _, outcome in self.scheduler.released]
        self.assertEqual(["not_dispatched", "completed"], outcomes)

    async def test_request_to_unreachable_backend_server_did_not_run(self):
        self.scheduler.addresses.append(free_address())
        res, body = await self.call()
        self.assertEqual((503, "no"), (res.status, body["ran"]))
        self.assertIn("Retry-After", res.headers)

    async def test_frozen_backend_server_times_out(self):
        await self.serve_raw(never_respond)
        res, body = await self.call(headers={"Fuchsiacroft-Timeout": "0.2"})
        self.assertEqual((504, "maybe"), (res.status, body["ran"]))
        self.assertEqual([("permit-0", "cancelled")], self.scheduler.released)

    async def test_request_after_connect_timeout_did_not_run(self):
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

    async def test_preemption_before_response_head(self):
        await self.serve_raw(never_respond)
        call = asyncio.create_task(self.call())
        await self.wait_for(lambda: self.scheduler.granted)
        await asyncio.sleep(0.05)
        self.scheduler.granted[0].preempted.set_result(2.4)
        res, body = await call
        self.assertEqual((503, "yes"), (res.status, body["ran"]))
        self.assertEqual("3", res.headers["Retry-After"])
        self.assertEqual([("permit-0", "cut")], self.scheduler.released)

    async def test_plain_service_gets_no_cancel_request(self):
        app = application.create(5.0)
        backend = await self.serve(app.app())
        await self.call(headers={"Fuchsiacroft-Timeout": "0.2"})
        await asyncio.sleep(0.1)
        async with backend.get("/counts") as res:
            counts = await res.json()
        self.assertEqual(1, sum(counts["started"].values()))

    async def test_unframed_response_is_rejected(self):
        async def unframed(req, writer):
            head = answer_head(req.request_id, "200 OK", "Connection: close")
            writer.write(head + b"half")

        await self.serve_requests(unframed)
        res, body = await self.call()
        self.assertEqual((502, "yes"), (res.status, body["ran"]))

    async def test_truncated_response_is_aborted(self):
        app = application.create(0.0)
        backend = await self.serve(app.app())
        await backend.post("/fault", json={"break_after": 2})
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.call(path="/services/counter/bytes/1000000")
        self.assertEqual([("permit-0", "connection_lost")], self.scheduler.released)

    async def test_claimed_run_continues_after_caller_disconnects(self):
        app = application.create(0.3)
        await self.serve(app.app())
        headers = {"Idempotency-Key": "booking-1"}
        path = "/services/counter/bookings"
        call = asyncio.create_task(self.call("POST", path, headers=headers))
        await self.wait_for(lambda: self.scheduler.granted)
        await asyncio.sleep(0.1)
        call.cancel()
        await self.wait_for(lambda: len(self.ledger.calls) == 2)
        (_, claim), (command, settled, response) = self.ledger.calls
        self.assertEqual(("settle", claim, 200), (command, settled, response.status))
        await asyncio.sleep(0)
        self.assertIn('outcome="completed"', self.metrics.render([])[0].decode())
        self.assertEqual([("permit-0", "completed")], self.scheduler.released)

    async def test_an_encoded_answer_is_stored_without_its_encoding(self):
        async def encoded(req, writer):
            line = "Content-Encoding: gzip"
            writer.write(req.answer("201 Created", line, body=b"\x1f\x8b"))

        requests = await self.serve_requests(encoded)
        headers = {"Idempotency-Key": "booking-1", "Accept-Encoding": "gzip"}
        path = "/services/counter/bookings"
        self.session._auto_decompress = False
        res, body = await self.call("POST", path, headers=headers)
        self.assertEqual((201, b"\x1f\x8b"), (res.status, body))
        command, _, stored = self.ledger.calls[-1]
        self.assertEqual(("settle", 201), (command, stored.status))
        self.assertIsNone(stored.body)
        self.assertNotIn(b"accept-encoding", requests[0].head.lower())

    async def test_claim_of_unsent_request_is_released(self):
        self.scheduler.addresses.append(free_address())
        headers = {"Idempotency-Key": "booking-1"}
        path = "/services/counter/bookings"
        res, body = await self.call("POST", path, headers=headers)
        self.assertEqual("no", body["ran"])
        commands = [call[0] for call in self.ledger.calls]
        self.assertEqual(["claim", "release"] * 3, commands)
