"""Runs requests with suspected content apart from others, and few at a time.

An isolated run goes to the server with the fewest other runs, and nothing is added
there until its answer has begun. So a crash ends few other runs and is blamed on
one request.
"""

from collections.abc import Callable, Collection

from fuchsiacroft.placing.server_load import Run, ServerLoad

MAX_ISOLATED_SHARE = 0.25
"""Share of a service's servers that isolated runs may occupy, but at least one."""


class IsolatedRuns:
    """The isolated runs whose answers have not begun, with their servers."""

    def __init__(self) -> None:
        self._runs: dict[str, tuple[Run, ServerLoad]] = {}

    def add(self, run: Run, load: ServerLoad) -> None:
        """Add a run that has suspected content."""
        if run.suspected_content:
            self._runs[run.run_id] = (run, load)

    def discard(self, run_id: str) -> None:
        """Remove a run whose answer has begun, or that has ended."""
        self._runs.pop(run_id, None)

    def occupies(self, load: ServerLoad) -> bool:
        """Return whether a server is taken by an isolated run."""
        return any(other is load for _, other in self._runs.values())

    def choose(
        self,
        suspected: frozenset[str],
        servers: Collection[ServerLoad],
        is_free: Callable[[ServerLoad], bool],
    ) -> ServerLoad | None:
        """Return the one of a service's servers for a run with suspected content.

        None if the run has to wait; `servers` are those that it may run on.
        """
        occupied = [load for load in servers if self.occupies(load)]
        if len(occupied) >= max(1, int(MAX_ISOLATED_SHARE * len(servers))):
            return None
        if any(run.suspected_content & suspected for run, _ in self._runs.values()):
            return None
        candidates = [
            load for load in servers if is_free(load) and load not in occupied
        ]
        return min(candidates, key=_runs_at_risk, default=None)


def _runs_at_risk(load: ServerLoad) -> tuple[int, int]:
    not_begun = sum(run.begun_at is None for run in load.runs.values())
    return not_begun, len(load.runs)
