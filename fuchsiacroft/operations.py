"""The operators' HTTP endpoint of a process: health, readiness, metrics, dump."""

import ssl
from collections.abc import Callable

import msgspec
from aiohttp import web

from fuchsiacroft.gauges import Gauges
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.utils.http import Listener
from fuchsiacroft.utils.inbound_limits import InboundLimits
from fuchsiacroft.utils.metrics import Metrics

ReadinessCheck = Callable[[], str | None]


class Operations(Service):
    """Serves `/healthz`, `/readyz`, `/metrics` and `/dump`.

    Before the start, other services can add routes to `app`, and readiness
    checks that return None or the reason why the process is not ready.
    """

    name = "operations"

    def __init__(
        self,
        address: str,
        metrics: Metrics,
        tls: ssl.SSLContext | None = None,
        limits: InboundLimits | None = None,
    ) -> None:
        self.app = web.Application(client_max_size=64 * 1024 * 1024)
        self.metrics = metrics
        self._gauges = Gauges(metrics)
        self._readiness_checks: list[ReadinessCheck] = []
        self._listener = Listener(
            self.app, address, tls, name="operators", limits=limits
        )
        self._kernel: Kernel | None = None
        self.app.router.add_get("/healthz", self._healthz)
        self.app.router.add_get("/readyz", self._readyz)
        self.app.router.add_get("/metrics", self._metrics)
        self.app.router.add_get("/dump", self._dump)

    def add_readiness_check(self, check: ReadinessCheck) -> None:
        """Add a readiness check."""
        self._readiness_checks.append(check)

    async def start(self, kernel: Kernel) -> None:
        """Start to listen on the operators' address."""
        self._kernel = kernel
        await self._listener.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._listener.stop()

    async def _healthz(self, req: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readyz(self, req: web.Request) -> web.Response:
        reasons = [reason for check in self._readiness_checks if (reason := check())]
        if reasons:
            return web.Response(status=503, text="\n".join(reasons) + "\n")
        return web.Response(text="ready\n")

    async def _metrics(self, req: web.Request) -> web.Response:
        if self._kernel is not None:
            self._gauges.collect(self._kernel)
        body, headers = self.metrics.render(req.headers.getall("Accept", []))
        return web.Response(body=body, headers=headers)

    async def _dump(self, req: web.Request) -> web.Response:
        state = self._kernel.dump() if self._kernel else {}
        body = msgspec.json.format(msgspec.json.encode(state))
        return web.Response(body=body, content_type="application/json")


def create(
    address: str,
    metrics: Metrics,
    tls: ssl.SSLContext | None = None,
    limits: InboundLimits | None = None,
) -> Operations:
    """Return the operations service that listens on an address."""
    return Operations(address, metrics, tls, limits)
