"""The operators' API: the document, its history and the versions in force."""

import msgspec
from aiohttp import web
from expression import Error, Result

from fuchsiacroft.config import changes, delta, document
from fuchsiacroft.config.bounds import MAX_WHOLE, is_unicode, whole_number
from fuchsiacroft.config.document import MAX_DOCUMENT_BYTES, TOO_LARGE, Document
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.config.validation import ValidationIssue
from fuchsiacroft.control.api_auth import (
    error_response,
    json_response,
    log_audit_event,
    operator_of,
    token_auth_middleware,
)
from fuchsiacroft.control.api_messages import (
    CHANGE_ID_HEADER,
    MAX_CHANGE_ID_LENGTH,
    OPERATOR_HEADER,
    ChangeResponse,
    Conflict,
    DocumentIssue,
    DocumentResponse,
    HistoryResponse,
    InForceResponse,
    InvalidDocument,
    MemberStatus,
)
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

PROPOSE_TIMEOUT_S = 3.0
DEFAULT_HISTORY_VERSIONS = 100
MAX_HISTORY_VERSIONS = 2_000
NO_QUORUM = "no quorum of control VMs answers"


class OperatorApi(Service):
    """Routes under `/v1/` on the operators' address of a control VM."""

    name = "operator_api"

    def __init__(self, settings: Settings, state: ConfigurationState) -> None:
        self._settings = settings
        self._state = state

    async def start(self, kernel: Kernel) -> None:
        """Get the log and the feed from the kernel."""
        self._log = kernel.get("log", ReplicatedLog)
        self._feed = kernel.get("feed", Feed)

    def add_routes(self, operations: Operations) -> None:
        """Add the routes; must be called before the listener starts."""
        operations.app.middlewares.append(
            token_auth_middleware(self._settings.operator_token_hashes)
        )
        router = operations.app.router
        router.add_get("/v1/document", self._get_document)
        router.add_put("/v1/document", self._put_document)
        router.add_post("/v1/document/check", self._check_document)
        router.add_get("/v1/in-force", self._get_in_force)
        router.add_get("/v1/history", self._get_history)
        router.add_get("/v1/status", self._get_status)

    async def _get_document(self, req: web.Request) -> web.Response:
        if (await self._log.read_barrier(PROPOSE_TIMEOUT_S)).is_error():
            return error_response(503, NO_QUORUM)
        version = _int_parameter(req, "version", self._state.version)
        found = None if version is None else self._state.document_at(version)
        if found is None:
            newest = self._state.version
            return error_response(
                404, f"this version is not retained; the newest is {newest}"
            )
        return json_response(200, DocumentResponse(version, found))

    async def _get_in_force(self, req: web.Request) -> web.Response:
        in_force = await self._feed.in_force()
        return json_response(200, InForceResponse(self._state.version, in_force))

    async def _get_history(self, req: web.Request) -> web.Response:
        limit = _int_parameter(req, "limit", DEFAULT_HISTORY_VERSIONS)
        if limit is None or not 1 <= limit <= MAX_HISTORY_VERSIONS:
            return error_response(400, f"limit must be 1 to {MAX_HISTORY_VERSIONS}")
        return json_response(200, HistoryResponse(self._state.history()[-limit:]))

    async def _get_status(self, req: web.Request) -> web.Response:
        status = MemberStatus(
            node=self._settings.node,
            failure_domain=self._settings.failure_domain,
            version=self._state.version,
            leads=self._log.is_leader,
            term=self._log.term,
            leader_peer=self._log.leader_peer,
            in_force=await self._feed.in_force(),
        )
        return json_response(200, status)

    async def _check_document(self, req: web.Request) -> web.Response:
        match await _read_document(req):
            case Result(tag="ok", ok=new_document):
                change = delta.compute_delta(self._state.document, new_document)
                issue = delta.size_issue(change)
                if issue is not None:
                    return _validation_response([issue])
                return json_response(200, InvalidDocument("no faults", ()))
            case Result(error=response):
                return response

    async def _put_document(self, req: web.Request) -> web.Response:
        base_text = req.headers.get("If-Match", "").strip('"')
        change_id = req.headers.get(CHANGE_ID_HEADER, "")
        if not base_text or not change_id:
            return error_response(
                428,
                f"If-Match (the version to change) and {CHANGE_ID_HEADER} are required",
            )
        base_version = whole_number(base_text)
        if base_version is None:
            detail = f"If-Match must be 0 to {MAX_WHOLE}, is {base_text[:20]!a}"
            return error_response(400, detail)
        for name, text in (
            (CHANGE_ID_HEADER, change_id),
            (OPERATOR_HEADER, operator_of(req)),
        ):
            if not is_unicode(text):
                return error_response(400, f"{name} is not Unicode")
        if len(change_id) > MAX_CHANGE_ID_LENGTH:
            detail = f"{CHANGE_ID_HEADER} is longer than {MAX_CHANGE_ID_LENGTH}"
            return error_response(400, detail)
        match await _read_document(req):
            case Result(tag="ok", ok=new_document):
                return await self._submit_change(
                    req, base_version, change_id, new_document
                )
            case Result(error=response):
                return response

    async def _submit_change(
        self,
        req: web.Request,
        base_version: int,
        change_id: str,
        new_document: Document,
    ) -> web.Response:
        if (await self._log.read_barrier(PROPOSE_TIMEOUT_S)).is_error():
            return error_response(503, f"{NO_QUORUM}; nothing changed")
        newest = self._state.version
        if base_version > newest:
            detail = (
                f"version {base_version} does not exist yet; the newest is {newest}"
            )
            return json_response(409, Conflict("conflict", detail, newest))
        # A change of an older version conflicts or was accepted before; either way
        # its delta isn't applied.
        change = delta.Delta()
        if base_version == newest:
            change = delta.compute_delta(self._state.document, new_document)
        issue = delta.size_issue(change)
        if issue is not None:
            return _validation_response([issue])
        command = ChangeDocument(
            held_version=base_version,
            change_id=change_id,
            operator=operator_of(req),
            delta=change,
            changed_at=clock.wall_time(),
        )
        match await self._log.propose(command, PROPOSE_TIMEOUT_S):
            case Result(tag="ok", ok=applied):
                return self._change_response(req, base_version, applied.result)
            case Result(error=ProposeError.UNKNOWN):
                return error_response(
                    504,
                    "the outcome is unknown; resend the change with the same change id",
                )
            case _:
                return error_response(503, "no quorum; nothing changed")

    def _change_response(
        self, req: web.Request, base_version: int, result: msgspec.Struct
    ) -> web.Response:
        match result:
            case ChangeAccepted(version=version, resent=resent):
                log_audit_event(
                    "info", "document_changed", req, version=version, resent=resent
                )
                return json_response(200, ChangeResponse(version, resent))
            case ChangeConflict():
                return json_response(409, self._describe_conflict(base_version))

    def _describe_conflict(self, base_version: int) -> Conflict:
        newest = self._state.version
        records = self._state.records_since(base_version) or []
        operators = tuple(dict.fromkeys(record.operator for record in records))
        old = self._state.document_at(base_version)
        changed = None
        if old is not None:
            changed = changes.list_changes(old, self._state.document)
        names = ", ".join(operators) or "others"
        detail = f"version {newest} by {names} came first; nothing changed"
        return Conflict("conflict", detail, newest, operators, changed)


def create(settings: Settings, state: ConfigurationState) -> OperatorApi:
    """Return the operators' API of a control member, over the replicated state."""
    return OperatorApi(settings, state)


async def _read_document(req: web.Request) -> Result[Document, web.Response]:
    if (req.content_length or 0) > MAX_DOCUMENT_BYTES:
        return Error(error_response(413, TOO_LARGE))
    data = await req.read()
    if len(data) > MAX_DOCUMENT_BYTES:
        return Error(error_response(413, TOO_LARGE))
    return document.decode(data).map_error(_validation_response)


def _int_parameter(req: web.Request, name: str, default: int) -> int | None:
    text = req.query.get(name)
    if text is None:
        return default
    return whole_number(text)


def _validation_response(faults: list[ValidationIssue]) -> web.Response:
    listed = tuple(DocumentIssue(fault.path, fault.message) for fault in faults)
    return json_response(422, InvalidDocument("invalid document", listed))
