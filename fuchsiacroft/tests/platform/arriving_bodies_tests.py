"""Tests of requests that still arrive while an entry drains."""

import asyncio
import os
import signal
from unittest import mock

import msgspec

from fuchsiacroft.gateway.frontend import Frontend
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.tests.fakes.platform_region import (
    PlatformTestCase,
    Response,
    config,
    read_response,
)
from fuchsiacroft.tests.fakes.replica import response
from fuchsiacroft.tests.fakes.uploads import Framing, send_pieces
from fuchsiacroft.utils import process

PROPAGATION_S = 0.4
DRAIN_TIMEOUT_S = 3.2
SHORT, LONG = "/book/", "/stock/"
"""Routes whose requests end before the stop, and that outlast it."""
TIMEOUTS_MS = {SHORT: 1_500, LONG: 15_000}
PIECES = [b"%04d" % number * 250 for number in range(8)]
BODY = b"".join(PIECES)
MARGIN_S = 0.3
"""Allowed delay of an answer."""


async def measure(req, writer):
    """Respond after 0.2 s with the size of the request's body."""
    await asyncio.sleep(0.2)
    writer.write(response(req, str(len(req.body)).encode()))


async def never(req, writer):
    """Read requests and never respond."""
    await asyncio.sleep(60)


class DrainingTestCase(PlatformTestCase):
    """An entry with a short drain, and connections to it."""

    answer = staticmethod(measure)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        routes = [
            route | {"timeoutMs": self.timeouts_ms().get(route["pathPrefix"], 600)}
            for route in config()["routes"]
        ]
        changed = await self.region.put_config(config(2, routes=routes))
        self.assertEqual(200, changed)
        self.replica = await self.region.add_replica("till", self.answer)
        await asyncio.sleep(0.2)
        self.kernel = self.region.kernels[self.region.entries[0]]
        self.shorten_drain(self.kernel)
        patched = "fuchsiacroft.gateway.frontend.READINESS_PROPAGATION_S"
        patch = mock.patch(patched, PROPAGATION_S)
        patch.start()
        self.addCleanup(patch.stop)

    def timeouts_ms(self) -> dict[str, int]:
        """Return the timeouts of the routes that differ from the others."""
        return TIMEOUTS_MS

    def shorten_drain(self, kernel: Kernel) -> None:
        """Let an entry drain for a short time."""
        frontend = kernel.get("front", Frontend)
        frontend._settings = msgspec.structs.replace(
            frontend._settings, drain_timeout_s=DRAIN_TIMEOUT_S
        )

    async def stop(self) -> None:
        """Drain and stop the entry."""
        await self.kernel.drain()
        await self.kernel.stop()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the entry."""
        reader, writer = await self.region.connect()
        self.addCleanup(writer.close)
        return reader, writer

    def head(self, path: str, *lines: str) -> bytes:
        """Return a request's head."""
        whole = self.region.encode_request(path, *lines, method="POST")
        return whole.replace(b"Content-Length: 0\r\n", b"")

    def head_of(self, path: str, framing: Framing = Framing.LENGTH) -> bytes:
        """Return the head of a request with the body of the tests."""
        return self.head(path, *framing.header_lines(PIECES))

    async def upload(
        self, path: str, framing: Framing = Framing.LENGTH, period_s: float = 0.1
    ) -> Response:
        """Send a request slowly on a new connection and return its response."""
        reader, writer = await self.connect()
        writer.write(self.head_of(path, framing))
        if framing is Framing.EXPECT:
            self.assertEqual(100, (await read_response(reader)).status)
        await send_pieces(writer, PIECES, period_s, framing)
        return await self.read(reader)

    async def read(self, reader: asyncio.StreamReader) -> Response:
        """Read a response, which must come before the process ends."""
        async with asyncio.timeout(DRAIN_TIMEOUT_S + 2 * MARGIN_S):
            return await read_response(reader)


class ArrivingBodyTests(DrainingTestCase):
    """What arrives while an entry drains is served or refused, and never dropped."""

    async def test_a_body_that_arrives_while_an_entry_drains_is_dropped(self):
        uploads = [asyncio.ensure_future(self.upload(SHORT, kind)) for kind in Framing]
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(self.stop())
        for kind, got in zip(Framing, await asyncio.gather(*uploads), strict=True):
            with self.subTest(kind):
                self.assertEqual((200, b"8000"), (got.status, got.body))
        await stopping

    async def test_a_body_on_a_kept_connection_is_dropped(self):
        reader, writer = await self.connect()
        writer.write(self.region.encode_request(SHORT, method="POST"))
        self.assertEqual(200, (await self.read(reader)).status)
        stopping = asyncio.ensure_future(self.stop())
        await asyncio.sleep(0.05)
        writer.write(self.head_of(SHORT))
        await send_pieces(writer, PIECES, 0.1)
        self.assertEqual(b"8000", (await self.read(reader)).body)
        self.assertEqual(b"", await reader.read())
        await stopping

    async def test_a_drain_that_begins_at_some_step_of_a_request_loses_it(self):
        whole = self.head_of(SHORT) + BODY
        head_size = len(whole) - len(BODY)
        conns = {}
        for size in (0, 1, head_size - 2, head_size, head_size + 1, len(whole) - 1):
            conns[size] = await self.connect()
            conns[size][1].write(whole[:size])
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(self.stop())
        await asyncio.sleep(PROPAGATION_S + 0.2)
        for size, (_, writer) in conns.items():
            writer.write(whole[size:])
        for size, (reader, _) in conns.items():
            with self.subTest(size):
                self.assertEqual(b"8000", (await self.read(reader)).body)
        await stopping

    async def test_requests_behind_one_in_progress_are_read_and_not_answered(self):
        reader, writer = await self.connect()
        writer.write(self.head_of(SHORT) + PIECES[0])
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(self.stop())
        await asyncio.sleep(PROPAGATION_S + 0.1)
        behind = self.region.encode_request(SHORT, method="POST")
        writer.write(b"".join(PIECES[1:]) + behind + behind)
        bodies = [(await self.read(reader)).body for _ in range(3)]
        self.assertEqual([b"8000", b"0", b"0"], bodies)
        self.assertEqual(b"", await reader.read())
        await stopping

    async def test_a_head_that_is_not_complete_at_the_end_gets_no_answer(self):
        reader, writer = await self.connect()
        writer.write(self.region.encode_request(SHORT, method="POST"))
        self.assertEqual(200, (await self.read(reader)).status)
        writer.write(self.head_of(SHORT)[:-2])
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(self.stop())
        self.assertEqual(408, (await self.read(reader)).status)
        await stopping

    async def test_a_second_stop_signal_and_a_reload_end_a_drain_early(self):
        await self.kernel.stop()
        ip = self.region.entries[0]
        self.kernel = self.region.create_process(ip)
        self.shorten_drain(self.kernel)
        loop = asyncio.get_running_loop()
        for number in (*process.STOP_SIGNALS, signal.SIGHUP):
            self.addCleanup(loop.remove_signal_handler, number)
        serving = asyncio.ensure_future(process.serve(self.kernel, "entry"))
        async with asyncio.timeout(5):
            while await self.region.readiness(ip) != 200:
                await asyncio.sleep(0.05)
        upload = asyncio.ensure_future(self.upload(SHORT))
        await asyncio.sleep(0.1)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            os.kill(os.getpid(), number)
            await asyncio.sleep(0.15)
        self.assertEqual(b"8000", (await upload).body)
        await serving


class RefusedBodyTests(DrainingTestCase):
    """Requests that the entry can't serve before it stops are told so, and truly."""

    answer = staticmethod(measure)

    def assert_refused(self, got: Response) -> None:
        self.assertEqual(503, got.status)
        self.assertLess(float(got.headers["retry-after"]), 0.2)
        self.assertEqual([], self.replica.received)

    async def test_an_upload_is_reset_after_its_refusal(self):
        reader, writer = await self.connect()
        writer.write(self.head_of(LONG))
        sending = asyncio.ensure_future(send_pieces(writer, PIECES, 0.2))
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(self.stop())
        async with asyncio.timeout(PROPAGATION_S + MARGIN_S):
            self.assert_refused(await read_response(reader))
        await sending
        writer.write(self.region.encode_request(SHORT, method="POST"))
        self.assertIn((await self.read(reader)).status, (200, 503))
        self.assertEqual(b"", await reader.read())
        await stopping

    async def test_an_upload_that_begins_late_is_reset_after_its_refusal(self):
        stopping = asyncio.ensure_future(self.stop())
        reader, writer = await self.connect()
        await asyncio.sleep(PROPAGATION_S + 0.1)
        writer.write(self.head_of(LONG))
        await send_pieces(writer, PIECES, 0.15)
        self.assert_refused(await self.read(reader))
        await stopping

    async def test_a_body_that_stops_arriving_gets_no_answer(self):
        conns = [(path, *await self.connect()) for path in TIMEOUTS_MS]
        for path, _, writer in conns:
            writer.write(self.head_of(path) + PIECES[0])
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(self.stop())
        for path, reader, _ in conns:
            with self.subTest(path):
                self.assert_refused_or_timed_out(await self.read(reader))
        await stopping

    def assert_refused_or_timed_out(self, got: Response) -> None:
        self.assertEqual(503, got.status)
        self.assertEqual([], self.replica.received)

    async def test_a_body_that_is_too_slow_is_told_so_at_the_end(self):
        pieces = [b"x" * 1_000] * 80
        reader, writer = await self.connect()
        writer.write(self.head(LONG, *Framing.LENGTH.header_lines(pieces)))
        sending = asyncio.ensure_future(send_pieces(writer, pieces, 0.1))
        await asyncio.sleep(1.1)
        stopping = asyncio.ensure_future(self.stop())
        async with asyncio.timeout(PROPAGATION_S / 2):
            self.assert_refused(await read_response(reader))
        sending.cancel()
        writer.close()
        await stopping

    async def test_a_refused_caller_is_told_to_continue(self):
        stopping = asyncio.ensure_future(self.stop())
        reader, writer = await self.connect()
        await asyncio.sleep(PROPAGATION_S + 0.1)
        writer.write(self.head_of(LONG, Framing.EXPECT))
        got = await self.read(reader)
        self.assert_refused(got)
        self.assertEqual("close", got.headers["connection"])
        async with asyncio.timeout(MARGIN_S):
            self.assertEqual(b"", await reader.read())
        writer.close()
        await stopping


class OutlastingRequestTests(DrainingTestCase):
    """A server that does not answer before the entry stops."""

    answer = staticmethod(never)

    async def test_a_request_that_outlasts_the_stop_is_reset(self):
        reader, writer = await self.connect()
        writer.write(self.head_of(LONG) + BODY)
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(self.stop())
        self.assertEqual(504, (await self.read(reader)).status)
        self.assertEqual(1, len(self.replica.received))
        await stopping
