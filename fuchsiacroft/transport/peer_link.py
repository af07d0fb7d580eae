"""The connection to one peer and its tasks."""

import asyncio

import zmq.asyncio

from fuchsiacroft.transport.send_queue import SendQueue
from fuchsiacroft.utils.clock import now

IDLE_TIMEOUT_S = 5.0


class PeerLink:
    """A DEALER socket with its send queue, tasks and time of the last message."""

    def __init__(self, dealer: zmq.asyncio.Socket) -> None:
        self.dealer = dealer
        self.send_queue = SendQueue(dealer)
        self.tasks: list[asyncio.Task] = []
        self._last_received_at = now()

    @property
    def silent_s(self) -> float:
        """The seconds since a message was received from the peer."""
        return now() - self._last_received_at

    @property
    def is_idle(self) -> bool:
        """Whether nothing was received from the peer for `IDLE_TIMEOUT_S`."""
        return self.silent_s > IDLE_TIMEOUT_S

    def record_received(self) -> None:
        """Record that a message was received from the peer."""
        self._last_received_at = now()

    def close(self) -> None:
        """Cancel the tasks and close the socket."""
        for task in self.tasks:
            task.cancel()
        self.dealer.close(0)
