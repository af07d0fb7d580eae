"""How far an entry trusts its own link when others seem silent."""

MAX_SCORE = 8


class LocalHealth:
    """A score of 0 (healthy) to `MAX_SCORE` that stretches probe timeouts.

    An entry whose own probes keep failing, or that others suspect, is likely
    to be the cause, so it grants others more time.
    """

    def __init__(self) -> None:
        self.score = 0

    def better(self) -> None:
        """Note a probe that was answered."""
        self.score = max(0, self.score - 1)

    def worse(self, by: int = 1) -> None:
        """Note a failed probe, silent helpers or a suspicion of ourselves."""
        self.score = min(MAX_SCORE, self.score + by)

    @property
    def multiplier(self) -> int:
        """Return the factor for probe timeouts."""
        return self.score + 1
