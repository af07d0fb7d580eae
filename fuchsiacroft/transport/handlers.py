"""Calls the handlers of received messages, which reply at once or later."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from fuchsiacroft.transport import codec
from fuchsiacroft.transport.bus import Handler, Reply
from fuchsiacroft.transport.handling_times import HandlingTimes
from fuchsiacroft.utils.tasks import BackgroundTasks

SendReply = Callable[[msgspec.Struct], None]


class Handlers:
    """The handlers of one bus, by message type; those that wait run in its tasks.

    `times` has what they took, without what runs in tasks.
    """

    def __init__(self, tasks: BackgroundTasks) -> None:
        self._tasks = tasks
        self._by_type: dict[type[msgspec.Struct], Handler] = {}
        self.times = HandlingTimes()

    def register(self, message_type: type[msgspec.Struct], handler: Handler) -> None:
        """Register the handler of a message type."""
        self._by_type[message_type] = handler

    def handle(self, sender: str, msg: msgspec.Struct, send_reply: SendReply) -> bool:
        """Handle a message, and send its reply if there is one.

        Returns whether there is a handler. Its failure is that of a background task.
        """
        handler = self._by_type.get(type(msg))
        if handler is None:
            return False
        started_at = time.perf_counter()
        self._tasks.call(self._call, handler, sender, msg, send_reply)
        self.times.record(codec.kind_of(msg), started_at, time.perf_counter())
        return True

    def _call(
        self, handler: Handler, sender: str, msg: msgspec.Struct, send_reply: SendReply
    ) -> None:
        reply = handler(sender, msg)
        if asyncio.iscoroutine(reply):
            self._tasks.spawn(_reply_later(reply, send_reply))
        elif reply is not None:
            send_reply(reply)


async def _reply_later(
    handling: Coroutine[Any, Any, Reply], send_reply: SendReply
) -> None:
    reply = await handling
    if reply is not None:
        send_reply(reply)
