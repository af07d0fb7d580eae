"""Readiness endpoint of an entry for the platform's load balancer."""

from collections.abc import Callable

from aiohttp import web

from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.utils.http import Listener
from fuchsiacroft.utils.inbound_limits import InboundLimits
from fuchsiacroft.utils.logs import event


class Readiness(Service):
    """Serves `/v1/readyz`."""

    name = "readiness"

    def __init__(
        self,
        address: str,
        checks: tuple[Callable[[], str | None], ...],
        limits: InboundLimits | None,
    ) -> None:
        app = web.Application()
        app.router.add_get("/v1/readyz", self._handle_readyz)
        self._listener = Listener(app, address, name="readiness", limits=limits)
        self._checks = checks
        self._last_reason: str | None = "not checked yet"

    async def start(self, kernel: Kernel) -> None:
        """Start listening."""
        await self._listener.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._listener.stop()

    async def _handle_readyz(self, req: web.Request) -> web.Response:
        reasons = [reason for check in self._checks if (reason := check())]
        reason = "; ".join(reasons) or None
        if reason != self._last_reason:
            event("info", "readiness_changed", ready=not reasons, reason=reason or "-")
            self._last_reason = reason
        if reason is None:
            return web.Response(text="ready\n")
        return web.Response(status=503, text=reason + "\n")


def create(
    address: str,
    *checks: Callable[[], str | None],
    limits: InboundLimits | None = None,
) -> Readiness:
    """Return the endpoint; each check returns a reason for not being ready, or None."""
    return Readiness(address, checks, limits)
