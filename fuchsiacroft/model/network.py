"""An in-memory network with seeded delays, loss, duplication and partitions."""

import asyncio
import math
import random
from collections import Counter
from functools import partial

import msgspec
from expression import Error, Ok, Result

from fuchsiacroft.transport import codec
from fuchsiacroft.transport.bus import Bus, BusError, Handler
from fuchsiacroft.transport.handlers import Handlers
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.tasks import BackgroundTasks


class MemoryNetwork:
    """Delivers encoded messages between the buses of one simulation or test."""

    def __init__(self, seed: int = 0, delay: tuple[float, float] = (0.001, 0.002)):
        self.random = random.Random(seed)
        self.delay = delay
        self.loss = 0.0
        self.duplication = 0.0
        self.cut_links: set[tuple[str, str]] = set()
        self.late_s: dict[str, float] = {}
        """By how much the process at an address is late to handle what it receives."""
        self.buses: dict[str, MemoryBus] = {}
        self.counts: Counter[str] = Counter()

    def bus(self, node: str, address: str) -> "MemoryBus":
        """Create a bus; it replaces an earlier one at the same address."""
        bus = MemoryBus(self, node, address)
        self.buses[address] = bus
        return bus

    def partition(self, first: str, second: str) -> None:
        """Lose every message between two addresses, both ways."""
        self.cut_links |= {(first, second), (second, first)}

    def heal(self) -> None:
        """Deliver messages again on every link."""
        self.cut_links.clear()

    async def deliver(self, source: str, target: str, data: bytes) -> None:
        """Deliver one message after its delay, unless it is lost."""
        if self.random.random() < self.loss:
            return
        late_s = self.late_s.get(target, 0.0)
        await asyncio.sleep(self.random.uniform(*self.delay) + late_s)
        if (source, target) in self.cut_links or source not in self.buses:
            return
        bus = self.buses.get(target)
        if bus is not None:
            self.counts["messages"] += 1
            self.counts["bytes"] += len(data)
            bus.receive(source, data)


class MemoryBus(Bus):
    """The bus of one process on a `MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, node: str, address: str) -> None:
        self._network = network
        self._node = node
        self._address = address
        self._pending_requests: dict[int, asyncio.Future] = {}
        self._last_number = 0
        self._replied_at: dict[str, float] = {}
        self._tasks = BackgroundTasks(f"bus-{node}")
        self._handlers = Handlers(self._tasks)

    def skip_numbers(self, number: int) -> None:
        """Continue the numbering of requests after `number`."""
        self._last_number = number

    def register_handler(
        self, message_type: type[msgspec.Struct], handler: Handler
    ) -> None:
        """Register the handler for one message type."""
        self._handlers.register(message_type, handler)

    async def request(
        self, peer: str, msg: msgspec.Struct, timeout: float
    ) -> Result[msgspec.Struct, BusError]:
        """Send a message and wait for its reply."""
        self._last_number += 1
        number = self._last_number
        encoded = codec.encode(msg, number, False, self._node)
        if isinstance(encoded, codec.CodecError):
            return Error(BusError.NOT_SENT)
        fut = asyncio.get_running_loop().create_future()
        self._pending_requests[number] = fut
        self._transmit(peer, encoded)
        try:
            async with asyncio.timeout(timeout):
                return Ok(await fut)
        except TimeoutError:
            return Error(BusError.NO_ANSWER)
        finally:
            self._pending_requests.pop(number, None)

    def send(self, peer: str, msg: msgspec.Struct, *, probes: bool = True) -> None:
        """Send a message that has no reply."""
        self._transmit(peer, codec.encode(msg, 0, False, self._node))

    def replied_at(self, peer: str) -> float:
        """Return when a reply of a peer last arrived, minus infinity if none has."""
        return self._replied_at.get(peer, -math.inf)

    async def stop(self) -> None:
        """Disconnect this bus and drop the messages that it was sending."""
        if self._network.buses.get(self._address) is self:
            del self._network.buses[self._address]
        await self._tasks.cancel()

    def receive(self, source: str, data: bytes) -> None:
        """Receive one message from the network."""
        envelope, msg = codec.decode(data)
        if not envelope.reply:
            send_reply = partial(self._reply, source, envelope)
            self._handlers.handle(envelope.sender, msg, send_reply)
            return
        self._replied_at[source] = now()
        fut = self._pending_requests.get(envelope.number)
        if fut is not None and not fut.done():
            fut.set_result(msg)

    def _reply(
        self, source: str, envelope: codec.Envelope, reply: msgspec.Struct
    ) -> None:
        if envelope.number:
            encoded = codec.encode(reply, envelope.number, True, self._node)
            self._transmit(source, encoded)

    def _transmit(self, peer: str, encoded: bytes | codec.CodecError) -> None:
        """Deliver a message; one that can't be encoded isn't sent."""
        if isinstance(encoded, codec.CodecError):
            return
        copies = 2 if self._network.random.random() < self._network.duplication else 1
        for _ in range(copies):
            self._tasks.spawn(self._network.deliver(self._address, peer, encoded))
