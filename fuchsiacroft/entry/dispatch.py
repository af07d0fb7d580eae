"""The path of one admitted request: ledger, permit, one dispatch, answer."""

import asyncio
from collections.abc import Callable

import msgspec
from aiohttp import web
from expression import Result

from fuchsiacroft.control.ledger import KeyState
from fuchsiacroft.entry import known_keys
from fuchsiacroft.entry.backend_client import BackendClient
from fuchsiacroft.entry.exchange import Exchange
from fuchsiacroft.entry.ledger_client import LedgerClient
from fuchsiacroft.entry.problems import ExecutionState, Problem
from fuchsiacroft.entry.run import Run, RunServices
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.routing.permits import PermitRequest, Refusal, RefusalReason
from fuchsiacroft.routing.scheduler import Scheduler
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.tasks import BackgroundTasks

MAX_CONNECT_TRIES = 3
RETRY_AFTER_S = 2.0

REFUSAL_STATUS = {
    RefusalReason.NO_BACKEND_SERVER: 503,
    RefusalReason.OVERLOADED: 429,
    RefusalReason.TIMED_OUT: 504,
    RefusalReason.QUARANTINED: 422,
    RefusalReason.DRAINING: 503,
}


class Dispatcher(Service):
    """Takes an admitted request to its answer.

    `ended_alone` is told of runs that ended after their callers had left.
    """

    name = "dispatcher"

    def __init__(self) -> None:
        self._claimed_runs = BackgroundTasks("dispatcher")
        self.ended_alone: list[Callable[[Exchange], None]] = []

    async def start(self, kernel: Kernel) -> None:
        """Look up the services on the path."""
        self._services = RunServices(
            scheduler=kernel.get("scheduler", Scheduler),
            client=kernel.get("backend_client", BackendClient),
            ledger=kernel.get("ledger_client", LedgerClient),
        )

    async def stop(self) -> None:
        """End the runs whose callers have left."""
        await self._claimed_runs.cancel()

    def dump(self) -> dict:
        """Return how many runs go on whether or not their callers stay."""
        return {"claimed_runs": len(self._claimed_runs)}

    @property
    def claimed_runs(self) -> int:
        """Return how many non-idempotent runs are in progress."""
        return len(self._claimed_runs)

    async def serve(self, exchange: Exchange) -> web.StreamResponse:
        """Return the answer to a request; every request gets one."""
        req = exchange.accepted
        if req.ledger_key is not None:
            match await self._services.ledger.look_up(req.ledger_key):
                case Result(tag="ok", ok=status) if status.state is not KeyState.FREE:
                    return known_keys.answer(status, exchange)
                case Result(tag="error"):
                    return exchange.refuse(known_keys.no_quorum())
        return await self._run(exchange)

    async def _run(self, exchange: Exchange) -> web.StreamResponse:
        ask = exchange.accepted.ask
        deadline = now() + ask.timeout_s
        for _ in range(MAX_CONNECT_TRIES):
            match await self._services.scheduler.acquire(_remaining(ask, deadline)):
                case Result(tag="ok", ok=permit):
                    run = Run(self._services, exchange, permit, deadline)
                case Result(error=refusal):
                    return exchange.refuse(_refused(refusal))
            response = await self._serve(run, exchange)
            if response is not None:
                return response
        detail = "no backend server could be reached"
        problem = Problem(
            503, "no_backend_server", detail, ExecutionState.NO, RETRY_AFTER_S
        )
        return exchange.refuse(problem)

    async def _serve(self, run: Run, exchange: Exchange) -> web.StreamResponse | None:
        """Serve; a claimed run goes on to its outcome when the caller leaves."""
        if exchange.accepted.ledger_key is None:
            return await run.serve()
        task = self._claimed_runs.spawn(run.serve(), "claimed-run")
        task.add_done_callback(lambda _: self._ended(exchange))
        return await asyncio.shield(task)

    def _ended(self, exchange: Exchange) -> None:
        if exchange.left:
            for listener in self.ended_alone:
                listener(exchange)


def create() -> Dispatcher:
    """Return the dispatcher of an entry."""
    return Dispatcher()


def _remaining(ask: PermitRequest, deadline: float) -> PermitRequest:
    return msgspec.structs.replace(ask, timeout_s=max(0.0, deadline - now()))


def _refused(refusal: Refusal) -> Problem:
    return Problem(
        REFUSAL_STATUS[refusal.reason],
        refusal.reason.value,
        "the request did not run",
        ExecutionState.NO,
        refusal.retry_after_s or None,
    )
