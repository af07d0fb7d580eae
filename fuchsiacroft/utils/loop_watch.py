"""Logs when the event loop of a process stood still, and measures how late it runs.

Timers that were due meanwhile run late, and before what has arrived is read.
"""

import asyncio
import time
from dataclasses import dataclass

from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.rate_limited_log import RateLimitedLog

CHECK_PERIOD_S = 0.25
MIN_LATE_S = 0.1
"""A check that is late by less is not logged."""
MAX_LINES_PER_S = 2


@dataclass(slots=True)
class LoopDelays:
    """How late the loop of this process has run so far, in seconds."""

    checks: int = 0
    late_s: float = 0.0
    longest_s: float = 0.0

    def record(self, late_s: float) -> None:
        """Count one check that was late by some time."""
        self.checks += 1
        self.late_s += late_s
        self.longest_s = max(self.longest_s, late_s)


delays = LoopDelays()


async def watch_loop() -> None:
    """Log each time by which the loop runs `MIN_LATE_S` late or more.

    The processor time since the last check tells work from a pause.
    """
    log = RateLimitedLog("process_stood_still", MAX_LINES_PER_S)
    while True:
        due_at = now() + CHECK_PERIOD_S
        used_s = time.process_time()
        await asyncio.sleep(CHECK_PERIOD_S)
        late_s = now() - due_at
        delays.record(max(late_s, 0.0))
        if late_s >= MIN_LATE_S:
            used_s = time.process_time() - used_s
            log.event(seconds=round(late_s, 3), processor_s=round(used_s, 3))
