"""Falls back to a peer's other key when a CURVE handshake fails."""

import asyncio

import zmq
import zmq.asyncio
from zmq.utils.monitor import parse_monitor_message

from fuchsiacroft.transport.keys import KeyRing
from fuchsiacroft.transport.monitor import open_monitor

KEY_FALLBACK_DELAY_S = 0.1
HANDSHAKE_FAILED_EVENTS = (
    zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
)
CONNECTION_EVENTS = (
    HANDSHAKE_FAILED_EVENTS | zmq.EVENT_CONNECTED | zmq.EVENT_HANDSHAKE_SUCCEEDED
)


class KeyFallback:
    """Tries the public keys of a peer in turn.

    A peer whose key is being rotated is listed with two keys. After a failed
    handshake, the same socket disconnects and reconnects with the next key.
    """

    def __init__(
        self,
        ctx: zmq.asyncio.Context,
        dealer: zmq.Socket,
        peer: str,
        endpoint: str,
        ring: KeyRing,
    ) -> None:
        self._ctx = ctx
        self._dealer = dealer
        self._endpoint = endpoint
        self._ring = ring
        self._keys = ring.keys_of(peer)
        self._next_key = 0

    def connect(self) -> None:
        """Connect with the next key."""
        key = self._keys[self._next_key % len(self._keys)]
        self._next_key += 1
        self._ring.apply_to_client(self._dealer, key)
        self._dealer.connect(self._endpoint)

    async def run(self) -> None:
        """Switch to the next key after each failed handshake, if there is one."""
        if len(self._keys) < 2:
            return
        monitor = open_monitor(self._ctx, self._dealer, CONNECTION_EVENTS)
        try:
            while True:
                await _wait_for_failure(monitor)
                self._dealer.disconnect(self._endpoint)
                self.connect()
        finally:
            monitor.close(0)


async def _wait_for_failure(monitor: zmq.asyncio.Socket) -> None:
    """Wait until the newest event of a connection is a failed handshake.

    A failure may be of a connection with an earlier key, and read late.
    """
    while True:
        newest = await monitor.recv_multipart()
        if _is_failure(newest):
            await asyncio.sleep(KEY_FALLBACK_DELAY_S)
            newest = _read_newest(monitor, newest)
            if _is_failure(newest):
                return


def _read_newest(monitor: zmq.asyncio.Socket, newest: list[bytes]) -> list[bytes]:
    """Read all events that are there; return the last, or `newest` without any."""
    while True:
        received = monitor.recv_multipart(zmq.DONTWAIT)
        if received.exception() is not None:
            return newest
        newest = received.result()


def _is_failure(frames: list[bytes]) -> bool:
    return bool(parse_monitor_message(frames)["event"] & HANDSHAKE_FAILED_EVENTS)
