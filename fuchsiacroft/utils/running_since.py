"""Since when a process has run, so that it doesn't take its own pause for silence.

After a process stood still, its timers run before the messages that came meanwhile
are read. Whoever judges others by the age of their last message waits then for as long
as if all of them had just been heard.
"""

import asyncio
import math

from fuchsiacroft.utils.clock import now

LATE_FACTOR = 2.0
"""A sleep that takes this many times as long as asked for shows a pause."""


class RunningSince:
    """Notices pauses of the process while it sleeps between periodic checks."""

    def __init__(self) -> None:
        self._since = -math.inf

    async def sleep(self, seconds: float) -> float:
        """Sleep, and return since when the process has run without a pause.

        It is a time of the loop's clock, minus infinity if no pause was noticed.
        """
        began_at = now()
        await asyncio.sleep(seconds)
        if now() - began_at > LATE_FACTOR * seconds:
            self._since = now()
        return self._since
