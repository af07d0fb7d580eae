"""Bounds how many lines one kind of event may write."""

from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event

PERIOD_S = 1.0


class RateLimitedLog:
    """Writes up to `lines` events a second and counts those left out.

    The count is told with the first line of the next second.
    """

    def __init__(self, name: str, lines: int) -> None:
        self._name = name
        self._lines = lines
        self._started_at = float("-inf")
        self._written = 0
        self._left_out = 0

    def event(self, **fields: object) -> None:
        """Write one line, or count it."""
        at = now()
        if at - self._started_at >= PERIOD_S:
            self._started_at = at
            self._written = 0
        if self._written >= self._lines:
            self._left_out += 1
            return
        self._written += 1
        if self._left_out:
            fields["left_out_before"] = self._left_out
            self._left_out = 0
        event("info", self._name, **fields)
