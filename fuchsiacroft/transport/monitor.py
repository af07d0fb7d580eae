"""Monitors what happens to the connections of a ZeroMQ socket."""

import zmq
import zmq.asyncio


def open_monitor(
    ctx: zmq.asyncio.Context, sock: zmq.Socket, events: int
) -> zmq.asyncio.Socket:
    """Return a socket that receives `events` of another one of the same context."""
    address = f"inproc://monitor-{sock.fileno()}"
    sock.monitor(address, events)
    monitor = ctx.socket(zmq.PAIR)
    monitor.linger = 0
    monitor.connect(address)
    return monitor
