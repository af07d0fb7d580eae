"""The operators' API: the document, its history, and who has it in force."""

import hmac

import msgspec
from aiohttp import web
from expression import Result

from fuchsiacroft.config import delta, document
from fuchsiacroft.config.document import Document
from fuchsiacroft.config.faults import Fault
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.control.configuration import (
    ChangeAccepted,
    ChangeConflict,
    ChangeDocument,
    ConfigurationState,
)
from fuchsiacroft.control.feed import Feed
from fuchsiacroft.control.log import ProposeError, ReplicatedLog
from fuchsiacroft.kernel import Kernel, Service
from fuchsiacroft.operations import Operations
from fuchsiacroft.utils import clock
from fuchsiacroft.utils.logs import event

PROPOSE_TIMEOUT_S = 3.0
CHANGE_ID_HEADER = "Fuchsiacroft-Change-Id"
OPERATOR_HEADER = "Fuchsiacroft-Operator"


class OperatorApi(Service):
    """Routes under `/v1/` on the operators' address of a control VM."""

    name = "operator_api"

    def __init__(self, settings: Settings, state: ConfigurationState) -> None:
        self._token_hashes = settings.operator_token_hashes
        self._state = state

    async def start(self, kernel: Kernel) -> None:
        """Look up the log and the feed."""
        self._log = kernel.get("log", ReplicatedLog)
        self._feed = kernel.get("feed", Feed)

    def add_routes(self, operations: Operations) -> None:
        """Add the routes; called before the listener starts."""
        router = operations.app.router
        router.add_get("/v1/document", self._get_document)
        router.add_put("/v1/document", self._put_document)
        router.add_get("/v1/in-force", self._get_in_force)
        router.add_get("/v1/history", self._get_history)

    async def _get_document(self, req: web.Request) -> web.Response:
        if not self._authorized(req):
            return _unauthorized()
        if (await self._log.read_barrier(PROPOSE_TIMEOUT_S)).is_error():
            return _problem(503, "no quorum of control VMs answers")
        return _json(
            200, {"version": self._state.version, "document": self._state.document}
        )

    async def _get_in_force(self, req: web.Request) -> web.Response:
        if not self._authorized(req):
            return _unauthorized()
        state = self._state
        return _json(
            200, {"version": state.version, "in_force": await self._feed.in_force()}
        )

    async def _get_history(self, req: web.Request) -> web.Response:
        if not self._authorized(req):
            return _unauthorized()
        newest = self._state.history()[-100:]
        return _json(200, {"versions": newest})

    async def _put_document(self, req: web.Request) -> web.Response:
        if not self._authorized(req):
            return _unauthorized()
        held = req.headers.get("If-Match", "").strip('"')
        change_id = req.headers.get(CHANGE_ID_HEADER, "")
        if not held.isdigit() or not change_id:
            return _problem(
                428, f"If-Match (the version held) and {CHANGE_ID_HEADER} are needed"
            )
        try:
            value = msgspec.json.decode(await req.read())
        except (msgspec.MsgspecError, RecursionError) as exc:
            return _faults([Fault("$", f"is not JSON: {exc}")])
        match document.parse(value):
            case Result(tag="ok", ok=parsed):
                return await self._change(req, int(held), change_id, parsed)
            case Result(error=faults):
                return _faults(faults)

    async def _change(
        self, req: web.Request, held: int, change_id: str, wanted: Document
    ) -> web.Response:
        if (await self._log.read_barrier(PROPOSE_TIMEOUT_S)).is_error():
            return _problem(503, "no quorum of control VMs answers; nothing changed")
        if held > self._state.version:
            return _conflict(self._state.version, "this version does not exist yet")
        operator = req.headers.get(OPERATOR_HEADER, "unnamed")
        command = ChangeDocument(
            held_version=held,
            change_id=change_id,
            operator=operator,
            delta=delta.between(self._state.document, wanted),
            changed_at=clock.wall(),
        )
        match await self._log.propose(command, PROPOSE_TIMEOUT_S):
            case Result(tag="ok", ok=applied):
                return self._answer(applied.result, operator)
            case Result(error=ProposeError.UNKNOWN):
                return _problem(
                    504, "the outcome is unknown; send it again, same change id"
                )
            case _:
                return _problem(503, "no quorum; nothing changed")

    def _answer(self, result: msgspec.Struct, operator: str) -> web.Response:
        match result:
            case ChangeAccepted(version=version, resent=resent):
                event("info", "document_changed", version=version, operator=operator)
                return _json(200, {"version": version, "resent": resent})
            case ChangeConflict(version=version, operator=other):
                return _conflict(version, f"version {version} by {other} came first")

    def _authorized(self, req: web.Request) -> bool:
        scheme, _, token = req.headers.get("Authorization", "").partition(" ")
        if scheme != "Bearer":
            return False
        hashed = document.hash_key(token)
        return any(hmac.compare_digest(hashed, known) for known in self._token_hashes)


def create(settings: Settings, state: ConfigurationState) -> OperatorApi:
    """Return the operators' API of a control member."""
    return OperatorApi(settings, state)


def _json(status: int, value: object) -> web.Response:
    body = msgspec.json.encode(value)
    return web.Response(status=status, body=body, content_type="application/json")


def _problem(status: int, detail: str) -> web.Response:
    return _json(status, {"title": "refused", "detail": detail})


def _conflict(version: int, detail: str) -> web.Response:
    return _json(409, {"title": "conflict", "detail": detail, "version": version})


def _faults(faults: list[Fault]) -> web.Response:
    listed = [{"path": fault.path, "message": fault.message} for fault in faults]
    return _json(422, {"title": "invalid document", "faults": listed})


def _unauthorized() -> web.Response:
    return _problem(401, "an operator token is needed")
