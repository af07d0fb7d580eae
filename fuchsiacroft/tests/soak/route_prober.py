"""Sends each entry requests on the route that the newest version added."""

import asyncio

from fuchsiacroft.tests.fakes import platform_wire
from fuchsiacroft.tests.fakes.platform_wire import DATA_PORT, read_head
from fuchsiacroft.tests.soak.observations import Observations, RouteProbe
from fuchsiacroft.tests.soak.operator import added_prefix

PROBE_PERIOD_S = 0.2
PROBE_TIMEOUT_S = 2.0


class RouteProber:
    """Records how every entry answers on the newest acknowledged route."""

    def __init__(self, entries: list[str], observations: Observations) -> None:
        self._entries = entries
        self._observations = observations
        self._now = asyncio.get_running_loop().time
        self._sent = 0

    async def probe(self) -> None:
        """Probe every entry periodically, and don't wait for slow ones."""
        probes: set[asyncio.Task] = set()
        try:
            while True:
                for entry in self._entries:
                    task = asyncio.ensure_future(self._probe_entry(entry))
                    probes.add(task)
                    task.add_done_callback(probes.discard)
                await asyncio.sleep(PROBE_PERIOD_S)
        finally:
            for task in probes:
                task.cancel()

    async def _probe_entry(self, entry: str) -> None:
        version = max(version for _, version in self._observations.acknowledged)
        sent_at = self._now()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                status = await self._send(entry, added_prefix(version))
        except (OSError, EOFError, TimeoutError, ValueError):
            return  # Whether entries answer at all is checked elsewhere.
        self._observations.route_probes.append(
            RouteProbe(entry, version, sent_at, status)
        )

    async def _send(self, entry: str, prefix: str) -> int:
        """Send a request with no key, which is refused on a route that is known."""
        reader, writer = await asyncio.open_connection(entry, DATA_PORT)
        self._sent += 1
        try:
            writer.write(
                platform_wire.encode_request("GET", f"{prefix}x", f"probe-{self._sent}")
            )
            return (await read_head(reader))[0]
        finally:
            writer.close()
