"""The life of one process: start, wait for a signal, drain, stop."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

import uvloop

from fuchsiacroft.kernel import Kernel
from fuchsiacroft.utils.logs import event

T = TypeVar("T")

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def serve(kernel: Kernel, node: str) -> None:
    """Run the services until a signal asks for a graceful shutdown."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopping.set)
    await kernel.start()
    event("info", "ready", node=node)
    await stopping.wait()
    event("info", "draining", node=node)
    await kernel.drain()
    await kernel.stop()
    event("info", "stopped", node=node)


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on uvloop to its end and return its result."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)
