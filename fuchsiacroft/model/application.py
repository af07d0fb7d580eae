"""A simulated plain application, whose workers are shared by all requests."""

from fuchsiacroft.model.processor_sharing import ProcessorSharing
from fuchsiacroft.model.server import ServerRun, SimulatedServer


class SimulatedApplication(SimulatedServer):
    """Runs each request on a worker; requests in excess share the workers."""

    def __init__(self, workers: int) -> None:
        super().__init__()
        self._workers = workers
        self._processor = ProcessorSharing()

    def _rate(self) -> float:
        running = max(1, len(self._processor))
        return min(1.0, self._workers / running) / self.slowdown

    def _start_run(self, run: ServerRun) -> None:
        self._processor.add(run, run.arrival.plain_s)

    def _cancel_run(self, run: ServerRun) -> None:
        self._processor.remove(run)

    def _advance_runs(self, seconds: float) -> None:
        self._processor.advance(seconds, self._rate())

    def _next_event_in(self) -> float:
        return self._processor.next_completion_in(self._rate())

    def _complete_due(self) -> None:
        for run in self._processor.pop_completed():
            self._complete(run)
