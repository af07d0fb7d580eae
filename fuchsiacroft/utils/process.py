"""The lifecycle of a process: start, wait for a signal, drain, stop."""

import asyncio
import faulthandler
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

import uvloop

from fuchsiacroft.exceptions import InvariantError
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.loop_watch import watch_loop
from fuchsiacroft.utils.tasks import SERVICE_FAILED

T = TypeVar("T")

STDERR = 2
"""Descriptor of standard error, whatever `sys.stderr` is."""
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def serve(kernel: Kernel, node: str) -> None:
    """Run the services until a signal requests a graceful shutdown.

    On SIGHUP the services reload their files. A service failure stops the
    process at once with `InvariantError`.
    """
    stopping = asyncio.Event()
    failures: list[BaseException] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda loop, context: _on_loop_exception(context, failures, stopping)
    )
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, kernel, node)
    await kernel.start()
    event("info", "ready", node=node)
    watch = loop.create_task(watch_loop(), name="loop-watch")
    await stopping.wait()
    if not failures:
        event("info", "draining", node=node)
        await kernel.drain()
    watch.cancel()
    await kernel.stop()
    event("info", "stopped", node=node)
    if failures:
        raise InvariantError(f"a service failed: {failures[0]!r}")


def _reload(kernel: Kernel, node: str) -> None:
    event("info", "reloading", node=node)
    kernel.reload()


def _on_loop_exception(
    context: dict, failures: list[BaseException], stopping: asyncio.Event
) -> None:
    """Log an exception; stop the process if it is a service failure."""
    exc = context.get("exception")
    event("error", "loop_error", message=context["message"], error=repr(exc))
    if exc is not None and context["message"] == SERVICE_FAILED:
        failures.append(exc)
        stopping.set()


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on uvloop until it completes and return its result.

    If a library written in C ends the process, the stack is written to stderr.
    """
    faulthandler.enable(file=STDERR)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)
