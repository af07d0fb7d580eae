"""The listening socket of the bus, with its keys and handshake counters."""

import asyncio
from collections import Counter
from collections.abc import Coroutine

import zmq
import zmq.asyncio
from zmq.utils.monitor import parse_monitor_message

from fuchsiacroft.transport.handshake_watch import HandshakeWatch
from fuchsiacroft.transport.key_fallback import HANDSHAKE_FAILED_EVENTS
from fuchsiacroft.transport.keys import KeyRing
from fuchsiacroft.transport.monitor import open_monitor
from fuchsiacroft.transport.zap import ZAP_DOMAIN, ZapHandler
from fuchsiacroft.utils.logs import event

BIND_RETRY_DELAY_S = 0.02
MAX_BIND_ATTEMPTS = 250
CONNECTION_EVENTS = (
    HANDSHAKE_FAILED_EVENTS
    | zmq.EVENT_ACCEPTED
    | zmq.EVENT_CLOSED
    | zmq.EVENT_DISCONNECTED
)


class BusListener:
    """Binds a ROUTER socket; with keys, only peers with accepted keys can connect."""

    def __init__(
        self,
        ctx: zmq.asyncio.Context,
        router: zmq.Socket,
        address: str,
        ring: KeyRing | None,
    ) -> None:
        self._ctx = ctx
        self._router = router
        self._endpoint = f"tcp://{address}"
        self._ring = ring
        self._counts: Counter[str] = Counter()
        self._zap = ZapHandler(ctx, ring) if ring is not None else None
        self._watch = HandshakeWatch(address)
        if ring is not None:
            router.zap_domain = ZAP_DOMAIN
            router.zap_enforce_domain = True

    @property
    def counts(self) -> Counter[str]:
        """The number of accepted, rejected and failed handshakes."""
        zap_counts = self._zap.counts if self._zap else Counter()
        return self._counts + self._watch.counts + zap_counts

    def bind(self) -> None:
        """Bind with the current keys."""
        if self._ring is not None:
            self._ring.apply_to_listener(self._router)
        self._router.bind(self._endpoint)

    async def rebind(self) -> None:
        """Close all accepted connections and bind with the current keys."""
        self._router.unbind(self._endpoint)
        for _ in range(MAX_BIND_ATTEMPTS):
            try:
                self.bind()
            except zmq.ZMQError:
                await asyncio.sleep(BIND_RETRY_DELAY_S)
                continue
            event("info", "listener_rekeyed", endpoint=self._endpoint)
            return
        event("error", "listener_lost", endpoint=self._endpoint)

    def background_tasks(self) -> list[Coroutine]:
        """Return the coroutines that must run while the socket is bound."""
        if self._zap is None:
            return []
        return [self._zap.run(), self._watch.run(), self._watch_connections()]

    def close(self) -> None:
        """Close the sockets."""
        if self._zap is not None:
            self._zap.close()
        self._router.close(0)

    async def _watch_connections(self) -> None:
        monitor = open_monitor(self._ctx, self._router, CONNECTION_EVENTS)
        try:
            while True:
                message = parse_monitor_message(await monitor.recv_multipart())
                self._on_event(message["event"], message["value"])
        finally:
            monitor.close(0)

    def _on_event(self, event_type: int, value: int) -> None:
        """Handle what happened to a connection; `value` may be its descriptor."""
        if event_type == zmq.EVENT_ACCEPTED:
            self._watch.add(value)
        elif event_type & HANDSHAKE_FAILED_EVENTS:
            self._counts["failed"] += 1
        else:
            self._watch.discard(value)
