"""Measures what a process spends on the messages of each kind, and logs a busy one.

The clock is that of the processor and not the loop's, which stands still within a turn.
"""

import time
from collections import Counter

from fuchsiacroft.utils.logs import event

PERIOD_S = 1.0
BUSY_SHARE = 0.1
"""A process that handles messages for this share of a period logs their times."""
MAX_KINDS = 4
"""Kinds in one line, those that took most."""


class HandlingTimes:
    """The seconds that the handlers of messages took, by kind."""

    def __init__(self) -> None:
        self._seconds: Counter[str] = Counter()
        self._period_counts: Counter[str] = Counter()
        self._period_seconds: Counter[str] = Counter()
        self._period_started_at = time.perf_counter()

    def record(self, kind: str, started_at: float, ended_at: float) -> None:
        """Count one message, and log once a period is over.

        The times are those of `time.perf_counter`.
        """
        seconds = ended_at - started_at
        self._period_counts[kind] += 1
        self._period_seconds[kind] += seconds
        if ended_at - self._period_started_at >= PERIOD_S:
            self._end_period(ended_at)

    def dump(self) -> dict[str, float]:
        """Return the seconds of each kind."""
        total = self._seconds + self._period_seconds
        return {kind: round(seconds, 4) for kind, seconds in total.items()}

    def _end_period(self, at: float) -> None:
        period_s = at - self._period_started_at
        busy_s = self._period_seconds.total()
        if busy_s >= BUSY_SHARE * period_s:
            kinds = ",".join(
                f"{kind}:{self._period_counts[kind]}:{seconds:.3f}"
                for kind, seconds in self._period_seconds.most_common(MAX_KINDS)
            )
            event(
                "info",
                "messages_handled",
                seconds=round(busy_s, 3),
                period_s=round(period_s, 3),
                kinds=kinds,
            )
        self._seconds += self._period_seconds
        self._period_counts.clear()
        self._period_seconds.clear()
        self._period_started_at = at
