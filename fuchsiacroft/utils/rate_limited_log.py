"""Rate limit for the log lines of one event."""

from collections.abc import Callable

from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event

PERIOD_S = 1.0


class RateLimitedLog:
    """Writes up to `max_lines` events per second and counts the suppressed ones.

    The count is written with the first line of a later second.
    """

    def __init__(self, name: str, max_lines: int) -> None:
        self._name = name
        self._max_lines = max_lines
        self._period_started_at = float("-inf")
        self._written = 0
        self._suppressed = 0

    def event(self, **fields: object) -> None:
        """Write one line, or count it as suppressed."""
        self.event_with(lambda: fields)

    def event_with(self, make_fields: Callable[[], dict[str, object]]) -> None:
        """Do the same with fields that are worked out only if the line is written."""
        current_time = now()
        if current_time - self._period_started_at >= PERIOD_S:
            self._period_started_at = current_time
            self._written = 0
        if self._written >= self._max_lines:
            self._suppressed += 1
            return
        self._written += 1
        fields = make_fields()
        if self._suppressed:
            fields["left_out_before"] = self._suppressed
            self._suppressed = 0
        event("info", self._name, **fields)
