"""The callers' HTTP interface of an entry."""

import asyncio
import ssl

from aiohttp import web
from expression import Result

from fuchsiacroft.config.held import HeldDocument
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.entry import problems
from fuchsiacroft.entry.admission import Admission, Admitted
from fuchsiacroft.entry.dispatch import Dispatcher
from fuchsiacroft.entry.problems import Problem, Ran
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.http import Listener
from fuchsiacroft.utils.logs import event
from fuchsiacroft.utils.metrics import Metrics

MAX_BODY_BYTES = 64 * 1024 * 1024
DRAIN_POLL_S = 0.05
NO_ID = "none"


class Callers(Service):
    """Serves `/v1/completions`, `/v1/chat/completions` and `/services/`."""

    name = "callers"

    def __init__(
        self, settings: Settings, metrics: Metrics, tls: ssl.SSLContext | None
    ) -> None:
        self._settings = settings
        self._in_progress = 0
        self.draining = False
        self._answers = metrics.counter(
            "fuchsiacroft_answers_total", "Answers to callers by service and status"
        )
        self._seconds = metrics.histogram(
            "fuchsiacroft_answer_duration_seconds", "Time to the end of the answer"
        )
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/v1/completions", self._model)
        app.router.add_post("/v1/chat/completions", self._model)
        app.router.add_route("*", "/services/{service}{path:(/.*)?}", self._plain)
        self._listener = Listener(app, settings.addresses.callers, tls)

    async def start(self, kernel: Kernel) -> None:
        """Listen for callers."""
        self._admission = Admission(kernel.get("document", HeldDocument))
        self._dispatcher = kernel.get("dispatcher", Dispatcher)
        await self._listener.start()

    async def drain(self) -> None:
        """Refuse new requests and wait for those in progress."""
        self.draining = True
        deadline = now() + self._settings.drain_timeout_s
        while self._in_progress and now() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)

    async def stop(self) -> None:
        """Stop listening."""
        await self._listener.stop()

    def dump(self) -> dict:
        """Return how many requests are in progress."""
        return {"in_progress": self._in_progress, "draining": self.draining}

    def why_not_ready(self) -> str | None:
        """Return why callers should go elsewhere, or None."""
        return "draining" if self.draining else None

    async def _model(self, req: web.Request) -> web.StreamResponse:
        return await self._serve(req, lambda: self._admission.model(req, req.path_qs))

    async def _plain(self, req: web.Request) -> web.StreamResponse:
        name = req.match_info["service"]
        path = req.raw_path[len(f"/services/{name}") :] or "/"
        return await self._serve(req, lambda: self._admission.plain(req, name, path))

    async def _serve(self, req: web.Request, admit) -> web.StreamResponse:
        if self.draining:
            problem = Problem(503, "draining", "this entry is stopping", Ran.NO, 1.0)
            return problems.response(problem, NO_ID)
        self._in_progress += 1
        started_at = now()
        try:
            admitted: Admitted = await admit()
            match admitted:
                case Result(tag="ok", ok=accepted):
                    response = await self._dispatcher.serve(req, accepted)
                    self._count(accepted, response, started_at)
                    return response
                case Result(error=problem):
                    return problems.response(problem, NO_ID)
        finally:
            self._in_progress -= 1

    def _count(self, accepted, response: web.StreamResponse, started_at: float) -> None:
        service = accepted.spec.name
        seconds = now() - started_at
        self._answers.inc({"service": service, "status": str(response.status)})
        self._seconds.observe({"service": service}, seconds)
        event(
            "info",
            "answered",
            request_id=accepted.request_id,
            service=service,
            workspace=accepted.ask.workspace,
            rank=accepted.ask.rank,
            status=response.status,
            seconds=round(seconds, 4),
        )


def create(
    settings: Settings, metrics: Metrics, tls: ssl.SSLContext | None = None
) -> Callers:
    """Return the callers' interface of an entry."""
    return Callers(settings, metrics, tls)
