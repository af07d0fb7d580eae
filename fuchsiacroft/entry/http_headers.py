"""The headers that pass between callers and backend servers."""

from collections.abc import Iterable

import aiohttp
from aiohttp import web

from fuchsiacroft.entry.problems import REQUEST_ID_HEADER

OWN_PREFIX = "fuchsiacroft-"
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
DROPPED_FROM_CALLER = HOP_BY_HOP | {
    "authorization",
    "expect",
    "host",
    "idempotency-key",
}
DROPPED_FROM_BACKEND = HOP_BY_HOP | {"content-length", "date", "server"}
BODILESS_STATUSES = frozenset({204, 304})


def from_caller(
    headers: Iterable[tuple[str, str]], connection: str
) -> tuple[tuple[str, str], ...]:
    """Return the headers that a backend server gets; its body keeps its length."""
    return _pass(headers, DROPPED_FROM_CALLER | _named_in(connection))


def answer(
    upstream: aiohttp.ClientResponse, request_id: str, drains: bool
) -> web.StreamResponse:
    """Return the caller's answer with the upstream status and headers."""
    response = web.StreamResponse(status=upstream.status)
    connection = ",".join(upstream.headers.getall("Connection", ()))
    dropped = DROPPED_FROM_BACKEND | _named_in(connection)
    for name, value in _pass(upstream.headers.items(), dropped):
        response.headers.add(name, value)
    length = upstream.headers.get("Content-Length")
    if length is not None and upstream.status not in BODILESS_STATUSES:
        response.content_length = int(length)
    response.headers[REQUEST_ID_HEADER] = request_id
    if drains:
        response.force_close()
    return response


def is_framed(upstream: aiohttp.ClientResponse) -> bool:
    """Tell whether the end of the body can be told from a lost connection."""
    if upstream.method == "HEAD" or upstream.status in BODILESS_STATUSES:
        return True
    if "Content-Length" in upstream.headers:
        return True
    return upstream.headers.get("Transfer-Encoding", "").lower() == "chunked"


def _pass(
    headers: Iterable[tuple[str, str]], dropped: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in dropped and not lower.startswith(OWN_PREFIX)
    )


def _named_in(connection: str) -> frozenset[str]:
    if not connection:
        return frozenset()
    return frozenset(name.strip().lower() for name in connection.split(","))
