"""How many requests may run on a backend server at once."""

from abc import ABC, abstractmethod

from fuchsiacroft.routing.ask import Ask, RunReport


class Limit(ABC):
    """The limit of one backend server."""

    @abstractmethod
    def allowed(self, rank: int) -> int:
        """Return how many may run at once when one of this rank starts."""

    @abstractmethod
    def note(self, ask: Ask, running: int, report: RunReport) -> None:
        """Learn from a run; `running` counts the others beside it."""


class FixedLimit(Limit):
    """As many as the backend server announces slots."""

    def __init__(self, slots: int) -> None:
        self._slots = max(1, slots)

    def allowed(self, rank: int) -> int:
        """Return the announced slots."""
        return self._slots

    def note(self, ask: Ask, running: int, report: RunReport) -> None:
        """Do nothing: the limit is fixed."""
