"""Loads that servers reported in the heads of answers, until a message carries them.

The messages about a run go to its coordinator anyway, so a report costs no message.
"""

from fuchsiacroft.membership.reported_load import ReportedLoad


class AnsweredLoads:
    """The reported loads of the runs in progress that weren't passed on yet."""

    def __init__(self) -> None:
        self._loads: dict[str, tuple[ReportedLoad, float]] = {}

    def add(self, run_id: str, load: ReportedLoad, at: float) -> None:
        """Keep what the server of a run reported."""
        self._loads[run_id] = load, at

    def take(self, run_id: str, at: float) -> tuple[ReportedLoad | None, float]:
        """Return the report of a run and its age once, then None."""
        load, reported_at = self._loads.pop(run_id, (None, at))
        return load, at - reported_at
