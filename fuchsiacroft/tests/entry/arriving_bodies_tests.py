"""Tests of requests that still arrive while an entry of the product's API drains."""

import asyncio
import itertools
import re
from unittest import mock

import msgspec

from fuchsiacroft.standin import application
from fuchsiacroft.tests.fakes.data_plane import KEY, DataPlaneTestCase
from fuchsiacroft.tests.fakes.uploads import Framing, send_pieces
from fuchsiacroft.utils.http import split_address

PROPAGATION_S = 0.2
DRAIN_TIMEOUT_S = 2.0
MARGIN_S = 0.3
"""Allowed delay of an answer."""
STREAMED, BUFFERED = "/services/counter/x", "/services/counter/bookings/1"
"""Paths whose bodies are passed on as they arrive, and after their end."""
PIECES = [b"%04d" % number * 250 for number in range(8)]

_numbers = itertools.count(1)


class ArrivingBodyTests(DataPlaneTestCase):
    """What arrives while an entry drains is served or refused, and never dropped."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.callers._settings = msgspec.structs.replace(
            self.callers._settings, drain_timeout_s=DRAIN_TIMEOUT_S
        )
        patched = "fuchsiacroft.entry.caller_api.READINESS_PROPAGATION_S"
        patch = mock.patch(patched, PROPAGATION_S)
        patch.start()
        self.addCleanup(patch.stop)
        self.application = application.create(0.1)
        self.backend = await self.serve(self.application.app())

    async def stop(self) -> None:
        await self.callers.drain()
        await self.callers.stop()

    async def connect(self):
        reader, writer = await asyncio.open_connection(*split_address(self.address))
        self.addCleanup(writer.close)
        return reader, writer

    def head(self, path: str, *lines: str) -> bytes:
        start = (
            f"POST {path} HTTP/1.1",
            "Host: x",
            f"Authorization: Bearer {KEY}",
            f"Idempotency-Key: {next(_numbers)}",
        )
        return "\r\n".join((*start, *lines, "", "")).encode()

    async def read(self, reader: asyncio.StreamReader) -> tuple[int, bytes]:
        """Return the status and the body of a response that comes before the end."""
        async with asyncio.timeout(PROPAGATION_S + DRAIN_TIMEOUT_S + MARGIN_S):
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"Content-Length: (\d+)", head)
            body = await reader.readexactly(int(length[1])) if length else b""
        return int(head.split()[1]), body

    async def upload(self, path: str, framing: Framing, period_s: float = 0.1):
        reader, writer = await self.connect()
        writer.write(self.head(path, *framing.header_lines(PIECES)))
        if framing is Framing.EXPECT:
            self.assertEqual(100, (await self.read(reader))[0])
        await send_pieces(writer, PIECES, period_s, framing)
        return await self.read(reader)

    async def started(self) -> int:
        async with self.backend.get("/counts") as res:
            return sum((await res.json())["started"].values())

    async def test_a_body_that_arrives_while_an_entry_drains_is_dropped(self):
        kinds = [(path, kind) for path in (STREAMED, BUFFERED) for kind in Framing]
        uploads = [asyncio.ensure_future(self.upload(*kind)) for kind in kinds]
        await asyncio.sleep(0.15)
        stopping = asyncio.ensure_future(self.stop())
        for kind, got in zip(kinds, await asyncio.gather(*uploads), strict=True):
            with self.subTest(kind):
                self.assertEqual(200, got[0], got)
        self.assertEqual(len(kinds), await self.started())
        await stopping

    async def test_a_body_that_stops_arriving_gets_no_answer(self):
        conns = {path: await self.connect() for path in (STREAMED, BUFFERED)}
        for path, (_, writer) in conns.items():
            lines = Framing.LENGTH.header_lines(PIECES)
            writer.write(self.head(path, *lines) + PIECES[0])
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(self.stop())
        for path, ran in ((STREAMED, "maybe"), (BUFFERED, "no")):
            with self.subTest(path):
                status, body = await self.read(conns[path][0])
                self.assertEqual(503, status)
                self.assertEqual(ran, msgspec.json.decode(body)["ran"])
        await stopping

    async def test_a_body_that_is_too_slow_is_told_so_at_the_end(self):
        reader, writer = await self.connect()
        pieces = [b"x" * 1_000] * 100
        writer.write(self.head(BUFFERED, *Framing.LENGTH.header_lines(pieces)))
        sending = asyncio.ensure_future(send_pieces(writer, pieces, 0.1))
        await asyncio.sleep(1.1)
        stopping = asyncio.ensure_future(self.stop())
        async with asyncio.timeout(MARGIN_S):
            status, body = await self.read(reader)
        self.assertEqual((503, "no"), (status, msgspec.json.decode(body)["ran"]))
        sending.cancel()
        writer.close()
        await stopping

    async def test_an_upload_is_reset_after_its_refusal(self):
        stopping = asyncio.ensure_future(self.stop())
        reader, writer = await self.connect()
        await asyncio.sleep(PROPAGATION_S + 0.1)
        writer.write(self.head(BUFFERED, *Framing.LENGTH.header_lines(PIECES)))
        await send_pieces(writer, PIECES, 0.18)
        self.assertEqual(503, (await self.read(reader))[0])
        writer.write(self.head(STREAMED))
        self.assertEqual(503, (await self.read(reader))[0])
        self.assertEqual(b"", await reader.read())
        await stopping

    async def test_requests_behind_one_in_progress_are_read_and_not_answered(self):
        reader, writer = await self.connect()
        lines = Framing.LENGTH.header_lines(PIECES)
        writer.write(self.head(BUFFERED, *lines) + PIECES[0])
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(self.stop())
        await asyncio.sleep(PROPAGATION_S + 0.1)
        writer.write(b"".join(PIECES[1:]) + 2 * self.head(STREAMED))
        statuses = [(await self.read(reader))[0] for _ in range(3)]
        self.assertEqual([200, 503, 503], statuses)
        self.assertEqual(b"", await reader.read())
        await stopping

    async def test_a_request_that_outlasts_the_stop_gets_no_answer(self):
        self.application._work_s = 60.0
        reader, writer = await self.connect()
        writer.write(self.head(STREAMED))
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(self.stop())
        status, body = await self.read(reader)
        self.assertEqual((503, "maybe"), (status, msgspec.json.decode(body)["ran"]))
        await stopping
