"""Times of the events of one stream, on the event loop's clock."""

from dataclasses import dataclass

MIN_EVENTS_FOR_GAP = 3


@dataclass(slots=True)
class EventTimes:
    """When events came; those that came together count as one time."""

    first_at: float | None = None
    last_at: float | None = None
    longest_gap_s: float = 0.0

    def record(self, at: float) -> None:
        """Record that events have come."""
        if self.first_at is None:
            self.first_at = at
        if self.last_at is not None:
            self.longest_gap_s = max(self.longest_gap_s, at - self.last_at)
        self.last_at = at

    def token_gap_s(self, events: int, event_tokens: int) -> float | None:
        """Return the mean seconds between tokens, or None after too few events."""
        if events < MIN_EVENTS_FOR_GAP or self.first_at == self.last_at:
            return None
        return (self.last_at - self.first_at) / ((events - 1) * event_tokens)
