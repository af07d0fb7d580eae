"""The question of the platform's balancer whether an entry takes clients."""

from collections.abc import Callable

from aiohttp import web

from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.utils.http import Listener
from fuchsiacroft.utils.logs import event


class Readiness(Service):
    """Serves `/v1/readyz`."""

    name = "readiness"

    def __init__(
        self, address: str, checks: tuple[Callable[[], str | None], ...]
    ) -> None:
        app = web.Application()
        app.router.add_get("/v1/readyz", self._answer)
        self._listener = Listener(app, address)
        self._checks = checks
        self._last: str | None = "not asked yet"

    async def start(self, kernel: Kernel) -> None:
        """Listen for the balancer."""
        await self._listener.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._listener.stop()

    async def _answer(self, req: web.Request) -> web.Response:
        reasons = [reason for check in self._checks if (reason := check())]
        reason = "; ".join(reasons) or None
        if reason != self._last:
            event("info", "readiness_changed", ready=not reasons, reason=reason or "-")
            self._last = reason
        if reason is None:
            return web.Response(text="ready\n")
        return web.Response(status=503, text=reason + "\n")


def create(address: str, *checks: Callable[[], str | None]) -> Readiness:
    """Return the answer for an address; each check returns why not, or None."""
    return Readiness(address, checks)
