"""Refuses requests that a backend server could read in another way than we do.

aiohttp's parser refuses a message with two lengths, folded headers and control
characters. These checks refuse what it lets pass.
"""

from urllib.parse import unquote

from aiohttp import web

from fuchsiacroft.entry.problems import HEADERS_TOO_LARGE, Problem

REFUSED_METHODS = frozenset({"CONNECT", "TRACE"})
ENCODED_SEPARATORS = ("%2f", "%5c", "%00", "%25")
HEADER_LINE_BYTES = len(": \r\n")
SINGLE_HEADERS = (
    "Host",
    "Content-Length",
    "Transfer-Encoding",
    "Authorization",
    "Idempotency-Key",
    "Fuchsiacroft-Tier",
    "Fuchsiacroft-Timeout",
    "Expect",
)


def fault(http: web.BaseRequest) -> Problem | None:
    """Return why a request is refused before it is read, or None."""
    return framing_problem(http) or _target_fault(http.raw_path)


def framing_problem(http: web.BaseRequest) -> Problem | None:
    """Return what is wrong with a request's framing and method, or None."""
    if http.method in REFUSED_METHODS:
        return Problem(405, "method_refused", f"{http.method} is not served")
    headers = http.headers
    if "Upgrade" in headers:
        return Problem(501, "upgrade_refused", "no other protocol is served")
    for name in SINGLE_HEADERS:
        if len(headers.getall(name, ())) > 1:
            return _malformed(f"{name} stands twice")
    if "Content-Length" in headers and "Transfer-Encoding" in headers:
        return _malformed("Content-Length and Transfer-Encoding both stand")
    if headers.get("Transfer-Encoding", "chunked").lower() != "chunked":
        return _malformed("the only Transfer-Encoding served is chunked")
    if headers.get("Expect", "100-continue").lower() != "100-continue":
        return Problem(417, "expectation_failed", "only 100-continue is known")
    return None


def header_size_problem(http: web.BaseRequest, max_header_bytes: int) -> Problem | None:
    """Return a problem if the target and the headers are larger than is allowed."""
    size = len(http.raw_path)
    for name, value in http.raw_headers:
        size += len(name) + len(value) + HEADER_LINE_BYTES
    return HEADERS_TOO_LARGE if size > max_header_bytes else None


def decoded_path(target: str) -> str:
    """Return the path of a target as a backend server may read it."""
    return unquote(target.partition("?")[0])


def _target_fault(target: str) -> Problem | None:
    if not target.startswith("/"):
        return _malformed("the target must be a path")
    path = target.partition("?")[0]
    lower = path.lower()
    if "\\" in path or "#" in target or any(sep in lower for sep in ENCODED_SEPARATORS):
        return _malformed("the path holds an encoded or foreign separator")
    decoded = unquote(path)
    if not decoded.isprintable():
        return _malformed("the path holds control characters")
    segments = decoded.split("/")[1:]
    if "." in segments or ".." in segments or "" in segments[:-1]:
        return _malformed("the path holds an empty, . or .. segment")
    return None


def _malformed(detail: str) -> Problem:
    return Problem(400, "malformed", detail)
