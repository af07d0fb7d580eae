"""Concurrency limits of backend servers."""

from abc import ABC, abstractmethod

from fuchsiacroft.routing.permits import PermitRequest, RunReport


class ConcurrencyLimit(ABC):
    """The concurrency limit of one backend server.

    With `weighs_runs`, a run counts by its size relative to the mean, else as 1.
    `limits_prefill` is true if concurrent prefills are limited too.
    """

    weighs_runs = False
    limits_prefill = False

    @abstractmethod
    def allowed(self) -> int:
        """Return how many runs may be concurrent."""

    @abstractmethod
    def overshoot(self) -> int:
        """Return how many more runs the top tier may start for a short time."""

    @abstractmethod
    def record_run(
        self, request: PermitRequest, load: float, report: RunReport
    ) -> None:
        """Record a run; `load` is that of the concurrent runs."""


class FixedLimit(ConcurrencyLimit):
    """Limits runs to the slots that the backend server announces."""

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
