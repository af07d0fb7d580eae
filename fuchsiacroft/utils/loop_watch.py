"""Logs when the event loop of a process stood still.

Timers that were due meanwhile run late, and before what has arrived is read.
"""

import asyncio

from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.rate_limited_log import RateLimitedLog

CHECK_PERIOD_S = 0.25
MIN_LATE_S = 0.1
"""A check that is late by less is not logged."""
MAX_LINES_PER_S = 2


async def watch_loop() -> None:
    """Log each time by which the loop runs `MIN_LATE_S` late or more."""
    log = RateLimitedLog("process_stood_still", MAX_LINES_PER_S)
    while True:
        due_at = now() + CHECK_PERIOD_S
        await asyncio.sleep(CHECK_PERIOD_S)
        late_s = now() - due_at
        if late_s >= MIN_LATE_S:
            log.event(seconds=round(late_s, 3))
