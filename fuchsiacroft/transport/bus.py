"""The interface between services and their peers in other processes."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from expression import Result

from fuchsiacroft.kernel import Service

Handler = Callable[[str, Any], Awaitable[msgspec.Struct | None]]


class BusError(enum.Enum):
    """Why a request to a peer has no answer.

    `NOT_SENT` proves that the peer never saw the request; after `NO_ANSWER`
    it may have.
    """

    NOT_SENT = "not_sent"
    NO_ANSWER = "no_answer"


class Bus(Service, ABC):
    """Sends messages to peers and hands received ones to their handlers.

    A peer is named by its address, `IP:PORT`. Handlers receive the sender's
    node name and the message, and return the answer or None.
    """

    name = "bus"

    @abstractmethod
    def register_handler(
        self, message_type: type[msgspec.Struct], handler: Handler
    ) -> None:
        """Register the handler for one message type."""

    @abstractmethod
    async def request(
        self, peer: str, msg: msgspec.Struct, timeout: float
    ) -> Result[msgspec.Struct, BusError]:
        """Send a message and wait up to `timeout` seconds for its answer."""

    @abstractmethod
    def send(self, peer: str, msg: msgspec.Struct) -> None:
        """Send a message that has no answer; it may be lost."""
