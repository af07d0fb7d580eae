"""Tests with a frozen engine and a stopping entry, as separate processes."""

import asyncio
import json
import signal
import tempfile
from pathlib import Path

import aiohttp

from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes import cluster

ENTRY = "entry-mvd-cordon-0"
ENGINE = "engine-mvd-cordon-0"
REQUEST = {
    "model": "lens-assistant",
    "prompt": "kit?",
    "max_tokens": 60,
    "stream": True,
}


class ProcessFaultTests(SocketTestCase):
    """One entry, one control member and one engine, shared by all tests."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        topology = cluster.Topology(
            domains=("mvd-cordon",), entries=(1,), control=1, engines=1, applications=0
        )
        cls.cluster = cluster.create(Path(folder.name), topology)
        cls.addClassCleanup(cls.cluster.stop)
        cls.cluster.start()

    async def asyncSetUp(self):
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        await self.cluster.wait_healthy(self.session)
        document = cluster.sample_document()
        await self.cluster.put_document(self.session, document, 0, "first")
        await self.cluster.wait_in_force(self.session, 1)
        async with asyncio.timeout(10):
            while (await self.stream(max_tokens=1))[0] != 200:
                await asyncio.sleep(0.1)

    async def stream(self, started: asyncio.Event | None = None, **fields):
        """Return the status, the body, and whether the body was complete."""
        url = self.cluster.url(ENTRY, "callers", "/v1/completions")
        headers = {"Authorization": "Bearer key-1"} | fields.pop("headers", {})
        body = b""
        async with self.session.post(
            url, json=REQUEST | fields, headers=headers
        ) as res:
            try:
                async for chunk in res.content.iter_any():
                    body += chunk
                    if started is not None:
                        started.set()
            except aiohttp.ClientPayloadError:
                return res.status, body, False
            return res.status, body, True

    async def during_a_stream(self, fault, **fields):
        started = asyncio.Event()
        call = asyncio.create_task(self.stream(started, **fields))
        async with asyncio.timeout(10):
            await started.wait()
            fault()
            return await call

    async def test_a_response_without_framing_of_a_killed_entry_looks_whole(self):
        """An HTTP/1.0 caller sees no other end than that of the connection."""
        address = self.cluster.url(ENTRY, "callers").removeprefix("http://")
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        body = json.dumps(REQUEST | {"max_tokens": 2_000})
        head = "POST /v1/completions HTTP/1.0\r\nAuthorization: Bearer key-1\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        writer.write(f"{head}\r\n{body}".encode())
        async with asyncio.timeout(10):
            await reader.readuntil(b"data: ")
            self.cluster.kill(ENTRY)
            await asyncio.to_thread(self.cluster.running[ENTRY].wait, 10)
            self.cluster.start(ENTRY)
            with self.assertRaises(ConnectionResetError):
                await reader.read()

    async def test_frozen_engine_times_out(self):
        status, body, complete = await self.during_a_stream(
            lambda: self.cluster.kill(ENGINE, signal.SIGSTOP),
            headers={"Fuchsiacroft-Timeout": "1"},
        )
        self.assertEqual((200, False), (status, complete))
        self.assertIn(b"timed_out", body)
        self.cluster.kill(ENGINE, signal.SIGCONT)

    async def test_stopping_entry_completes_streams(self):
        entry = self.cluster.running[ENTRY]
        status, body, complete = await self.during_a_stream(
            lambda: self.cluster.kill(ENTRY, signal.SIGTERM), max_tokens=200
        )
        self.assertEqual((200, True), (status, complete))
        self.assertEqual(201, body.count(b"data: "))
        self.assertEqual(0, await asyncio.to_thread(entry.wait, 10))
