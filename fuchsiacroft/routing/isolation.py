"""Finds a backend server for a request that must run alone."""

from fuchsiacroft.routing.line import Line
from fuchsiacroft.routing.order import Waiter
from fuchsiacroft.routing.owned import OwnedServer


def hold_idle(waiter: Waiter, line: Line) -> OwnedServer | None:
    """Return an idle backend server for a waiter.

    If there is none, the one with the fewest runs takes no more, and is held
    for the waiter until these have ended. One is held at a time.
    """
    owned = _held(waiter, line)
    return owned if owned is not None and not owned.running else None


def let_go(waiter: Waiter, line: Line) -> None:
    """Open the backend server that is held for a waiter."""
    for owned in line.servers.values():
        if owned.held_for == waiter.number:
            owned.held_for = None


def _held(waiter: Waiter, line: Line) -> OwnedServer | None:
    free = [
        owned
        for owned in line.servers.values()
        if owned.held_for in (None, waiter.number)
        and not owned.server.announcement.leaving
    ]
    held = [owned for owned in free if owned.held_for == waiter.number]
    if held:
        return held[0]
    if any(owned.held_for is not None for owned in line.servers.values()):
        return None
    owned = min(free, key=lambda owned: len(owned.running), default=None)
    if owned is not None:
        owned.held_for = waiter.number
    return owned
