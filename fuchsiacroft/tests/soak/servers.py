"""Backend servers of the soak, which respond, stream, crash, leave and restart."""

import asyncio
import random
from collections.abc import Callable
from typing import Self

import aiohttp

from fuchsiacroft.tests.fakes import platform_wire
from fuchsiacroft.tests.fakes.proxy import Proxy
from fuchsiacroft.tests.fakes.replica import (
    LAST_CHUNK,
    ReceivedRequest,
    Replica,
    chunk,
    response,
    stream_head,
)
from fuchsiacroft.tests.soak import garbled_answers
from fuchsiacroft.tests.soak.garbled_answers import NOT_RUN, Garble
from fuchsiacroft.tests.soak.invariants import STREAM_EVENTS
from fuchsiacroft.tests.soak.observations import (
    Observations,
    PartCrash,
    PauseRequest,
    Run,
    ServingSpan,
)

HEARTBEAT_PERIOD_S = 0.3
SLOTS = 8
VERSIONS = ("v1", "v2")
"""Software versions; each incarnation of a server has one of them."""
WORK_RANGE_S = (0.002, 0.03)
EVENT_PERIOD_S = 0.02
STREAM = "Content-Type: text/event-stream"
GARBLED_SHARE = 0.5
"""Share of the answers of a garbling server that are garbled."""
SAYING_SERVERS = ("i1", "i2", "i5", "i6")
"""Servers that also say in their answers that they leave."""


class SoakServer:
    """One backend server behind a proxy; `born` distinguishes its incarnations."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        proxy: Proxy,
        observations: Observations,
    ) -> None:
        self.name = name
        self.proxy = proxy
        self.is_busy = False
        self._service = service
        self._zone = zone
        self._clock = asyncio.get_running_loop().time
        self.on_part_crash: Callable[[Self], None] = lambda server: None
        self._observations = observations
        self._rng = random.Random(name)
        self._version_rng = random.Random(f"versions of {name}")
        self._incarnation = 0
        self._sequence = 0
        self._state = "ready"
        self.pause_s = 0.0
        self.limit_per_s: float | None = None
        self.garbles = False
        self._garble_rng = random.Random(f"garbled answers of {name}")
        self._replica: Replica | None = None
        self._heartbeat_task: asyncio.Task | None = None

    @property
    def _says_leaving(self) -> bool:
        """Whether answers say that it leaves; some servers only report it."""
        return self._state == "draining" and self.name in SAYING_SERVERS

    @property
    def instance_id(self) -> str:
        """The name of the current incarnation, which changes at each start."""
        return f"{self.name}-{self._incarnation}"

    async def start(self, address: str, controls: list[str]) -> None:
        """Start a new incarnation and its heartbeats to the control members."""
        self._address, self._controls = address, controls
        self._incarnation += 1
        self._sequence = 0
        self._state = "ready"
        self._version = self._version_rng.choice(VERSIONS)
        self._span = ServingSpan(self._version, self._clock())
        if self._service == "lens":
            self._observations.serving_spans.append(self._span)
        self.pause_s = 0.0
        self.limit_per_s = None
        self.garbles = False
        self._replica = Replica(self.instance_id, address, self._handle_request)
        await self._replica.start()
        self._heartbeat_task = asyncio.ensure_future(self._send_heartbeats())

    async def crash(self) -> None:
        """Abort every connection and stop the heartbeats."""
        self._span.ended_at = min(self._span.ended_at, self._clock())
        self._heartbeat_task.cancel()
        await self._replica.stop()

    async def leave(self) -> None:
        """Report draining until it is acknowledged; requests are still served."""
        self._heartbeat_task.cancel()
        self._state = "draining"
        self._span.ended_at = self._clock()
        instance_id = self.instance_id
        while not await self._send_heartbeat():
            await asyncio.sleep(HEARTBEAT_PERIOD_S)
        self._observations.leaves.append((instance_id, self._clock()))

    async def _send_heartbeats(self) -> None:
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    async def _send_heartbeat(self) -> bool:
        """Send a heartbeat to a random control member; return whether it succeeded."""
        self._sequence += 1
        body = platform_wire.heartbeat(
            self._service,
            self.proxy.listen,
            zone=self._zone,
            slots=SLOTS,
            version=self._version,
            state=self._state,
            sequence=self._sequence,
            born=1_000 + self._incarnation,
        )
        url = (
            f"http://{self._rng.choice(self._controls)}/v1/replicas/{self.instance_id}"
        )
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.put(url, data=body) as response,
            ):
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _handle_request(
        self, req: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        expected = req.get("Fuchsiacroft-Expect-Replica")
        if req.request_line.startswith("GET /v1/report ") and self._service == "lens":
            report = f'{{"born": {1_000 + self._incarnation}}}'.encode()
            writer.write(response(req, report))
            return
        if expected != self.instance_id:
            writer.write(response(req, b"", "421 Misdirected Request"))
            return
        attempt_id = req.get("Fuchsiacroft-Attempt-Id")
        at = self._clock()
        if self.pause_s:
            pause = PauseRequest(attempt_id, self.instance_id, at, at + self.pause_s)
            self._observations.pauses.append(pause)
            lines = (NOT_RUN, f"Retry-After: {self.pause_s:.3f}", *self._notices())
            writer.write(response(req, b"", "503 Busy", *lines))
            return
        self._observations.runs.append(Run(attempt_id, self.instance_id, at, req.body))
        garble = self._next_garble()
        if self._service == "lens":
            await self._stream(req, writer, garble)
            return
        await asyncio.sleep(self._rng.uniform(*WORK_RANGE_S))
        body = f"done {attempt_id}".encode()
        if garble is not None:
            writer.write(garbled_answers.plain(garble, req, body, *self._notices()))
            return
        writer.write(response(req, body, "200 OK", *self._notices()))

    def _next_garble(self) -> Garble | None:
        """Return how the next answer is garbled, None if it is sound."""
        if not self.garbles or self._garble_rng.random() > GARBLED_SHARE:
            return None
        return self._garble_rng.choice(list(Garble))

    def _notices(self) -> tuple[str, ...]:
        lines = ["Server-Leaving: 1"] if self._says_leaving else []
        if self.limit_per_s is not None:
            lines.append(f"Server-Limit: {self.limit_per_s}")
        return tuple(lines)

    def _is_deadly(self, req: ReceivedRequest) -> bool:
        """Record a request with a deadly part; return whether it has one."""
        parts = req.get("Fuchsiacroft-Prefix-Hash") or ""
        for part in self._observations.deadly_parts:
            if part in parts:
                attempt_id = req.get("Fuchsiacroft-Attempt-Id")
                crash = PartCrash(part, attempt_id, self._clock())
                self._observations.part_crashes.append(crash)
                return True
        return False

    async def _stream(
        self, req: ReceivedRequest, writer, garble: Garble | None
    ) -> None:
        first = int(req.get("Last-Event-ID") or 0) + 1
        events = [self._event(number) for number in range(first, STREAM_EVENTS + 1)]
        notices = self._notices()
        is_deadly = self._is_deadly(req)
        if garble in (Garble.REFUSAL_FIRST, Garble.SUCCESS_FIRST):
            writer.write(garbled_answers.foreign(garble))
        elif garble is not None and not is_deadly:
            body = b"".join(events)
            writer.write(garbled_answers.plain(garble, req, body, STREAM, *notices))
            return
        writer.write(stream_head(req, *notices))
        if is_deadly:
            self.on_part_crash(self)
            return
        for data in events:
            writer.write(chunk(data))
            await writer.drain()
            await asyncio.sleep(EVENT_PERIOD_S)
        writer.write(LAST_CHUNK)

    def _event(self, number: int) -> bytes:
        return f"id: {number}\ndata: {self._version}\n\n".encode()
