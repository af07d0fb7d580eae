"""Relays between failure domains on loopback, whose links tests cut."""

import asyncio
from collections import defaultdict

BUFFER_BYTES = 64 * 1024


class LinkStates:
    """Which directions between failure domains carry bytes.

    A cut link is silent: connections stay open and nothing comes through
    until it is mended, as with lost packets.
    """

    def __init__(self) -> None:
        self._open: dict[tuple[str, str], asyncio.Event] = defaultdict(_open_event)

    def block(self, source: str, target: str) -> None:
        """Carry nothing from one domain to another."""
        self._open[source, target].clear()

    def isolate(self, domain: str, others: tuple[str, ...]) -> None:
        """Carry nothing between a domain and the others, both ways."""
        for other in others:
            if other != domain:
                self.block(domain, other)
                self.block(other, domain)

    def heal(self) -> None:
        """Carry everything again."""
        for event in self._open.values():
            event.set()

    async def wait_open(self, source: str, target: str) -> None:
        """Wait until a direction carries bytes."""
        await self._open[source, target].wait()


class Relay:
    """Passes connections from one domain on to an address in another."""

    def __init__(
        self, links: LinkStates, source: str, target: str, address: str
    ) -> None:
        self._links = links
        self._source = source
        self._target = target
        self._address = address
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, listen: str) -> None:
        """Listen for connections from the source domain."""
        host, port = listen.split(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Close everything."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            await self._pass_on(reader, writer)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _pass_on(self, reader, writer) -> None:
        await self._links.wait_open(self._source, self._target)
        host, port = self._address.split(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        there = self._pump(reader, far_writer, self._source, self._target)
        back = self._pump(far_reader, writer, self._target, self._source)
        pumps = [asyncio.ensure_future(there), asyncio.ensure_future(back)]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            far_writer.close()

    async def _pump(self, reader, writer, source: str, target: str) -> None:
        try:
            while data := await reader.read(BUFFER_BYTES):
                await self._links.wait_open(source, target)
                writer.write(data)
                await writer.drain()
        except OSError:
            return


def _open_event() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event
