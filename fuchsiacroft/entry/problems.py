"""Errors sent to callers, as problem documents (RFC 9457)."""

import enum
import math
from dataclasses import dataclass

import msgspec
from aiohttp import web

REQUEST_ID_HEADER = "Fuchsiacroft-Request-Id"
CONTENT_TYPE = "application/problem+json"


class ExecutionState(enum.Enum):
    """Whether a backend server executed the request; `no` is guaranteed."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


@dataclass(frozen=True, slots=True)
class Problem:
    """Why a request failed; `retry_after_s` is None if a retry does not help."""

    status: int
    code: str
    detail: str
    ran: ExecutionState = ExecutionState.NO
    retry_after_s: float | None = None


HEADERS_TOO_LARGE = Problem(
    431, "headers_too_large", "the request headers exceed the size limit"
)
INTERNAL_ERROR = Problem(
    500, "internal_error", "internal error in the entry", ExecutionState.MAYBE
)


def draining_problem(
    detail: str, retry_after_s: float, ran: ExecutionState = ExecutionState.NO
) -> Problem:
    """Return the problem of a request that an entry which stops does not serve."""
    return Problem(503, "draining", detail, ran, retry_after_s)


def parse_problem(status: int, message: str) -> Problem:
    """Return the problem for a request that aiohttp's parser rejected."""
    if status >= INTERNAL_ERROR.status:
        return INTERNAL_ERROR
    if status == HEADERS_TOO_LARGE.status:
        return HEADERS_TOO_LARGE
    first_line = message.partition("\n")[0].strip()
    return Problem(status, "malformed", first_line or "invalid HTTP request")


def body(problem: Problem, request_id: str) -> bytes:
    """Return the JSON body of a problem."""
    fields = {
        "type": f"urn:fuchsiacroft:problem:{problem.code}",
        "title": problem.code.replace("_", " "),
        "status": problem.status,
        "detail": problem.detail,
        "instance": f"urn:fuchsiacroft:request:{request_id}",
        "ran": problem.ran.value,
    }
    if problem.retry_after_s is not None:
        fields["retry_after_s"] = round(problem.retry_after_s, 3)
    return msgspec.json.encode(fields)


def sse_event(problem: Problem, request_id: str) -> bytes:
    """Return a problem as a server-sent event, for a stream that has begun."""
    return b"event: error\ndata: " + body(problem, request_id) + b"\n\n"


def response(problem: Problem, request_id: str) -> web.Response:
    """Return the HTTP response for a problem."""
    headers = {REQUEST_ID_HEADER: request_id}
    if problem.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(problem.retry_after_s)))
    if problem.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return web.Response(
        status=problem.status,
        body=body(problem, request_id),
        content_type=CONTENT_TYPE,
        headers=headers,
    )
