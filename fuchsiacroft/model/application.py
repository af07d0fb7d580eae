"""A model of a plain application: workers shared by all requests."""

from fuchsiacroft.model.server import ModelServer, ServerRun
from fuchsiacroft.model.shared_work import SharedWork


class ModelApplication(ModelServer):
    """Runs requests on a number of workers; more requests share them."""

    def __init__(self, workers: int) -> None:
        super().__init__()
        self._workers = workers
        self._shared = SharedWork()

    def _rate(self) -> float:
        running = max(1, len(self._shared))
        return min(1.0, self._workers / running) / self.slowdown

    def _begin(self, run: ServerRun) -> None:
        self._shared.add(run, run.arrival.plain_s)

    def _abandon(self, run: ServerRun) -> None:
        self._shared.remove(run)

    def _work(self, seconds: float) -> None:
        self._shared.advance(seconds, self._rate())

    def _due_in(self) -> float:
        return self._shared.due_in(self._rate())

    def _finish_due(self) -> None:
        for run in self._shared.pop_done():
            self._complete(run)
