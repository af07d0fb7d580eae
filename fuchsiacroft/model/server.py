"""The base class of simulated engines and applications."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from fuchsiacroft.model.trace import Arrival
from fuchsiacroft.utils.clock import now


class ConnectFailedError(Exception):
    """The server is not reachable; nothing was sent."""


class ConnectionLostError(Exception):
    """The connection was lost while the server ran a request."""


@dataclass(slots=True, eq=False)
class ServerRun:
    """One run on a server; times are on the loop's clock, in seconds."""

    arrival: Arrival
    done: asyncio.Future
    on_first_token: Callable[[], None] = field(repr=False)
    domain: str
    started_at: float
    first_token_at: float | None = None
    ended_at: float | None = None
    prompt_tokens_to_prefill: int = 0
    prefilled_tokens: float = 0.0

    def request_id(self) -> str:
        """Return the id of the request; used as a sort key."""
        return self.arrival.request_id


class SimulatedServer(ABC):
    """Admits every request, without priorities; can be slowed down or killed."""

    def __init__(self) -> None:
        self.slowdown = 1.0
        self.alive = True
        self.leaving_since: float | None = None
        self.runs: set[ServerRun] = set()
        self._advanced_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(
        self, arrival: Arrival, on_first_token: Callable[[], None], domain: str
    ) -> ServerRun:
        """Start a run for an entry of a domain.

        An engine calls `on_first_token` after prefill, an application never does.
        """
        if not self.alive:
            raise ConnectFailedError
        self._advance()
        done = asyncio.get_running_loop().create_future()
        run = ServerRun(arrival, done, on_first_token, domain, started_at=now())
        self.runs.add(run)
        self._start_run(run)
        self._schedule()
        return run

    def cancel(self, run: ServerRun) -> None:
        """Cancel a run whose caller has disconnected."""
        if run not in self.runs:
            return
        self._advance()
        self._cancel_run(run)
        self._remove(run)
        self._schedule()

    def disconnect(self, run: ServerRun) -> None:
        """End a run whose connection is lost."""
        self.cancel(run)
        if not run.done.done():
            run.done.set_exception(ConnectionLostError())

    def slow_down(self, factor: float) -> None:
        """Set the factor by which the server is slowed down."""
        self._advance()
        self.slowdown = factor
        self._schedule()

    def kill(self) -> None:
        """Kill the server; every run is lost."""
        self._advance()
        self.alive = False
        for run in sorted(self.runs, key=ServerRun.request_id):
            self._cancel_run(run)
            self._remove(run)
            if not run.done.done():
                run.done.set_exception(ConnectionLostError())
        self._schedule()

    def _remove(self, run: ServerRun) -> None:
        run.ended_at = now()
        self.runs.discard(run)

    def _complete(self, run: ServerRun) -> None:
        self._remove(run)
        if not run.done.done():
            run.done.set_result(run)

    def _advance(self) -> None:
        seconds = now() - self._advanced_at
        self._advanced_at = now()
        if seconds > 0.0:
            self._advance_runs(seconds)

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        delay_s = self._next_event_in()
        if self.alive and delay_s < 1e9:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._tick)

    def _tick(self) -> None:
        self._advance()
        self._complete_due()
        self._schedule()

    @abstractmethod
    def _start_run(self, run: ServerRun) -> None:
        """Start the work of a run."""

    @abstractmethod
    def _cancel_run(self, run: ServerRun) -> None:
        """Cancel the work of a run."""

    @abstractmethod
    def _advance_runs(self, seconds: float) -> None:
        """Advance every run."""

    @abstractmethod
    def _next_event_in(self) -> float:
        """Return the seconds until the next run changes its state."""

    @abstractmethod
    def _complete_due(self) -> None:
        """Complete the runs and prefills that are due."""


@dataclass(frozen=True, slots=True)
class DeployedServer:
    """A simulated server with its name, domain and announced properties."""

    name: str
    domain: str
    service: str
    generation: str
    slots: int
    server: SimulatedServer = field(repr=False)
