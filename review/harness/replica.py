"""A sound replica as the platform's pages describe it."""

import asyncio
import contextlib
import itertools
import json
import time
from collections.abc import Awaitable, Callable

from harness import http, site
from harness.http import Message
from harness.record import Record

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
ACK_TIMEOUT_S = 1.0

Handler = Callable[["Replica", Message, asyncio.StreamWriter], Awaitable[None]]


class Replica:
    """Serves requests on one address, and reports to the control nodes.

    `handle` answers a request that runs. `beat_delay_s` delays each heartbeat on its
    way.
    """

    def __init__(
        self,
        record: Record,
        controls: Callable[[], list[str]],
        *,
        service: str,
        name: str,
        address: str,
        zone: str,
        handle: Handler,
        version: str = "v1",
        slots: int = 6,
    ) -> None:
        self.record = record
        self.controls = controls
        self.service, self.name, self.address = service, name, address
        self.zone, self.handle = zone, handle
        self.version, self.slots = version, slots
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[tuple[float, Message]] = []
        self.beat_delay_s = 0.0
        self.acked_at: float | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None
        self._late: set[asyncio.Task] = set()
        self._turn = itertools.count()

    @property
    def ip(self) -> str:
        """Return the address without the port."""
        return self.address.rpartition(":")[0]

    async def start(self) -> None:
        """Begin a new incarnation: listen and send heartbeats."""
        host, port = self.address.rsplit(":", 1)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._beats = asyncio.ensure_future(self._beat_forever())
        self.record.write(self.name, f"started, version {self.version}")

    async def crash(self) -> None:
        """Reset every connection and stop at once."""
        self.record.write(self.name, "crashed")
        await self._stop()

    async def _stop(self) -> None:
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def stop(self) -> None:
        """Stop at the end of the case."""
        for task in self._late:
            task.cancel()
        if self._server is not None and self._server.is_serving():
            await self._stop()

    async def beat(self) -> bool:
        """Send one heartbeat now; return whether it was acknowledged."""
        self.sequence += 1
        return await self._send(self._body())

    def _body(self) -> bytes:
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        ).encode()

    async def _send(self, body: bytes) -> bool:
        controls = self.controls()
        start = next(self._turn)
        for number in range(len(controls)):
            ip = controls[(start + number) % len(controls)]
            data = http.encode(
                f"PUT /v1/replicas/{self.name} HTTP/1.1",
                f"Host: {ip}:{site.CONTROL_PORT}",
                "Content-Type: application/json",
                "Connection: close",
                body=body,
            )
            answer = await http.call(ip, site.CONTROL_PORT, data, ACK_TIMEOUT_S)
            if answer is not None and 200 <= answer.status < 300:
                return True
        return False

    async def _beat_forever(self) -> None:
        while True:
            self.sequence += 1
            task = asyncio.ensure_future(self._send_late(self._body()))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(site.HEARTBEAT_MS / 1000)

    async def _send_late(self, body: bytes) -> None:
        await asyncio.sleep(self.beat_delay_s)
        await self._send(body)

    async def drain(self) -> None:
        """Report draining until a control node acknowledges it."""
        self.state = "draining"
        self.record.write(self.name, "reports draining")
        while not await self.beat():
            await asyncio.sleep(0.1)
        self.acked_at = self.record.now()
        self.record.write(self.name, "draining is acknowledged")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            request = await http.read_message(reader)
            await self._answer(request, reader, writer)
            await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        attempt = request.get("Fuchsiacroft-Attempt-Id") or ""
        expected = request.get("Fuchsiacroft-Expect-Replica")
        if expected not in (None, self.name):
            self.record.write(self.name, f"421 to {attempt}, meant for {expected}")
            writer.write(
                http.encode(
                    "HTTP/1.1 421 Misdirected Request",
                    "Fuchsiacroft-Not-Executed: 1",
                    f"Fuchsiacroft-Attempt-Id: {attempt}",
                    body=b"",
                )
            )
            return
        self.runs.append((self.record.now(), request))
        self.record.write(self.name, f"runs {attempt} {request.start}")
        handling = asyncio.ensure_future(self.handle(self, request, writer))
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((handling, closed), return_when=asyncio.FIRST_COMPLETED)
        if not handling.done():
            self.record.write(self.name, f"drops {attempt}, connection closed")
        handling.cancel()
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await handling


def head_lines(request: Message) -> tuple[str, ...]:
    """Return the headers that each answer of a replica bears."""
    attempt = request.get("Fuchsiacroft-Attempt-Id")
    return (f"Fuchsiacroft-Attempt-Id: {attempt}", f"Fuchsiacroft-Replica-Seal: {SEAL}")


async def answer_plain(
    replica: Replica, request: Message, writer: asyncio.StreamWriter
) -> None:
    """Answer with a short body after the usual work."""
    await asyncio.sleep(0.02)
    body = f"{replica.service} {replica.name}".encode()
    writer.write(http.encode("HTTP/1.1 200 OK", *head_lines(request), body=body))


def answer_stream(events: int, period_s: float) -> Handler:
    """Return a handler that answers with a stream of events, from `Last-Event-Id` on.

    Each event names the replica and the version of its software.
    """

    async def answer(
        replica: Replica, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(
            http.encode(
                "HTTP/1.1 200 OK",
                *head_lines(request),
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            )
        )
        first = int(request.get("Last-Event-Id") or 0) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(period_s)
            data = f"id: {number}\ndata: {replica.name} {replica.version}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    return answer
