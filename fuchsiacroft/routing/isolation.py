"""Reserves a backend server for a request that must run in isolation."""

from fuchsiacroft.routing.owned_server import OwnedServer
from fuchsiacroft.routing.service_queue import ServiceQueue
from fuchsiacroft.routing.waiting_queue import Waiter


def has_run_with(suspected: frozenset[str], service_queue: ServiceQueue) -> bool:
    """Return whether an isolated run has some of this content.

    Its outcome shows whether other requests with the content may run.
    """
    return any(
        run.is_isolated and not suspected.isdisjoint(run.permit.request.content_ids)
        for owned in service_queue.servers.values()
        for run in owned.running.values()
    )


def reserve_idle_server(
    waiter: Waiter, service_queue: ServiceQueue
) -> OwnedServer | None:
    """Return an idle backend server for a waiter, or None.

    If none is idle, the one with the fewest runs is reserved for the waiter: it
    starts no more runs until the current ones have ended. At most one server is
    reserved at a time.
    """
    owned = _reserved_server(waiter, service_queue)
    if owned is None or owned.running or owned.awaits_limit():
        return None
    return owned


def release_reservation(waiter: Waiter, service_queue: ServiceQueue) -> None:
    """Release the backend server that is reserved for a waiter."""
    for owned in service_queue.servers.values():
        if owned.reserved_for == waiter.sequence:
            owned.reserved_for = None


def _reserved_server(waiter: Waiter, service_queue: ServiceQueue) -> OwnedServer | None:
    free = [
        owned
        for owned in service_queue.servers.values()
        if owned.reserved_for in (None, waiter.sequence)
        and not owned.server.announcement.leaving
        and owned.name not in waiter.request.avoid
    ]
    reserved = [owned for owned in free if owned.reserved_for == waiter.sequence]
    if reserved:
        return reserved[0]
    if any(owned.reserved_for is not None for owned in service_queue.servers.values()):
        return None
    owned = min(free, key=lambda owned: len(owned.running), default=None)
    if owned is not None:
        owned.reserved_for = waiter.sequence
    return owned
