"""Tests of requests through the gateway to working and failing replicas."""

import asyncio
import socket
import struct

from fuchsiacroft.placing.coordinator import Coordinator
from fuchsiacroft.tests.fakes.platform_region import (
    PlatformTestCase,
    config,
    read_response,
)
from fuchsiacroft.tests.fakes.platform_wire import HOST
from fuchsiacroft.tests.fakes.replica import (
    LAST_CHUNK,
    SEAL_HEADER,
    chunk,
    response,
    response_head,
    sse_events,
    stream_head,
    unframed_head,
)

STREAM_TIMEOUT_S = 4.0
"""The longest time of a stream on the region's routes."""


async def not_executed(req, writer):
    """Refuse the request without running it."""
    writer.write(response(req, b"", "503 Busy", "Fuchsiacroft-Not-Executed: 1"))


async def failing(req, writer):
    """Run the request and respond with an error."""
    writer.write(response(req, b"sorry", "500 Error"))


async def truncated(req, writer):
    """Abort the connection in the middle of a response."""
    writer.write(response(req, b"0123456789")[:-4])
    await writer.drain()
    writer.transport.abort()


async def unresponsive(req, writer):
    """Accept the request and do not respond."""
    await asyncio.sleep(30)


async def malformed(req, writer):
    """Respond with bytes that are not HTTP."""
    writer.write(b"\x00\x01\x02 what?\r\n\r\n")


async def streaming(req, writer):
    """Stream the events up to the third, after the caller's last one."""
    first = int(req.get("Last-Event-Id") or 0) + 1
    writer.write(stream_head(req))
    for number in range(first, 4):
        writer.write(chunk(sse_events(number)))
        await writer.drain()
    writer.write(LAST_CHUNK)


class ForwardingTests(PlatformTestCase):
    """Requests and responses are forwarded unchanged."""

    async def test_a_request_reaches_the_replica_as_it_was_sent(self):
        replica = await self.region.add_replica("till")
        await self.region.send_request(
            "/book/a%2Fb//c/?q=1&q=%20x",
            "Fuchsiacroft-Deadline-Ms: 500",
            "X-Other: 1",
            "X-Other: 2",
            "Fuchsiacroft-Tenant: forged",
            "Fuchsiacroft-Hold: h-1",
            "Kv-From: 10.0.0.1:1/x",
            "Connection: X-Hop",
            "X-Hop: mine",
            method="POST",
            body=b"\x00body",
        )
        [got] = replica.received
        self.assertEqual("POST /book/a%2Fb//c/?q=1&q=%20x HTTP/1.1", got.request_line)
        self.assertEqual(b"\x00body", got.body)
        others = [value for name, value in got.headers if name == "X-Other"]
        self.assertEqual(["1", "2"], others)
        self.assertEqual("paysandu", got.get("Fuchsiacroft-Tenant"))
        self.assertEqual("i-1", got.get("Fuchsiacroft-Expect-Replica"))
        self.assertEqual(HOST, got.get("Host"))
        remaining_ms = int(got.get("Fuchsiacroft-Deadline-Ms"))
        self.assertTrue(300 < remaining_ms <= 500, remaining_ms)
        for name in ("X-Api-Key", "Fuchsiacroft-Hold", "Kv-From", "X-Hop"):
            self.assertIsNone(got.get(name), name)

    async def test_a_body_in_chunks_reaches_the_replica_whole(self):
        replica = await self.region.add_replica("till")
        reader, writer = await self.region.connect()
        lines = ("Transfer-Encoding: chunked",)
        writer.write(self.region.encode_request("/stock/1/", *lines))
        writer.write(chunk(b"one ") + chunk(b"two") + LAST_CHUNK)
        self.assertEqual(200, (await read_response(reader)).status)
        self.assertEqual(b"one two", replica.received[0].body)
        writer.close()

    async def test_a_response_keeps_its_seal_and_status(self):
        async def created(req, writer):
            writer.write(response(req, b"made", "201 Created", "X-Mine: 1"))

        await self.region.add_replica("till", created)
        got = await self.region.send_request("/book/1/", method="POST")
        self.assertEqual((201, b"made"), (got.status, got.body))
        self.assertEqual("seal-1", got.headers["fuchsiacroft-replica-seal"])
        self.assertEqual("1", got.headers["x-mine"])

    async def test_a_response_that_ends_with_its_connection_is_complete(self):
        async def unframed(req, writer):
            writer.write(unframed_head(req) + b"until the end")

        await self.region.add_replica("till", unframed)
        got = await self.region.send_request("/book/1/", method="POST")
        self.assertEqual((200, b"until the end"), (got.status, got.body))

    async def test_a_header_within_the_limits_is_forwarded(self):
        replica = await self.region.add_replica("till")
        value = "a" * 12_000  # The configuration allows 16,384 bytes.
        answered = await self.region.send_request("/book/1/", f"X-Long: {value}")
        self.assertEqual(200, answered.status)
        self.assertEqual(value, replica.received[0].get("X-Long"))

    async def test_a_response_without_a_length_that_is_reset_is_incomplete(self):
        async def reset(req, writer):
            writer.write(unframed_head(req) + b"until the")
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()

        await self.region.add_replica("till", reset)
        got = await self.region.send_request("/book/1/", method="POST")
        self.assertEqual(502, got.status)

    async def test_bytes_after_a_response_are_dropped(self):
        async def extra_bytes(req, writer):
            writer.write(response(req, b"fine") + response(req, b"extra"))

        await self.region.add_replica("till", extra_bytes)
        reader, writer = await self.region.connect()
        for _ in range(3):
            writer.write(self.region.encode_request("/stock/1/"))
            self.assertEqual(b"fine", (await read_response(reader)).body)
        writer.close()

    async def test_two_body_lengths_are_refused(self):
        replica = await self.region.add_replica("till")
        got = await self.region.send_request(
            "/stock/1/", "Transfer-Encoding: chunked", "Content-Length: 4"
        )
        self.assertEqual(400, got.status)
        self.assertEqual([], replica.received)


class RefusalTests(PlatformTestCase):
    """Refused requests reach no replica; responses with 503 say when to retry."""

    async def test_unknown_paths_hosts_and_keys(self):
        replica = await self.region.add_replica("till")
        self.assertEqual(404, (await self.region.send_request("/other/")).status)
        self.assertEqual(
            401, (await self.region.send_request("/stock/1/", key="no")).status
        )
        self.assertEqual([], replica.received)

    async def test_a_request_without_a_key_is_refused_though_there_are_no_workspaces(
        self,
    ):
        replica = await self.region.add_replica("till")
        for version, more in enumerate(({}, {"tenants": []}), 2):
            document = config(version)
            del document["tenants"]
            await self.region.put_config(document | more)
            await asyncio.sleep(0.5)
            for key in (None, ""):
                response = await self.region.send_request("/stock/1/", key=key)
                self.assertEqual(200, response.status)
        self.assertEqual(4, len(replica.received))
        for request in replica.received:
            self.assertIsNone(request.get("Fuchsiacroft-Tenant"))

    async def test_a_key_that_no_workspace_has_is_good_where_there_are_none(self):
        replica = await self.region.add_replica("till")
        await self.region.put_config(config(2, tenants=[]))
        await asyncio.sleep(0.5)
        response = await self.region.send_request("/stock/1/", key="key-1")
        self.assertEqual(401, response.status)
        self.assertEqual([], replica.received)

    async def test_a_request_without_a_key_runs_though_there_are_workspaces(self):
        replica = await self.region.add_replica("till")
        response = await self.region.send_request("/stock/1/", key=None)
        self.assertEqual(401, response.status)
        self.assertEqual([], replica.received)

    async def test_a_missing_replica_is_reported_while_the_caller_can_retry(self):
        """Guards against a wait for a replica that leaves no time for a retry."""
        began = asyncio.get_running_loop().time()
        got = await self.region.send_request("/advice/1/", method="POST")
        self.assertLess(asyncio.get_running_loop().time() - began, 2.0)
        self.assertEqual(503, got.status)
        self.assertGreater(float(got.headers["retry-after"]), 0.0)

    async def test_a_body_that_is_too_large(self):
        got = await self.region.send_request(
            "/book/1/", method="POST", body=b"x" * 100_001
        )
        self.assertEqual(413, got.status)


class FailureTests(PlatformTestCase):
    """A request is retried only if that is safe."""

    async def test_a_request_that_did_not_run_is_sent_to_another_replica(self):
        await self.region.add_replica("till", not_executed)
        await self.region.add_replica("till")
        for _ in range(4):
            got = await self.region.send_request("/book/1/", method="POST")
            self.assertEqual((200, b"fine"), (got.status, got.body))

    async def test_an_unsafe_request_that_may_have_run_is_not_retried(self):
        for handler in (truncated, malformed, failing):
            with self.subTest(handler.__name__):
                first = await self.region.add_replica("till", handler)
                second = await self.region.add_replica("till", handler)
                got = await self.region.send_request("/book/1/", method="POST")
                self.assertIn(got.status, (500, 502))
                runs = len(first.received) + len(second.received)
                self.assertEqual(1, runs)
                for replica in (first, second):
                    await replica.stop()
                    await self.region.send_heartbeat(replica, "till", "draining")

    async def test_a_safe_request_is_retried_and_answered(self):
        for handler in (truncated, malformed, failing, unresponsive):
            with self.subTest(handler.__name__):
                bad = await self.region.add_replica("till", handler)
                good = await self.region.add_replica("till")
                for _ in range(3):
                    got = await self.region.send_request("/stock/1/")
                    self.assertEqual((200, b"fine"), (got.status, got.body))
                for replica in (bad, good):
                    await replica.stop()
                    await self.region.send_heartbeat(replica, "till", "draining")

    async def test_each_run_is_charged_to_the_quota(self):
        tenants = [
            {
                "name": "paysandu",
                "apiKeys": ["key-1"],
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": 100_000,
                "burst": 100_000,
            }
        ]
        await self.region.put_config(config(3, tenants=tenants))
        await asyncio.sleep(0.3)
        bad = await self.region.add_replica("till", failing)
        good = await self.region.add_replica("till")
        for _ in range(12):
            await self.region.send_request("/stock/1/")
        runs = len(bad.received) + len(good.received)
        self.assertGreater(runs, 12)
        spent = 0.0
        for ip in self.region.entries:
            coordinator = self.region.kernels[ip].get("coordinator", Coordinator)
            current_time = asyncio.get_running_loop().time()
            spent += coordinator.allocator.quotas.spent(current_time).get(
                "paysandu", 0.0
            )
        self.assertEqual(200.0 * runs, spent)

    async def test_a_replicas_error_is_forwarded_after_retries(self):
        await self.region.add_replica("till", failing)
        got = await self.region.send_request("/stock/1/")
        self.assertEqual((500, b"sorry"), (got.status, got.body))
        self.assertIn("fuchsiacroft-replica-seal", got.headers)

    async def test_a_request_ends_at_the_timeout_of_its_route(self):
        await self.region.add_replica("till", unresponsive)
        began_at = asyncio.get_running_loop().time()
        got = await self.region.send_request("/book/1/", method="POST")
        taken_s = asyncio.get_running_loop().time() - began_at
        self.assertEqual(504, got.status)
        self.assertNotIn("retry-after", got.headers)
        self.assertTrue(0.5 < taken_s < 0.9, taken_s)

    async def test_a_client_disconnect_frees_the_replica(self):
        replica = await self.region.add_replica("till", unresponsive)
        reader, writer = await self.region.connect()
        writer.write(self.region.encode_request("/book/1/", method="POST"))
        await asyncio.sleep(0.2)
        writer.close()
        await asyncio.sleep(0.2)
        self.assertEqual(1, replica.closed_early)

    async def test_a_response_to_another_request_is_not_forwarded(self):
        async def mismatched(req, writer):
            writer.write(
                response_head(
                    "200 OK",
                    SEAL_HEADER,
                    "Fuchsiacroft-Attempt-Id: other",
                    "Content-Length: 4",
                )
                + b"them"
            )

        await self.region.add_replica("till", mismatched)
        got = await self.region.send_request("/book/1/", method="POST")
        self.assertEqual(502, got.status)


class StreamTests(PlatformTestCase):
    """Streams end complete, or are visibly incomplete."""

    async def test_a_stream_is_forwarded(self):
        await self.region.add_replica("lens", streaming)
        got = await self.region.send_request("/advice/1/", method="POST")
        self.assertEqual(
            (200, sse_events(1, 2, 3), True), (got.status, got.body, got.complete)
        )
        self.assertEqual("seal-1", got.headers["fuchsiacroft-replica-seal"])

    async def test_events_are_forwarded_as_they_arrive(self):
        async def slow(req, writer):
            writer.write(stream_head(req) + chunk(sse_events(1)))
            await writer.drain()
            await asyncio.sleep(1.0)
            writer.write(chunk(sse_events(2)) + LAST_CHUNK)

        await self.region.add_replica("lens", slow)
        reader, writer = await self.region.connect()
        writer.write(self.region.encode_request("/advice/1/", method="POST"))
        async with asyncio.timeout(0.7):
            await reader.readuntil(b"piece 1\n\n")
        writer.close()

    async def test_a_stream_is_resumed_at_another_replica(self):
        async def breaking(req, writer):
            writer.write(stream_head(req) + chunk(sse_events(1)))
            writer.write(chunk(b"id: 2\ndata: pie"))
            await writer.drain()
            writer.transport.abort()

        bad = await self.region.add_replica("lens", breaking)
        await asyncio.sleep(0.1)
        pending = asyncio.ensure_future(
            self.region.send_request("/report/1/", method="POST")
        )
        while not bad.received:
            await asyncio.sleep(0)
        good = await self.region.add_replica("lens", streaming)
        got = await pending
        if good.received:
            self.assertEqual("1", good.received[0].get("Last-Event-Id"))
            self.assertEqual((sse_events(1, 2, 3), True), (got.body, got.complete))
        else:
            self.assertFalse(got.complete)
        again = await self.region.send_request("/report/1/", method="POST")
        self.assertEqual((sse_events(1, 2, 3), True), (again.body, again.complete))

    async def test_a_stream_that_may_not_be_resumed_ends_incomplete(self):
        async def breaking(req, writer):
            writer.write(stream_head(req) + chunk(sse_events(1)))
            await writer.drain()
            writer.transport.abort()

        first = await self.region.add_replica("lens", breaking)
        second = await self.region.add_replica("lens", breaking)
        got = await self.region.send_request("/advice/1/", method="POST")
        self.assertEqual((sse_events(1), False), (got.body, got.complete))
        self.assertEqual(1, len(first.received) + len(second.received))

    async def test_a_truncated_event_is_not_forwarded(self):
        async def short(req, writer):
            writer.write(stream_head(req) + chunk(sse_events(1)))
            writer.write(chunk(b"id: 2\ndata: pie") + LAST_CHUNK)

        await self.region.add_replica("lens", short)
        got = await self.region.send_request("/advice/1/", method="POST")
        self.assertEqual((sse_events(1), False), (got.body, got.complete))

    async def test_the_clients_last_event_id_is_forwarded(self):
        """All entries have seen only this version for as long as a stream may last."""
        replica = await self.region.add_replica("lens", streaming)
        await asyncio.sleep(STREAM_TIMEOUT_S)
        got = await self.region.send_request(
            "/report/1/", "Last-Event-Id: 2", method="POST"
        )
        self.assertEqual(sse_events(3), got.body)
        self.assertEqual("2", replica.received[0].get("Last-Event-Id"))

    async def test_a_stream_older_than_every_entry_goes_on_by_guess(self):
        replica = await self.region.add_replica("lens", streaming)
        got = await self.region.send_request(
            "/report/1/", "Last-Event-Id: 2", method="POST"
        )
        self.assertEqual((503, []), (got.status, replica.received))
