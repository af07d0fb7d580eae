"""The way out to one peer: messages wait for the connection, but not long."""

import asyncio
from collections import deque
from dataclasses import dataclass

import zmq
import zmq.asyncio

from fuchsiacroft.utils.clock import now

MAX_WAITING = 10_000
PAUSE_S = 0.005
PAUSE_MAX_S = 0.1


@dataclass(slots=True, eq=False)
class Parcel:
    """An encoded message; it is dropped if not sent by `expires_at`."""

    data: bytes
    expires_at: float
    sent: bool = False


class Outbox:
    """Sends to one DEALER in order, and never what has expired.

    The socket accepts a message only while it is connected, so what a dead
    peer missed is not delivered to it later.
    """

    def __init__(self, dealer: zmq.asyncio.Socket) -> None:
        self._dealer = dealer
        self._waiting: deque[Parcel] = deque()
        self._filled = asyncio.Event()

    def __len__(self) -> int:
        """Return how many messages wait for the connection."""
        return len(self._waiting)

    def put(self, parcel: Parcel) -> bool:
        """Send a message now or as soon as possible; False if too many wait."""
        if not self._waiting and self._send(parcel):
            return True
        if len(self._waiting) >= MAX_WAITING:
            return False
        self._waiting.append(parcel)
        self._filled.set()
        return True

    def withdraw(self, parcel: Parcel) -> bool:
        """Take back a message; False if it was sent."""
        if not parcel.sent:
            parcel.expires_at = 0.0
        return not parcel.sent

    async def run(self) -> None:
        """Send what waits whenever the peer is connected."""
        while True:
            await self._filled.wait()
            self._filled.clear()
            pause = PAUSE_S
            while not self._flush():
                await asyncio.sleep(pause)
                pause = min(pause * 2, PAUSE_MAX_S)

    def _flush(self) -> bool:
        while self._waiting:
            parcel = self._waiting[0]
            if parcel.expires_at > now() and not self._send(parcel):
                return False
            self._waiting.popleft()
        return True

    def _send(self, parcel: Parcel) -> bool:
        sent = self._dealer.send(parcel.data, zmq.DONTWAIT)
        parcel.sent = sent.exception() is None
        return parcel.sent
