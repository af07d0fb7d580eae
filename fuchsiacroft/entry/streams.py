"""Relays an answer from a backend server to a caller."""

from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

from fuchsiacroft.entry.problems import REQUEST_ID_HEADER
from fuchsiacroft.utils.clock import now

SSE_FIELD = b"data:"
SSE_END = b"data: [DONE]"
TAIL_BYTES = 64

DROPPED_HEADERS = frozenset(
    {"connection", "content-length", "date", "keep-alive", "server"}
    | {"transfer-encoding", "upgrade", "trailer", "fuchsiacroft-request-id"}
)


@dataclass(slots=True)
class Progress:
    """What has been relayed of one answer."""

    started_at: float
    first_byte_at: float | None = None
    last_byte_at: float | None = None
    sent_bytes: int = 0
    tokens: int = 0
    tail: bytes = b""
    kept: bytearray = field(default_factory=bytearray)
    keep_bytes: int = 0

    def note(self, chunk: bytes) -> None:
        """Count a chunk that is about to be sent on."""
        self.last_byte_at = now()
        if self.first_byte_at is None:
            self.first_byte_at = self.last_byte_at
        self.sent_bytes += len(chunk)
        self.tokens += chunk.count(SSE_FIELD)
        self.tail = (self.tail + chunk)[-TAIL_BYTES:]
        if len(self.kept) <= self.keep_bytes:
            self.kept += chunk

    @property
    def first_token_s(self) -> float | None:
        """Return the seconds from dispatch to the first byte."""
        if self.first_byte_at is None:
            return None
        return self.first_byte_at - self.started_at

    @property
    def token_gap_s(self) -> float | None:
        """Return the mean seconds between tokens."""
        if self.tokens < 3 or self.first_byte_at is None:
            return None
        return (self.last_byte_at - self.first_byte_at) / (self.tokens - 1)


def head(upstream: aiohttp.ClientResponse, request_id: str) -> web.StreamResponse:
    """Return the caller's answer with the upstream status and headers."""
    response = web.StreamResponse(status=upstream.status, reason=upstream.reason)
    for name, value in upstream.headers.items():
        if name.lower() not in DROPPED_HEADERS:
            response.headers.add(name, value)
    length = upstream.headers.get("Content-Length")
    if length is not None:
        response.content_length = int(length)
    response.headers[REQUEST_ID_HEADER] = request_id
    return response


async def relay(
    upstream: aiohttp.ClientResponse,
    downstream: web.StreamResponse,
    progress: Progress,
) -> None:
    """Copy the body as it comes; memory is bounded by the read buffer."""
    content = upstream.content
    while True:
        chunk = await content.readany()
        if not chunk:
            return
        progress.note(chunk)
        await downstream.write(chunk)


def is_whole(req_streams: bool, status: int, progress: Progress) -> bool:
    """Tell whether a token stream ended with its closing event."""
    return not req_streams or status != 200 or SSE_END in progress.tail
