"""How many requests may run on a backend server at once."""

from abc import ABC, abstractmethod

from fuchsiacroft.routing.permits import PermitRequest, RunReport


class ConcurrencyLimit(ABC):
    """The limit of one backend server.

    It counts in runs of mean size, if `weighs_runs`, or simply in runs.
    `paces_prefill` says whether the prompts in prefill are limited as well.
    """

    weighs_runs = False
    limits_prefill = False

    @abstractmethod
    def allowed(self) -> int:
        """Return how many may run at once."""

    @abstractmethod
    def overshoot(self) -> int:
        """Return how many more the top tier may run for a short while."""

    @abstractmethod
    def record_run(
        self, request: PermitRequest, load: float, report: RunReport
    ) -> None:
        """Learn from a run; `load` is that of the others beside it."""


class FixedLimit(ConcurrencyLimit):
    """As many as the backend server announces slots."""

    def __init__(self, slots: int) -> None:
        self._slots = max(1, slots)

    def allowed(self) -> int:
        """Return the announced slots."""
        return self._slots

    def overshoot(self) -> int:
        """Return 0."""
        return 0

    def record_run(
        self, request: PermitRequest, load: float, report: RunReport
    ) -> None:
        """Do nothing: the limit is fixed."""
