"""Falls back to a peer's other key when a CURVE handshake fails."""

import asyncio

import zmq
import zmq.asyncio

from fuchsiacroft.transport.keys import KeyRing

KEY_FALLBACK_DELAY_S = 0.1
HANDSHAKE_FAILED_EVENTS = (
    zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
)


class KeyFallback:
    """Tries the public keys of a peer in turn.

    A peer whose key is being rotated is listed with two keys. After a failed
    handshake, the same socket disconnects and reconnects with the next key.
    """

    def __init__(
        self, dealer: zmq.asyncio.Socket, peer: str, endpoint: str, ring: KeyRing
    ) -> None:
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
        monitor = self._dealer.get_monitor_socket(HANDSHAKE_FAILED_EVENTS)
        try:
            while True:
                await monitor.recv_multipart()
                await asyncio.sleep(KEY_FALLBACK_DELAY_S)
                self._dealer.disconnect(self._endpoint)
                self.connect()
        finally:
            monitor.close(0)
