"""The message bus over ZeroMQ: a listening ROUTER and a DEALER for each peer."""

import asyncio
import itertools
import math
from collections import Counter
from collections.abc import Mapping
from functools import partial

import msgspec
import zmq
import zmq.asyncio
from expression import Error, Ok, Result

from fuchsiacroft.kernel import Kernel
from fuchsiacroft.transport import codec
from fuchsiacroft.transport.bus import Bus, BusError, Handler
from fuchsiacroft.transport.handlers import Handlers
from fuchsiacroft.transport.key_fallback import KeyFallback
from fuchsiacroft.transport.keys import KeyChange, KeyRing
from fuchsiacroft.transport.message_reader import MessageReader
from fuchsiacroft.transport.peer_link import MIN_SILENCE_TIMEOUT_S, PeerLink
from fuchsiacroft.transport.send_queue import QueuedMessage
from fuchsiacroft.transport.zmq_listener import BusListener
from fuchsiacroft.utils.bounded import set_newest
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.rate_limited_log import RateLimitedLog
from fuchsiacroft.utils.running_timeout import running_timeout
from fuchsiacroft.utils.tasks import BackgroundTasks

HIGH_WATER_MARK = 10_000
SEND_TIMEOUT_S = 1.0
HANDSHAKE_TIMEOUT_MS = 5_000
MIN_RECONNECT_MS = 50
MAX_RECONNECT_MS = 400
CONNECT_TIMEOUT_MS = 250
"""A connect is tried anew after this time, as a peer that is down may drop it.

The kernel repeats a lost connect only after a second. A round trip is shorter.
"""
LINK_CLOSE_DELAY_S = 10.0
MAX_NOT_SENT_LINES_PER_S = 5
PROBE_TIMEOUT_S = 0.3
MAX_STILL_S = 1.0
"""A reply is of no use if this process stood still for longer; it may be out of date.
"""
MAX_PEERS_REMEMBERED = 2_000
HEARTBEAT_MS = 30_000
HEARTBEAT_TIMEOUT_MS = 10_000


@codec.message("bus.probe")
class LinkProbe(msgspec.Struct, frozen=True):
    """Requests the same message as a reply."""


class ZmqBus(Bus):
    """Listens on one address and keeps one connection to each peer in use."""

    def __init__(
        self,
        node: str,
        address: str,
        ring: KeyRing | None,
        tunnels: Mapping[str, str],
    ) -> None:
        self._node = node
        self._address = address
        self._tunnels = tunnels
        self._ctx = zmq.asyncio.Context()
        self._ring = ring if ring is not None and ring.enabled else None
        self._listener: BusListener | None = None
        self._links: dict[str, PeerLink] = {}
        self._pending: dict[int, asyncio.Future] = {}
        self._numbers = itertools.count(1)
        self._tasks = BackgroundTasks("bus")
        self._handlers = Handlers(self._tasks)
        self._handlers.register(LinkProbe, self._on_probe)
        self._counts: Counter[str] = Counter()
        self._received: Counter[str] = Counter()
        self._replied_at: dict[str, float] = {}
        self._not_sent_log = RateLimitedLog(
            "message_not_sent", MAX_NOT_SENT_LINES_PER_S
        )

    async def start(self, kernel: Kernel) -> None:
        """Bind the listening socket and start to receive."""
        router = self._ctx.socket(zmq.ROUTER, socket_class=zmq.Socket)
        self._configure(router)
        self._listener = BusListener(self._ctx, router, self._address, self._ring)
        self._listener.bind()
        for coro in self._listener.background_tasks():
            self._tasks.spawn_critical(coro, "bus-listener")
        if self._ring is not None:
            self._ring.on_change(self._on_key_change)
        self._router = router
        self._reader = MessageReader(router, self._on_frames)

    async def stop(self) -> None:
        """Close all sockets and cancel pending requests."""
        await self._tasks.cancel()
        for future in self._pending.values():
            future.cancel()
        for link in self._links.values():
            link.close()
        if self._listener is not None:
            self._reader.close()
            self._listener.close()
        self._ctx.destroy(0)

    def dump(self) -> dict:
        """Return the counters and the connected peers."""
        return {
            "address": self._address,
            "peers": sorted(self._links),
            "waiting": len(self._pending),
            "encrypted": self._ring is not None,
            "counts": dict(self._counts),
            "received_by_kind": dict(self._received),
            "handling_s_by_kind": self._handlers.times.dump(),
            "handshakes": dict(self._listener.counts) if self._listener else {},
        }

    def register_handler(
        self, message_type: type[msgspec.Struct], handler: Handler
    ) -> None:
        """Register the handler of a message type."""
        self._handlers.register(message_type, handler)

    async def request(
        self, peer: str, msg: msgspec.Struct, timeout: float
    ) -> Result[msgspec.Struct, BusError]:
        """Send a message and wait up to `timeout` seconds for its reply."""
        number = next(self._numbers)
        data = self._encode(msg, number, False, peer)
        if data is None:
            return Error(BusError.NOT_SENT)
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        message = QueuedMessage(data, now() + timeout)
        try:
            link = self._enqueue(peer, message)
            if link is None:
                return Error(BusError.NOT_SENT)
            async with running_timeout(timeout, MAX_STILL_S):
                return Ok(await future)
        except TimeoutError:
            if link.send_queue.cancel(message):
                return Error(BusError.NOT_SENT)
            if link.is_silent:
                self._replace_silent_link(peer, link)
            return Error(BusError.NO_ANSWER)
        finally:
            self._pending.pop(number, None)

    def send(self, peer: str, msg: msgspec.Struct, *, probes: bool = True) -> None:
        """Send a message that has no reply; it may be lost."""
        data = self._encode(msg, 0, False, peer)
        if data is None:
            return
        link = self._enqueue(peer, QueuedMessage(data, now() + SEND_TIMEOUT_S))
        if probes and link is not None and link.needs_probe:
            link.is_probed = True
            self._tasks.spawn(self._probe(peer, link), f"bus-probe-{peer}")

    def replied_at(self, peer: str) -> float:
        """Return when a reply of a peer last arrived, minus infinity if none has."""
        return self._replied_at.get(peer, -math.inf)

    async def _probe(self, peer: str, link: PeerLink) -> None:
        """Request a reply, without which the link is replaced."""
        await self.request(peer, LinkProbe(), PROBE_TIMEOUT_S)
        link.is_probed = False

    def _on_probe(self, sender: str, msg: LinkProbe) -> LinkProbe:
        return msg

    def _encode(
        self, msg: msgspec.Struct, number: int, reply: bool, peer: str
    ) -> bytes | None:
        """Return an encoded message, None if no peer could read it."""
        data = codec.encode(msg, number, reply, self._node)
        if not isinstance(data, codec.CodecError):
            return data
        self._record_not_sent(data.value, peer=peer, message=type(msg).__name__)
        return None

    def _record_not_sent(self, reason: str, **fields: str) -> None:
        """Count and log what can't be sent; the sender goes on with its others."""
        self._counts[f"not_sent_{reason}"] += 1
        self._not_sent_log.event(reason=reason, **fields)

    def _enqueue(self, peer: str, message: QueuedMessage) -> PeerLink | None:
        link = self._links.get(peer) or self._connect(peer)
        if link is None:
            return None
        if not link.send_queue.put(message):
            self._counts["outbox_full"] += 1
            return None
        self._counts["sent"] += 1
        self._counts["sent_bytes"] += len(message.data)
        return link

    def _connect(
        self, peer: str, silence_timeout_s: float = MIN_SILENCE_TIMEOUT_S
    ) -> PeerLink | None:
        if self._ring is not None and not self._ring.keys_of(peer):
            self._counts["no_key_for_peer"] += 1
            return None
        dealer = self._ctx.socket(zmq.DEALER, socket_class=zmq.Socket)
        self._configure(dealer)
        dealer.immediate = True
        link = PeerLink(dealer, silence_timeout_s, partial(self._on_reply_frames, peer))
        endpoint = f"tcp://{self._tunnels.get(peer, peer)}"
        try:
            if self._ring is None:
                dealer.connect(endpoint)
            else:
                fallback = KeyFallback(self._ctx, dealer, peer, endpoint, self._ring)
                fallback.connect()
                link.tasks.append(self._tasks.spawn(fallback.run(), f"bus-keys-{peer}"))
        except (zmq.ZMQError, UnicodeEncodeError) as exc:
            link.close()
            self._record_not_sent("no_address", peer=peer, error=str(exc))
            return None
        coro = link.send_queue.run()
        link.tasks.append(self._tasks.spawn(coro, f"bus-peer-{peer}"))
        self._links[peer] = link
        return link

    def _configure(self, sock: zmq.Socket) -> None:
        sock.linger = 0
        sock.sndhwm = HIGH_WATER_MARK
        sock.rcvhwm = HIGH_WATER_MARK
        sock.maxmsgsize = codec.MAX_MESSAGE_BYTES
        sock.connect_timeout = CONNECT_TIMEOUT_MS
        sock.handshake_ivl = HANDSHAKE_TIMEOUT_MS
        sock.reconnect_ivl = MIN_RECONNECT_MS
        sock.reconnect_ivl_max = MAX_RECONNECT_MS
        sock.heartbeat_ivl = HEARTBEAT_MS
        sock.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS

    def _on_key_change(self, change: KeyChange) -> None:
        if change.reconnect_clients:
            for peer, link in tuple(self._links.items()):
                self._replace_link(peer, link)
        if change.rebind_listener:
            self._tasks.spawn(self._listener.rebind(), "bus-rebind")

    def _replace_silent_link(self, peer: str, link: PeerLink) -> None:
        """Open a new connection to a peer whose present one carries nothing."""
        if self._links.get(peer) is not link:
            return
        event("info", "link_silent", peer=peer, silent_s=round(link.silent_s, 3))
        self._replace_link(peer, link)
        self._connect(peer, link.next_silence_timeout_s)

    def _replace_link(self, peer: str, link: PeerLink) -> None:
        """Drop the link, so that the next message to the peer opens a new one."""
        if self._links.get(peer) is link:
            del self._links[peer]
            self._counts["links_renewed"] += 1
            self._tasks.spawn(self._close_later(link), "bus-retire")

    async def _close_later(self, link: PeerLink) -> None:
        """Close a link after a delay, so that pending replies can arrive."""
        try:
            await asyncio.sleep(LINK_CLOSE_DELAY_S)
        finally:
            link.close()

    def _on_frames(self, frames: list[bytes]) -> None:
        if len(frames) != 2:
            self._counts["dropped_malformed"] += 1
            return
        identity, data = frames
        decoded = self._decode(data)
        if decoded is None:
            return
        envelope, msg = decoded
        send_reply = partial(self._reply, identity, envelope)
        if not self._handlers.handle(envelope.sender, msg, send_reply):
            self._counts["dropped_unhandled"] += 1

    def _on_reply_frames(self, peer: str, frames: list[bytes]) -> None:
        set_newest(self._replied_at, peer, now(), MAX_PEERS_REMEMBERED)
        decoded = self._decode(frames[-1])
        if decoded is None:
            return
        envelope, msg = decoded
        future = self._pending.get(envelope.number)
        if envelope.reply and future is not None and not future.done():
            future.set_result(msg)

    def _reply(
        self, identity: bytes, envelope: codec.Envelope, reply: msgspec.Struct
    ) -> None:
        if not envelope.number:
            return
        data = self._encode(reply, envelope.number, True, envelope.sender)
        if data is None:
            return
        try:
            self._router.send_multipart([identity, data], zmq.DONTWAIT)
        except zmq.ZMQError:
            self._counts["answer_not_sent"] += 1
            return
        finally:
            self._reader.read_soon()
        self._counts["sent"] += 1
        self._counts["sent_bytes"] += len(data)

    def _decode(self, data: bytes) -> codec.Decoded | None:
        """Decode and count what a peer sent; return None if it is no message."""
        self._counts["received"] += 1
        self._counts["received_bytes"] += len(data)
        decoded = codec.decode(data)
        if isinstance(decoded, codec.CodecError):
            self._counts[f"dropped_{decoded.value}"] += 1
            return None
        self._received[decoded[0].kind] += 1
        return decoded


def create(
    node: str,
    address: str,
    ring: KeyRing | None = None,
    tunnels: Mapping[str, str] | None = None,
) -> ZmqBus:
    """Return a bus for the node, which will listen on `address`.

    If the ring has keys, all connections are encrypted and authenticated.
    `tunnels` maps a peer's address to the address to connect to instead.
    """
    return ZmqBus(node, address, ring, tunnels or {})
