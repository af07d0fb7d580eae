"""The connection to one peer and its tasks."""

import asyncio
from collections.abc import Callable

import zmq

from fuchsiacroft.transport.message_reader import MessageReader
from fuchsiacroft.transport.send_queue import SendQueue
from fuchsiacroft.utils.clock import now

MIN_SILENCE_TIMEOUT_S = 0.6
"""Longer than the kernel takes to send a lost packet again, and shorter than the
timeouts after which a lease or an entry is given up."""
MAX_SILENCE_TIMEOUT_S = 5.0
"""Limit of the doubled timeout, as a peer that is suspended does not answer on any
connection."""
PROBE_AFTER_S = 1.0
"""A connection that carries messages one way only is probed after this silence."""


class PeerLink:
    """A DEALER socket with its send queue, tasks and time of the last message.

    `handle` is called with the frames of each message.
    """

    def __init__(
        self,
        dealer: zmq.Socket,
        silence_timeout_s: float,
        handle: Callable[[list[bytes]], None],
    ) -> None:
        self.dealer = dealer
        self._silence_timeout_s = silence_timeout_s
        self._has_received = False
        self._handle = handle
        self.reader = MessageReader(dealer, self._on_frames)
        self.send_queue = SendQueue(dealer, self.reader.read_soon)
        self.tasks: list[asyncio.Task] = []
        self.is_probed = False
        self._last_received_at = now()

    @property
    def silent_s(self) -> float:
        """The seconds since a message was received from the peer."""
        return now() - self._last_received_at

    @property
    def is_silent(self) -> bool:
        """Whether nothing was received from the peer for the silence timeout.

        With a request unanswered, the connection may be dead although it is open.
        """
        return self.silent_s > self._silence_timeout_s

    @property
    def needs_probe(self) -> bool:
        """Whether only a probe can show if messages still arrive at the peer."""
        return not self.is_probed and self.silent_s > PROBE_AFTER_S

    @property
    def next_silence_timeout_s(self) -> float:
        """The silence timeout of the link that replaces this one."""
        if self._has_received:
            return MIN_SILENCE_TIMEOUT_S
        return min(2 * self._silence_timeout_s, MAX_SILENCE_TIMEOUT_S)

    def _on_frames(self, frames: list[bytes]) -> None:
        self._has_received = True
        self._last_received_at = now()
        self._handle(frames)

    def close(self) -> None:
        """Cancel the tasks and close the socket."""
        for task in self.tasks:
            task.cancel()
        self.reader.close()
        self.dealer.close(0)
