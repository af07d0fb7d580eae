"""Filters and reads the headers between callers and backend servers."""

import enum
from collections.abc import Iterable

import aiohttp
from aiohttp import web

from fuchsiacroft.entry.problems import REQUEST_ID_HEADER
from fuchsiacroft.membership.server_notices import ServerNotice

INTERNAL_PREFIX = "fuchsiacroft-"
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
STRIPPED_REQUEST_HEADERS = HOP_BY_HOP | {
    "authorization",
    "expect",
    "host",
    "idempotency-key",
}
STRIPPED_RESPONSE_HEADERS = HOP_BY_HOP | {"content-length", "date", "server"}
BODILESS_STATUSES = frozenset({204, 304})
UNAVAILABLE = 503


class Framing(enum.Enum):
    """How the end of a body is marked; with `CLOSE`, by the end of its connection."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


def backend_request_headers(
    headers: Iterable[tuple[str, str]], connection: str, *, allows_encoding: bool
) -> tuple[tuple[str, str], ...]:
    """Return the headers for the backend server, including the content length.

    Without `allows_encoding` they ask for no encoding of the response.
    """
    dropped = STRIPPED_REQUEST_HEADERS | _connection_options(connection)
    if not allows_encoding:
        dropped |= {"accept-encoding"}
    return _strip(headers, dropped)


def caller_response(
    upstream: aiohttp.ClientResponse, request_id: str, closes_connection: bool
) -> web.StreamResponse:
    """Return the response to the caller, with the upstream status and headers."""
    response = web.StreamResponse(status=upstream.status)
    connection = ",".join(upstream.headers.getall("Connection", ()))
    dropped = STRIPPED_RESPONSE_HEADERS | _connection_options(connection)
    for name, value in _strip(upstream.headers.items(), dropped):
        response.headers.add(name, value)
    length = upstream.headers.get("Content-Length")
    if length is not None and upstream.status not in BODILESS_STATUSES:
        response.content_length = int(length)
    response.headers[REQUEST_ID_HEADER] = request_id
    if closes_connection:
        response.force_close()
    return response


def server_notice(
    upstream: aiohttp.ClientResponse,
    leaving_header: str,
    limit_header: str,
    *,
    has_run: bool,
) -> ServerNotice:
    """Return what a backend server says of itself in a response.

    The leaving header has the value 1 if it leaves. A Retry-After counts on a 503 only.
    `has_run` is true if it ran the request.
    """
    headers = upstream.headers
    is_unavailable = upstream.status == UNAVAILABLE
    return ServerNotice(
        is_leaving=headers.get(leaving_header, "").strip() == "1",
        retry_after=headers.get("Retry-After") if is_unavailable else None,
        limit=headers.get(limit_header),
        has_run=has_run,
    )


def framing(upstream: aiohttp.ClientResponse) -> Framing:
    """Return how the end of a response's body is marked."""
    if upstream.method == "HEAD" or upstream.status in BODILESS_STATUSES:
        return Framing.LENGTH
    if "Content-Length" in upstream.headers:
        return Framing.LENGTH
    if upstream.headers.get("Transfer-Encoding", "").lower() == "chunked":
        return Framing.CHUNKED
    return Framing.CLOSE


def is_framed(upstream: aiohttp.ClientResponse) -> bool:
    """Whether a complete body can be distinguished from a lost connection."""
    return framing(upstream) is not Framing.CLOSE


def _strip(
    headers: Iterable[tuple[str, str]], dropped: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in dropped
        and not lower.startswith(INTERNAL_PREFIX)
    )


def _connection_options(connection: str) -> frozenset[str]:
    if not connection:
        return frozenset()
    return frozenset(name.strip().lower() for name in connection.split(","))
