"""The load that a backend server reports of itself in its answers.

A report may be stale or untrue, so it is only evidence: what it says of the server's
speed is bounded and loses half of its weight in `HALF_LIFE_S`.
"""

import msgspec

from fuchsiacroft.config.bounds import MAX_COUNT, Count, whole_number

HALF_LIFE_S = 0.5
"""Servers that share a machine change their speed several times a second."""
USUAL_PERCENT = 100
MAX_SLOWNESS = 5.0
"""Servers of one service differ up to fivefold; a higher figure is no evidence."""
FIELDS = (3, 4)


class ReportedLoad(msgspec.Struct, frozen=True):
    """Requests that a server runs and queues, and its slots, as it reports them.

    `percent` tells how long work takes there now, where 100 is usual. It is None if
    the server doesn't say.
    """

    running: Count
    waiting: Count
    slots: Count
    percent: Count | None = None

    def slowness(self, age_s: float) -> float:
        """Return the factor by which work takes longer there, from 1 to a bound.

        A server that says that it is faster than usual gets no more work for it.
        """
        if self.percent is None or self.percent <= USUAL_PERCENT:
            return 1.0
        factor = min(self.percent / USUAL_PERCENT, MAX_SLOWNESS)
        return 1.0 + (factor - 1.0) * weight(age_s)


def weight(age_s: float) -> float:
    """Return how much a report counts that is `age_s` old."""
    return 0.5 ** (max(age_s, 0.0) / HALF_LIFE_S)


def parse(text: str) -> ReportedLoad | None:
    """Return the load in `running,waiting,slots[,percent]`, None if it isn't that."""
    parts = text.split(",")
    if len(parts) not in FIELDS:
        return None
    counts = [whole_number(part.strip()) for part in parts]
    if any(count is None or count > MAX_COUNT for count in counts):
        return None
    return ReportedLoad(*counts)
