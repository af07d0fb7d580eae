"""The listening socket of the bus, with its keys and handshake counters."""

import asyncio
from collections import Counter
from collections.abc import Coroutine

import zmq
import zmq.asyncio

from fuchsiacroft.transport.key_fallback import HANDSHAKE_FAILED_EVENTS
from fuchsiacroft.transport.keys import KeyRing
from fuchsiacroft.transport.zap import ZAP_DOMAIN, ZapHandler
from fuchsiacroft.utils.logs import event

BIND_RETRY_DELAY_S = 0.02
MAX_BIND_ATTEMPTS = 250


class BusListener:
    """Binds a ROUTER socket; with keys, only peers with accepted keys can connect."""

    def __init__(
        self,
        ctx: zmq.asyncio.Context,
        router: zmq.asyncio.Socket,
        address: str,
        ring: KeyRing | None,
    ) -> None:
        self._router = router
        self._endpoint = f"tcp://{address}"
        self._ring = ring
        self._counts: Counter[str] = Counter()
        self._zap = ZapHandler(ctx, ring) if ring is not None else None
        if ring is not None:
            router.zap_domain = ZAP_DOMAIN
            router.zap_enforce_domain = True

    @property
    def counts(self) -> Counter[str]:
        """The number of accepted, rejected and failed handshakes."""
        return self._counts + (self._zap.counts if self._zap else Counter())

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
        return [self._zap.run(), self._count_failures()]

    def close(self) -> None:
        """Close the sockets."""
        if self._zap is not None:
            self._zap.close()
        self._router.close(0)

    async def _count_failures(self) -> None:
        monitor = self._router.get_monitor_socket(HANDSHAKE_FAILED_EVENTS)
        try:
            while True:
                await monitor.recv_multipart()
                self._counts["failed"] += 1
        finally:
            monitor.close(0)
