"""Queue of outgoing messages to one peer, with an expiry for each message."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import zmq

from fuchsiacroft.utils.clock import now

MAX_QUEUED = 10_000
MIN_RETRY_DELAY_S = 0.005
MAX_RETRY_DELAY_S = 0.1


@dataclass(slots=True, eq=False)
class QueuedMessage:
    """An encoded message, which is dropped if it is not sent by `expires_at`."""

    data: bytes
    expires_at: float
    sent: bool = False


class SendQueue:
    """Sends messages to one DEALER socket in order, dropping expired ones.

    The socket accepts messages only while it is connected, so messages to a
    dead peer are not delivered after it restarts. `on_use` is called whenever the
    socket was used.
    """

    def __init__(self, dealer: zmq.Socket, on_use: Callable[[], None]) -> None:
        self._dealer = dealer
        self._on_use = on_use
        self._queue: deque[QueuedMessage] = deque()
        self._not_empty = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of queued messages."""
        return len(self._queue)

    def put(self, message: QueuedMessage) -> bool:
        """Send or queue a message; return False if the queue is full."""
        if not self._queue and self._send(message):
            return True
        if len(self._queue) >= MAX_QUEUED:
            return False
        self._queue.append(message)
        self._not_empty.set()
        return True

    def cancel(self, message: QueuedMessage) -> bool:
        """Cancel a message; return False if it was already sent."""
        if not message.sent:
            message.expires_at = 0.0
        return not message.sent

    async def run(self) -> None:
        """Send queued messages whenever the peer is connected."""
        while True:
            await self._not_empty.wait()
            self._not_empty.clear()
            delay_s = MIN_RETRY_DELAY_S
            while not self._flush():
                await asyncio.sleep(delay_s)
                delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    def _flush(self) -> bool:
        while self._queue:
            message = self._queue[0]
            if message.expires_at > now() and not self._send(message):
                return False
            self._queue.popleft()
        return True

    def _send(self, message: QueuedMessage) -> bool:
        try:
            self._dealer.send(message.data, zmq.DONTWAIT)
            message.sent = True
        except zmq.ZMQError:
            pass
        self._on_use()
        return message.sent
