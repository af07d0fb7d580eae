"""The operator of the soak: puts configurations in force and reads them back."""

import asyncio

import aiohttp
import msgspec

from fuchsiacroft.tests.fakes.platform_region import config
from fuchsiacroft.tests.fakes.platform_wire import CONTROL_PORT
from fuchsiacroft.tests.soak.callers import ROUTES
from fuchsiacroft.tests.soak.fleet import Program
from fuchsiacroft.tests.soak.observations import Observations, Read

READ_PERIOD_S = 0.3
CALL_TIMEOUT_S = 1.0
RESEND_S = 0.2


class Operator:
    """Sends each version until it is acknowledged, one after the other."""

    def __init__(self, controls: list[Program], seen: Observations) -> None:
        self._controls = controls
        self._seen = seen
        self._now = asyncio.get_running_loop().time
        self._version = 0
        self._turn = asyncio.Lock()

    async def configure(self) -> None:
        """Put the next version in force; resend it until there is a clear answer."""
        async with self._turn:
            self._version += 1
            body = msgspec.json.encode(document(self._version))
            number = 0
            while await self._call("PUT", number, body) != 200:
                number += 1
                await asyncio.sleep(RESEND_S)
            self._seen.acknowledged.append((self._now(), self._version))

    async def refuse(self) -> None:
        """Send a configuration with a fault, which must not be acknowledged."""
        faulty = document(self._version + 1)
        faulty["routes"][0]["service"] = "nobody"
        for number in range(len(self._controls)):
            status = await self._call("PUT", number, msgspec.json.encode(faulty))
            if status == 200:
                self._seen.wrongly_accepted.append(
                    f"a faulty version {self._version + 1} was acknowledged"
                )

    async def read(self) -> None:
        """Read the version in force from every control member, again and again."""
        while True:
            reads = (self._read(number) for number in range(len(self._controls)))
            await asyncio.gather(*reads)
            await asyncio.sleep(READ_PERIOD_S)

    async def _read(self, number: int) -> None:
        sent_at = self._now()
        body: list[bytes] = []
        if await self._call("GET", number, None, body) == 200:
            version = msgspec.json.decode(body[0])["version"]
            member = self._controls[number].ip
            self._seen.reads.append(Read(member, sent_at, version))

    async def _call(
        self, method: str, number: int, data: bytes | None, got: list | None = None
    ) -> int:
        """Return the status of a call, 0 if there was no answer."""
        ip = self._controls[number % len(self._controls)].ip
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        url = f"http://{ip}:{CONTROL_PORT}/v1/config"
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, url, data=data) as response,
            ):
                text = await response.read()
                if got is not None:
                    got.append(text)
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 0


def document(version: int) -> dict:
    """Return a version of the configuration."""
    made = config(version)
    for route in made["routes"]:
        route["timeoutMs"] = ROUTES[route["name"]][2] * 1000
    return made
