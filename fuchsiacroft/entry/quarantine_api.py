"""The operator API of an entry for quarantined content."""

from aiohttp import web

from fuchsiacroft.control.api_auth import (
    error_response,
    json_response,
    log_audit_event,
    token_auth_middleware,
)
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.operations import Operations
from fuchsiacroft.quarantine.service import Quarantine


class QuarantineApi(Service):
    """Routes under `/v1/quarantine` on the operators' address of an entry."""

    name = "quarantine_api"

    def __init__(self, operations: Operations, token_hashes: list[str]) -> None:
        operations.app.middlewares.append(token_auth_middleware(token_hashes))
        router = operations.app.router
        router.add_get("/v1/quarantine", self._list)
        router.add_delete("/v1/quarantine/{content_id}", self._lift)

    async def start(self, kernel: Kernel) -> None:
        """Look up the quarantine."""
        self._quarantine = kernel.get("quarantine", Quarantine)

    async def _list(self, req: web.Request) -> web.Response:
        return json_response(200, self._quarantine.dump())

    async def _lift(self, req: web.Request) -> web.Response:
        content_id = req.match_info["content_id"]
        if not self._quarantine.lift(content_id):
            return error_response(404, "this content is not suspected")
        log_audit_event("info", "quarantine_lift_asked", req, content_id=content_id)
        return json_response(200, {"lifted": content_id})


def create(operations: Operations, token_hashes: list[str]) -> QuarantineApi:
    """Return the quarantine API service, with its routes added to `operations`."""
    return QuarantineApi(operations, token_hashes)
