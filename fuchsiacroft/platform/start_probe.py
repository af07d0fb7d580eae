"""Asks a replica when it started, which is part of all that it says of itself."""

import aiohttp
import msgspec

from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership.start_probe import StartProbe
from fuchsiacroft.platform import header_names

PATH = "/v1/report"
TIMEOUT_S = 0.5
MAX_REPORT_BYTES = 256 * 1024


class Report(msgspec.Struct, frozen=True):
    """What a replica says of itself; `born` is the Unix millisecond of its start."""

    born: int


class ReplicaStartProbe(StartProbe):
    """Reads the replica's own report; only replicas with an engine have one."""

    async def start(self, kernel: Kernel) -> None:
        """Open the HTTP client session."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)

    async def stop(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def ask(self, backend_server: str, address: str) -> str | None:
        """Return the start of the replica with this id at an address."""
        headers = {header_names.EXPECTED_REPLICA: backend_server, "Connection": "close"}
        try:
            async with self._session.get(
                f"http://{address}{PATH}", headers=headers, allow_redirects=False
            ) as res:
                if res.status != 200:
                    return None
                data = await res.content.read(MAX_REPORT_BYTES)
                return str(msgspec.json.decode(data, type=Report).born)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            return None


def create() -> StartProbe:
    """Return the probe of an entry on the platform."""
    return ReplicaStartProbe()
