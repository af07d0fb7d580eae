"""Dispatches admitted requests: ledger lookup, permit, run and response."""

import asyncio
from collections.abc import Callable

import msgspec
from aiohttp import web
from expression import Result

from fuchsiacroft.control.ledger import KeyState
from fuchsiacroft.entry import ledger_responses
from fuchsiacroft.entry.backend_client import BackendClient
from fuchsiacroft.entry.exchange import Exchange
from fuchsiacroft.entry.ledger_client import LedgerClient
from fuchsiacroft.entry.problems import ExecutionState, Problem
from fuchsiacroft.entry.run import Run, RunServices
from fuchsiacroft.entry.run_durations import RunDurations
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.routing.permits import (
    PermitRequest,
    Refusal,
    RefusalReason,
    RunOutcome,
)
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
    RefusalReason.SERVERS_PAUSED: 503,
    RefusalReason.VERSION_GONE: 503,
}


class Dispatcher(Service):
    """Serves admitted requests.

    The callbacks in `on_detached_run_end` are called for each run that ended
    after its caller had disconnected. `durations` are those of complete runs.
    """

    name = "dispatcher"

    def __init__(self) -> None:
        self._claimed_runs = BackgroundTasks("dispatcher")
        self.on_detached_run_end: list[Callable[[Exchange], None]] = []
        self.durations = RunDurations()

    async def start(self, kernel: Kernel) -> None:
        """Look up the services that runs need."""
        self._services = RunServices(
            scheduler=kernel.get("scheduler", Scheduler),
            client=kernel.get("backend_client", BackendClient),
            ledger=kernel.get("ledger_client", LedgerClient),
        )

    async def stop(self) -> None:
        """Cancel the runs with an idempotency key that are still in progress."""
        await self._claimed_runs.cancel()

    def dump(self) -> dict:
        """Return how many runs continue even if their callers disconnect."""
        return {"claimed_runs": len(self._claimed_runs)}

    @property
    def claimed_runs(self) -> int:
        """The number of runs in progress that have an idempotency key."""
        return len(self._claimed_runs)

    async def serve(self, exchange: Exchange) -> web.StreamResponse:
        """Return the response to a request; every request gets one."""
        request = exchange.request
        if request.ledger_key is not None:
            match await self._services.ledger.look_up(request.ledger_key):
                case Result(tag="ok", ok=status) if status.state is not KeyState.FREE:
                    return ledger_responses.response(status, exchange)
                case Result(tag="error"):
                    return exchange.error_response(ledger_responses.no_quorum_problem())
        return await self._run(exchange)

    async def _run(self, exchange: Exchange) -> web.StreamResponse:
        permit_request = exchange.request.permit_request
        deadline = now() + permit_request.timeout_s
        for _ in range(MAX_CONNECT_TRIES):
            match await self._services.scheduler.acquire(
                _with_remaining_time(permit_request, deadline)
            ):
                case Result(tag="ok", ok=permit):
                    run = Run(self._services, exchange, permit, deadline)
                case Result(error=refusal):
                    return exchange.error_response(_refusal_problem(refusal))
            began_at = now()
            response = await self._serve(run, exchange)
            if exchange.outcome is RunOutcome.COMPLETED:
                self.durations.record(exchange.request.spec.name, now() - began_at)
            if response is not None:
                return response
        detail = "no backend server could be reached"
        problem = Problem(
            503, "no_backend_server", detail, ExecutionState.NO, RETRY_AFTER_S
        )
        return exchange.error_response(problem)

    async def _serve(self, run: Run, exchange: Exchange) -> web.StreamResponse | None:
        """Serve a run; one with an idempotency key outlives its caller's connection."""
        if exchange.request.ledger_key is None:
            return await run.serve()
        task = self._claimed_runs.spawn(run.serve(), "claimed-run")
        task.add_done_callback(lambda _: self._claimed_run_ended(exchange))
        return await asyncio.shield(task)

    def _claimed_run_ended(self, exchange: Exchange) -> None:
        if exchange.caller_disconnected:
            for callback in self.on_detached_run_end:
                callback(exchange)


def create() -> Dispatcher:
    """Return the dispatcher service."""
    return Dispatcher()


def _with_remaining_time(
    permit_request: PermitRequest, deadline: float
) -> PermitRequest:
    return msgspec.structs.replace(permit_request, timeout_s=max(0.0, deadline - now()))


def _refusal_problem(refusal: Refusal) -> Problem:
    return Problem(
        REFUSAL_STATUS[refusal.reason],
        refusal.reason.value,
        "the request did not run",
        ExecutionState.NO,
        refusal.retry_after_s or None,
    )
