"""Rejects ambiguous requests, which a backend server could parse differently.

aiohttp's parser rejects messages with two lengths, folded headers and control
characters. These checks reject what it accepts.
"""

from urllib.parse import unquote

from aiohttp import web

from fuchsiacroft.entry.problems import HEADERS_TOO_LARGE, Problem

REJECTED_METHODS = frozenset({"CONNECT", "TRACE"})
ENCODED_SEPARATORS = ("%2f", "%5c", "%00", "%25")
HEADER_LINE_BYTES = len(": \r\n")
SINGLE_VALUE_HEADERS = (
    "Host",
    "Content-Length",
    "Transfer-Encoding",
    "Authorization",
    "Idempotency-Key",
    "Fuchsiacroft-Tier",
    "Fuchsiacroft-Timeout",
    "Expect",
)


def request_problem(http: web.BaseRequest) -> Problem | None:
    """Return why a request is rejected before its body is read, or None."""
    return framing_problem(http) or _target_problem(http.raw_path)


def framing_problem(http: web.BaseRequest) -> Problem | None:
    """Return the problem with a request's framing or method, or None."""
    if http.method in REJECTED_METHODS:
        return Problem(405, "method_refused", f"method {http.method} is not supported")
    headers = http.headers
    if "Upgrade" in headers:
        return Problem(501, "upgrade_refused", "protocol upgrades are not supported")
    for name in SINGLE_VALUE_HEADERS:
        if len(headers.getall(name, ())) > 1:
            return _malformed(f"duplicate {name} header")
    if "Content-Length" in headers and "Transfer-Encoding" in headers:
        return _malformed("both Content-Length and Transfer-Encoding are present")
    if headers.get("Transfer-Encoding", "chunked").lower() != "chunked":
        return _malformed("the only supported Transfer-Encoding is chunked")
    if headers.get("Expect", "100-continue").lower() != "100-continue":
        return Problem(417, "expectation_failed", "only 100-continue is supported")
    return None


def header_size_problem(http: web.BaseRequest, max_header_bytes: int) -> Problem | None:
    """Return a problem if the target and the headers exceed the size limit."""
    size = len(http.raw_path)
    for name, value in http.raw_headers:
        size += len(name) + len(value) + HEADER_LINE_BYTES
    return HEADERS_TOO_LARGE if size > max_header_bytes else None


def decoded_path(target: str) -> str:
    """Return the decoded path of a target, as a backend server may read it."""
    return unquote(target.partition("?")[0])


def _target_problem(target: str) -> Problem | None:
    if not target.startswith("/"):
        return _malformed("the target must be a path")
    path = target.partition("?")[0]
    lower = path.lower()
    if "\\" in path or "#" in target or any(sep in lower for sep in ENCODED_SEPARATORS):
        return _malformed("the path contains an encoded or invalid separator")
    decoded = unquote(path)
    if not decoded.isprintable():
        return _malformed("the path contains control characters")
    segments = decoded.split("/")[1:]
    if "." in segments or ".." in segments or "" in segments[:-1]:
        return _malformed("the path contains an empty, . or .. segment")
    return None


def _malformed(detail: str) -> Problem:
    return Problem(400, "malformed", detail)
