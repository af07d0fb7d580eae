"""Local health score, which scales probe timeouts (as in Lifeguard)."""

MAX_SCORE = 8


class LocalHealth:
    """A score from 0 (healthy) to `MAX_SCORE` that scales probe timeouts.

    An entry whose probes keep failing, or that other entries suspect, probably
    has a problem of its own, so it allows other entries more time.
    """

    def __init__(self) -> None:
        self.score = 0

    def record_success(self) -> None:
        """Lower the score after a probe was acknowledged."""
        self.score = max(0, self.score - 1)

    def record_failure(self, weight: int = 1) -> None:
        """Raise the score.

        Called after a failed probe, for helpers that did not reply, and when
        another entry suspects this one.
        """
        self.score = min(MAX_SCORE, self.score + weight)

    @property
    def multiplier(self) -> int:
        """Return the factor by which probe timeouts are multiplied."""
        return self.score + 1
