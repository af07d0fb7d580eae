"""The operator of the soak, which submits configurations and reads them back."""

import asyncio

import aiohttp
import msgspec

from fuchsiacroft.tests.fakes.platform_region import config
from fuchsiacroft.tests.fakes.platform_wire import CONTROL_PORT
from fuchsiacroft.tests.soak.callers import ROUTES
from fuchsiacroft.tests.soak.fleet import Program
from fuchsiacroft.tests.soak.invariants import QUOTA_BURST, QUOTA_PER_S
from fuchsiacroft.tests.soak.metered_caller import METERED_KEY
from fuchsiacroft.tests.soak.observations import Observations, VersionRead

READ_PERIOD_S = 0.3
CALL_TIMEOUT_S = 1.0
RESEND_PERIOD_S = 0.2
KEPT_ROUTES = 3
"""Number of versions for which a route that was added stays."""


class Operator:
    """Submits versions one after the other, each until it is acknowledged."""

    def __init__(self, controls: list[Program], observations: Observations) -> None:
        self._controls = controls
        self._observations = observations
        self._now = asyncio.get_running_loop().time
        self._version = 0
        self._submit_lock = asyncio.Lock()

    async def configure(self) -> None:
        """Submit the next version, and resend it until it is acknowledged.

        Each version adds a route.
        """
        async with self._submit_lock:
            self._version += 1
            body = msgspec.json.encode(document(self._version))
            number = 0
            while await self._call("PUT", number, body) != 200:
                number += 1
                await asyncio.sleep(RESEND_PERIOD_S)
            self._observations.acknowledged.append((self._now(), self._version))

    async def submit_faulty(self) -> None:
        """Submit an invalid configuration, which must not be acknowledged."""
        faulty = document(self._version + 1)
        faulty["routes"][0]["service"] = "nobody"
        for number in range(len(self._controls)):
            status = await self._call("PUT", number, msgspec.json.encode(faulty))
            if status == 200:
                self._observations.wrongly_accepted.append(
                    f"an invalid version {self._version + 1} was acknowledged"
                )

    def has_read(self, member: Program, since: float) -> bool:
        """Return whether a read sent since a time got a version from a member."""
        return any(
            read.member == member.ip and read.sent_at >= since
            for read in self._observations.version_reads
        )

    async def poll_versions(self) -> None:
        """Poll every control member for its current version."""
        while True:
            reads = (
                self._read_version(number) for number in range(len(self._controls))
            )
            await asyncio.gather(*reads)
            await asyncio.sleep(READ_PERIOD_S)

    async def _read_version(self, number: int) -> None:
        sent_at = self._now()
        body: list[bytes] = []
        if await self._call("GET", number, None, body) == 200:
            version = msgspec.json.decode(body[0])["version"]
            member = self._controls[number].ip
            self._observations.version_reads.append(
                VersionRead(member, sent_at, version)
            )

    async def _call(
        self, method: str, number: int, data: bytes | None, got: list | None = None
    ) -> int:
        """Return the status of a call, 0 if there was no response."""
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
    """Return a version of the configuration, with the routes of the last ones."""
    configuration = config(version)
    metered = {
        "name": "metered",
        "apiKeys": [METERED_KEY],
        "ratePerS": QUOTA_PER_S,
        "burst": QUOTA_BURST,
    }
    configuration["tenants"].append(metered)
    routes = configuration["routes"]
    for route in routes:
        route["timeoutMs"] = ROUTES[route["name"]][2] * 1000
    for added in range(max(version - KEPT_ROUTES, 0), version + 1):
        name = f"added-{added}"
        routes.append(routes[0] | {"name": name, "pathPrefix": added_prefix(added)})
    return configuration


def added_prefix(version: int) -> str:
    """Return the path prefix of the route that a version added."""
    return f"/added-{version}/"
