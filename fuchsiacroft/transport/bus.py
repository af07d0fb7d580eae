"""The message bus interface, for requests and messages to other processes."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
from expression import Result

from fuchsiacroft.kernel import Service

Reply = msgspec.Struct | None
Handler = Callable[[str, Any], Reply | Coroutine[Any, Any, Reply]]


class BusError(enum.Enum):
    """Why a request to a peer failed.

    `NOT_SENT` guarantees that the peer did not receive the request; after
    `NO_ANSWER` it may have.
    """

    NOT_SENT = "not_sent"
    NO_ANSWER = "no_answer"


class Bus(Service, ABC):
    """Sends messages to peers and dispatches received messages to handlers.

    A peer is identified by its address, `IP:PORT`. A handler receives the
    sender's node name and the message, and returns the reply or None. One that has to
    wait is a coroutine; a plain function is cheaper, as it needs no task.
    """

    name = "bus"

    @abstractmethod
    def register_handler(
        self, message_type: type[msgspec.Struct], handler: Handler
    ) -> None:
        """Register the handler of a message type."""

    @abstractmethod
    async def request(
        self, peer: str, msg: msgspec.Struct, timeout: float
    ) -> Result[msgspec.Struct, BusError]:
        """Send a message and wait up to `timeout` seconds for its reply.

        Only seconds in which this process runs count, if it doesn't stand still for
        long.
        """

    @abstractmethod
    def send(self, peer: str, msg: msgspec.Struct, *, probes: bool = True) -> None:
        """Send a message that has no reply; it may be lost.

        With `probes`, a connection that has been silent is checked. Messages to many
        peers, of which some may be lost, are cheaper without.
        """

    @abstractmethod
    def replied_at(self, peer: str) -> float:
        """Return when a reply of a peer last arrived, minus infinity if none has.

        A reply that comes after its request was given up counts, too.
        """
