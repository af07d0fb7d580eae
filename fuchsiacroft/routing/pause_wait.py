"""Waits while all backend servers of a service want no requests from this VM."""

import asyncio
import math
from collections.abc import Callable

from fuchsiacroft.routing.permits import Refusal, RefusalReason
from fuchsiacroft.utils.clock import now


async def wait_for_servers(
    resumes_at: Callable[[], float], deadline: float
) -> Refusal | None:
    """Wait until a server takes requests, or return a refusal if that is too late.

    `resumes_at` returns when the first one does, on the event loop's clock. If it
    returns infinity, all leave, which the owners of the servers refuse themselves.
    """
    while (at := resumes_at()) > now():
        if math.isinf(at):
            return None
        if at > deadline:
            return Refusal(RefusalReason.SERVERS_PAUSED, at - now())
        await asyncio.sleep(at - now())
    return None
