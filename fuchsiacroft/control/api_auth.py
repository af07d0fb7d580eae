"""Token authentication and audit logging for the operators' API."""

import hmac

import msgspec
from aiohttp import web

from fuchsiacroft.config.document import hash_key
from fuchsiacroft.control.api_messages import (
    CHANGE_ID_HEADER,
    MAX_CHANGE_ID_LENGTH,
    MAX_OPERATOR_LENGTH,
    OPERATOR_HEADER,
    ErrorResponse,
)
from fuchsiacroft.utils.logs import event

API_PREFIX = "/v1/"
CREDENTIAL = web.RequestKey("credential", int)
UNKNOWN_OPERATOR = "unnamed"


def json_response(status: int, value: object) -> web.Response:
    """Return an HTTP response with a JSON body."""
    body = msgspec.json.encode(value)
    return web.Response(status=status, body=body, content_type="application/json")


def error_response(status: int, detail: str) -> web.Response:
    """Return an HTTP error response with the reason in `detail`."""
    return json_response(status, ErrorResponse("refused", detail))


def token_auth_middleware(token_hashes: list[str]):
    """Return middleware that requires an operator token for paths under `/v1/`.

    It also logs an `operator_refused` event for each rejected request.
    """

    @web.middleware
    async def check(req: web.Request, handler) -> web.StreamResponse:
        if not req.path.startswith(API_PREFIX):
            return await handler(req)
        credential = _credential_index(req, token_hashes)
        if credential is None:
            response = error_response(401, "an operator token is needed")
        else:
            req[CREDENTIAL] = credential
            response = await _handle_errors(req, handler)
        if response.status >= 400:
            log_audit_event("warning", "operator_refused", req, status=response.status)
        return response

    return check


def log_audit_event(level: str, name: str, req: web.Request, **fields: object) -> None:
    """Log who made a request, and from where.

    `credential` is the zero-based index of the token that was used, or "none".
    """
    event(
        level,
        name,
        operator=operator_of(req),
        credential=req.get(CREDENTIAL, "none"),
        source=req.remote,
        method=req.method,
        path=req.path,
        change_id=_truncate_change_id(req.headers.get(CHANGE_ID_HEADER, "none")),
        **fields,
    )


def operator_of(req: web.Request) -> str:
    """Return the operator's name from the request, truncated to the maximum length."""
    name = req.headers.get(OPERATOR_HEADER, "").strip()
    return name[:MAX_OPERATOR_LENGTH] or UNKNOWN_OPERATOR


async def _handle_errors(req: web.Request, handler) -> web.StreamResponse:
    try:
        return await handler(req)
    except web.HTTPRequestEntityTooLarge as exc:
        return error_response(exc.status, "the body is too large")
    except web.HTTPException as exc:
        return error_response(exc.status, exc.reason)


def _credential_index(req: web.Request, token_hashes: list[str]) -> int | None:
    scheme, _, token = req.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer":
        return None
    hashed = hash_key(token.strip())
    found = None
    for i, known in enumerate(token_hashes):
        if hmac.compare_digest(hashed, known):
            found = i
    return found


def _truncate_change_id(text: str) -> str:
    return text[:MAX_CHANGE_ID_LENGTH]
