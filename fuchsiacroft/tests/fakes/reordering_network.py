"""An in-memory network that reorders messages, also those of stopped senders."""

import asyncio

from fuchsiacroft.tests.fakes.bus import MemoryBus, MemoryNetwork
from fuchsiacroft.transport import codec
from fuchsiacroft.utils.tasks import BackgroundTasks

NUMBERS_PER_BUS = 1_000_000


class ReorderingNetwork(MemoryNetwork):
    """Delays some messages by up to `max_extra_delay_s`, so others overtake them."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self._bus_count = 0
        self.delay_probability = 0.0
        self.max_extra_delay_s = 3.0
        self.tasks = BackgroundTasks("network")

    def bus(self, node: str, address: str) -> MemoryBus:
        """Return a new bus whose message numbers no earlier bus has used."""
        bus = super().bus(node, address)
        self._bus_count += 1
        bus.skip_numbers(self._bus_count * NUMBERS_PER_BUS)
        return bus

    async def deliver(self, source: str, target: str, data: bytes) -> None:
        """Deliver one message after a delay, even if its sender has stopped by then.

        A reply is dropped if the bus at its target was replaced in the meantime.
        """
        if self.random.random() < self.loss:
            return
        delay = self.random.uniform(*self.delay)
        if self.random.random() < self.delay_probability:
            delay += self.random.uniform(0, self.max_extra_delay_s)
        receiver = self.buses.get(target)
        is_reply = codec.decode(data)[0].reply
        self.tasks.spawn(
            self._deliver(source, target, data, delay, receiver if is_reply else None)
        )

    async def _deliver(
        self,
        source: str,
        target: str,
        data: bytes,
        delay: float,
        reply_receiver: MemoryBus | None,
    ) -> None:
        await asyncio.sleep(delay)
        bus = self.buses.get(target)
        if bus is None or (source, target) in self.cut_links:
            return
        if reply_receiver is None or bus is reply_receiver:
            self.counts["messages"] += 1
            self.counts["bytes"] += len(data)
            bus.receive(source, data)
