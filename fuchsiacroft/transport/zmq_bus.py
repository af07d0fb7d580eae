"""The bus over ZeroMQ: a ROUTER that listens and a DEALER for each peer."""

import asyncio
import itertools
from collections import Counter

import msgspec
import zmq
import zmq.asyncio
from expression import Error, Ok, Result

from fuchsiacroft.kernel import Kernel
from fuchsiacroft.transport import codec
from fuchsiacroft.transport.bus import Bus, BusError, Handler
from fuchsiacroft.utils.tasks import TaskGroup

SEND_QUEUE_MESSAGES = 10_000
HANDSHAKE_TIMEOUT_MS = 5_000
RECONNECT_MS = 100
RECONNECT_MAX_MS = 400


class ZmqBus(Bus):
    """Listens on one address and keeps one connection to each peer used."""

    def __init__(self, node: str, address: str) -> None:
        self._node = node
        self._address = address
        self._ctx = zmq.asyncio.Context()
        self._router: zmq.asyncio.Socket | None = None
        self._dealers: dict[str, zmq.asyncio.Socket] = {}
        self._handlers: dict[type, Handler] = {}
        self._waiting: dict[int, asyncio.Future] = {}
        self._numbers = itertools.count(1)
        self._tasks = TaskGroup("bus")
        self._counts: Counter[str] = Counter()

    async def start(self, kernel: Kernel) -> None:
        """Bind the listening socket and begin to receive."""
        self._router = self._ctx.socket(zmq.ROUTER)
        self._configure(self._router)
        self._router.bind(f"tcp://{self._address}")
        self._tasks.spawn(self._receive_requests(self._router), "bus-router")

    async def stop(self) -> None:
        """Close every socket and fail the requests still waiting."""
        await self._tasks.cancel()
        for fut in self._waiting.values():
            fut.cancel()
        for dealer in self._dealers.values():
            dealer.close(0)
        if self._router is not None:
            self._router.close(0)
        self._ctx.destroy(0)

    def dump(self) -> dict:
        """Return counters and the peers connected to."""
        return {
            "address": self._address,
            "peers": sorted(self._dealers),
            "waiting": len(self._waiting),
            "counts": dict(self._counts),
        }

    def handle(self, kind: type[msgspec.Struct], handler: Handler) -> None:
        """Register the handler for one message type."""
        self._handlers[kind] = handler

    async def request(
        self, peer: str, msg: msgspec.Struct, timeout: float
    ) -> Result[msgspec.Struct, BusError]:
        """Send a message and wait up to `timeout` seconds for its answer."""
        number = next(self._numbers)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[number] = fut
        try:
            if not self._push(peer, codec.encode(msg, number, False, self._node)):
                return Error(BusError.NOT_SENT)
            async with asyncio.timeout(timeout):
                return Ok(await fut)
        except TimeoutError:
            return Error(BusError.NO_ANSWER)
        finally:
            self._waiting.pop(number, None)

    def send(self, peer: str, msg: msgspec.Struct) -> None:
        """Send a message that has no answer; it may be lost."""
        self._push(peer, codec.encode(msg, 0, False, self._node))

    def _push(self, peer: str, data: bytes) -> bool:
        dealer = self._dealers.get(peer) or self._connect(peer)
        sent = dealer.send(data, zmq.DONTWAIT)
        if sent.exception() is not None:
            self._counts["send_queue_full"] += 1
            return False
        self._counts["sent"] += 1
        self._counts["sent_bytes"] += len(data)
        return True

    def _connect(self, peer: str) -> zmq.asyncio.Socket:
        dealer = self._ctx.socket(zmq.DEALER)
        self._configure(dealer)
        dealer.connect(f"tcp://{peer}")
        self._dealers[peer] = dealer
        self._tasks.spawn(self._receive_answers(dealer), f"bus-peer-{peer}")
        return dealer

    def _configure(self, sock: zmq.asyncio.Socket) -> None:
        sock.linger = 0
        sock.sndhwm = SEND_QUEUE_MESSAGES
        sock.rcvhwm = SEND_QUEUE_MESSAGES
        sock.maxmsgsize = codec.MAX_MESSAGE_BYTES
        sock.handshake_ivl = HANDSHAKE_TIMEOUT_MS
        sock.reconnect_ivl = RECONNECT_MS
        sock.reconnect_ivl_max = RECONNECT_MAX_MS

    async def _receive_requests(self, router: zmq.asyncio.Socket) -> None:
        while True:
            frames = await router.recv_multipart()
            if len(frames) != 2:
                self._counts["dropped_malformed"] += 1
                continue
            identity, data = frames
            for envelope, msg in self._decode(data):
                self._tasks.spawn(self._answer(router, identity, envelope, msg))

    async def _receive_answers(self, dealer: zmq.asyncio.Socket) -> None:
        while True:
            data = await dealer.recv()
            for envelope, msg in self._decode(data):
                fut = self._waiting.get(envelope.number)
                if envelope.reply and fut is not None and not fut.done():
                    fut.set_result(msg)

    async def _answer(self, router, identity: bytes, envelope, msg) -> None:
        handler = self._handlers.get(type(msg))
        if handler is None:
            self._counts["dropped_unhandled"] += 1
            return
        answer = await handler(envelope.sender, msg)
        if answer is None or not envelope.number:
            return
        data = codec.encode(answer, envelope.number, True, self._node)
        sent = router.send_multipart([identity, data], zmq.DONTWAIT)
        if sent.exception() is not None:
            self._counts["answer_not_sent"] += 1
            return
        self._counts["sent"] += 1
        self._counts["sent_bytes"] += len(data)

    def _decode(self, data: bytes) -> list[tuple[codec.Envelope, msgspec.Struct]]:
        self._counts["received"] += 1
        self._counts["received_bytes"] += len(data)
        match codec.decode(data):
            case Result(tag="ok", ok=decoded):
                return [decoded]
            case Result(error=reason):
                self._counts[f"dropped_{reason}"] += 1
        return []


def create(node: str, address: str) -> ZmqBus:
    """Return a bus for the node that will listen on `address`."""
    return ZmqBus(node, address)
