"""Since when a process has run, so that it doesn't take its own pause for silence.

After a process stood still, its timers run before the messages that came meanwhile
are read. Whoever judges others by the age of their last message waits then for as long
as if all of them had just been heard.
"""

import math

from fuchsiacroft.utils.clock import now

LATE_PERIODS = 2.0
"""A periodic check that is later than this many periods shows a pause."""


class RunningSince:
    """Notices pauses of the process, if it is checked every `period_s`."""

    def __init__(self, period_s: float) -> None:
        self._longest_s = LATE_PERIODS * period_s
        self._checked_at: float | None = None
        self._since = -math.inf

    def check(self) -> float:
        """Return since when the process has run without a pause, on the loop's clock.

        It is minus infinity if none was noticed.
        """
        at = now()
        if self._checked_at is not None and at - self._checked_at > self._longest_s:
            self._since = at
        self._checked_at = at
        return self._since
