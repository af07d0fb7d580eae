"""The connection to one peer, with everything that serves it."""

import asyncio

import zmq.asyncio

from fuchsiacroft.transport.outbox import Outbox
from fuchsiacroft.utils.clock import now

SILENT_S = 5.0


class PeerLink:
    """A DEALER, its outbox and its tasks, and when it was last heard."""

    def __init__(self, dealer: zmq.asyncio.Socket) -> None:
        self.dealer = dealer
        self.outbox = Outbox(dealer)
        self.tasks: list[asyncio.Task] = []
        self._heard_at = now()

    @property
    def silent(self) -> bool:
        """Tell whether nothing has come from the peer for long."""
        return now() - self._heard_at > SILENT_S

    def note_heard(self) -> None:
        """Note that something came from the peer."""
        self._heard_at = now()

    def close(self) -> None:
        """End the tasks and close the socket."""
        for task in self.tasks:
            task.cancel()
        self.dealer.close(0)
