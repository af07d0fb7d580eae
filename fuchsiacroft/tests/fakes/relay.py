"""TCP relays between failure domains on loopback, whose links tests can block."""

import asyncio
from collections import defaultdict

BUFFER_BYTES = 64 * 1024


class LinkStates:
    """Which links between failure domains are open, for each direction.

    A blocked link drops no connection: connections stay open but carry no data
    until the link is open again, as with packet loss.
    """

    def __init__(self) -> None:
        self._open: dict[tuple[str, str], asyncio.Event] = defaultdict(_open_event)

    def block(self, source: str, target: str) -> None:
        """Block the link from one failure domain to another."""
        self._open[source, target].clear()

    def isolate(self, domain: str, others: tuple[str, ...]) -> None:
        """Block the links between a domain and the others in both directions."""
        for other in others:
            if other != domain:
                self.block(domain, other)
                self.block(other, domain)

    def heal(self) -> None:
        """Open every link."""
        for event in self._open.values():
            event.set()

    async def wait_open(self, source: str, target: str) -> None:
        """Wait until the link from one failure domain to another is open."""
        await self._open[source, target].wait()


class Relay:
    """Forwards connections from one failure domain to an address in another."""

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
        """Stop listening and close every connection."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _forward(self, reader, writer) -> None:
        await self._links.wait_open(self._source, self._target)
        host, port = self._address.split(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        outbound = self._pump(reader, target_writer, self._source, self._target)
        inbound = self._pump(target_reader, writer, self._target, self._source)
        pumps = [asyncio.ensure_future(outbound), asyncio.ensure_future(inbound)]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            target_writer.close()

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
