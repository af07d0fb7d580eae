"""Backend servers of the soak: they answer, stream, crash, leave and come back."""

import asyncio
import random

import aiohttp

from fuchsiacroft.tests.fakes import platform_wire
from fuchsiacroft.tests.fakes.replica import (
    LAST_CHUNK,
    ReceivedRequest,
    Replica,
    chunk,
    response,
    response_head,
    sse_events,
    stream_head,
)
from fuchsiacroft.tests.soak.invariants import EVENTS
from fuchsiacroft.tests.soak.observations import Observations, Run
from fuchsiacroft.tests.soak.proxy import Proxy

BEAT_S = 0.3
SLOTS = 8
WORK_S = (0.002, 0.03)
EVENT_S = 0.02


class SoakServer:
    """One backend server behind a proxy; `born` tells its lives apart."""

    def __init__(
        self, name: str, service: str, zone: str, proxy: Proxy, seen: Observations
    ) -> None:
        self.name = name
        self.proxy = proxy
        self.is_busy = False
        self._service = service
        self._zone = zone
        self._clock = asyncio.get_running_loop().time
        self._seen = seen
        self._rng = random.Random(name)
        self._life = 0
        self._sequence = 0
        self._state = "ready"
        self._replica: Replica | None = None
        self._beating: asyncio.Task | None = None

    @property
    def instance_id(self) -> str:
        """Return the name of this life, new at each start."""
        return f"{self.name}-{self._life}"

    async def start(self, address: str, controls: list[str]) -> None:
        """Begin a life, and tell control of it."""
        self._address, self._controls = address, controls
        self._life += 1
        self._sequence = 0
        self._state = "ready"
        self._replica = Replica(self.instance_id, address, self._behave)
        await self._replica.start()
        self._beating = asyncio.ensure_future(self._beat())

    async def crash(self) -> None:
        """Stop at once, in the middle of everything."""
        self._beating.cancel()
        await self._replica.stop()

    async def leave(self) -> None:
        """Say that it leaves, until that is acknowledged, and serve to the end."""
        self._beating.cancel()
        self._state = "draining"
        life = self.instance_id
        while not await self._tell():
            await asyncio.sleep(BEAT_S)
        self._seen.leaves.append((life, self._clock()))

    async def _beat(self) -> None:
        while True:
            await self._tell()
            await asyncio.sleep(BEAT_S)

    async def _tell(self) -> bool:
        """Send a heartbeat to some control member; return whether it was heard."""
        self._sequence += 1
        body = platform_wire.heartbeat(
            self._service,
            self.proxy.listen,
            zone=self._zone,
            slots=SLOTS,
            state=self._state,
            sequence=self._sequence,
            born=1_000 + self._life,
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

    async def _behave(self, req: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        expected = req.get("Fuchsiacroft-Expect-Replica")
        if expected != self.instance_id:
            writer.write(response_head("421 Misdirected Request", "Content-Length: 0"))
            return
        attempt_id = req.get("Fuchsiacroft-Attempt-Id")
        at = self._clock()
        self._seen.runs.append(Run(attempt_id, self.instance_id, at, req.body))
        if self._service == "lens":
            await self._stream(req, writer)
            return
        await asyncio.sleep(self._rng.uniform(*WORK_S))
        writer.write(response(req, f"done {attempt_id}".encode()))

    async def _stream(self, req: ReceivedRequest, writer) -> None:
        after = int(req.get("Last-Event-ID") or 0)
        writer.write(stream_head(req))
        for number in range(after + 1, EVENTS + 1):
            writer.write(chunk(sse_events(number)))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(LAST_CHUNK)
