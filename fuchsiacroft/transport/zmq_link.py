"""The connection to one peer, with a change to its other key on refusal."""

import asyncio

import zmq
import zmq.asyncio

from fuchsiacroft.transport.keys import KeyRing

NEXT_KEY_PAUSE_S = 0.1
FAILED_HANDSHAKES = (
    zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
)


class KeyTrial:
    """Tries the keys that a peer may use, one after the other.

    A peer that is changing its key is listed with two. A failed handshake
    disconnects and connects again with the next key on the same socket.
    """

    def __init__(
        self, dealer: zmq.asyncio.Socket, peer: str, endpoint: str, ring: KeyRing
    ) -> None:
        self._dealer = dealer
        self._endpoint = endpoint
        self._ring = ring
        self._keys = ring.keys_of(peer)
        self._next = 0

    def connect(self) -> None:
        """Connect with the next key."""
        key = self._keys[self._next % len(self._keys)]
        self._next += 1
        self._ring.apply_to_client(self._dealer, key)
        self._dealer.connect(self._endpoint)

    async def run(self) -> None:
        """Change the key after each failed handshake, if there is another."""
        if len(self._keys) < 2:
            return
        monitor = self._dealer.get_monitor_socket(FAILED_HANDSHAKES)
        try:
            while True:
                await monitor.recv_multipart()
                await asyncio.sleep(NEXT_KEY_PAUSE_S)
                self._dealer.disconnect(self._endpoint)
                self.connect()
        finally:
            monitor.close(0)
