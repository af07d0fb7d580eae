"""A fake platform replica on real sockets, whose behaviour the test sets."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

SEAL_HEADER = "Fuchsiacroft-Replica-Seal: seal-1"


@dataclass(frozen=True)
class ReceivedRequest:
    """A received request: request line, headers in order, and body."""

    request_line: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def get(self, name: str) -> str | None:
        """Return the value of a header, None if absent; fail if it is repeated."""
        values = [v for n, v in self.headers if n.lower() == name.lower()]
        assert len(values) < 2, f"header {name} is repeated: {values}"
        return values[0] if values else None


Handler = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


def response_head(status: str, *lines: str) -> bytes:
    """Return a response head."""
    return "\r\n".join((f"HTTP/1.1 {status}", *lines, "", "")).encode()


def own_id(req: ReceivedRequest) -> str:
    """Return the header with which a response names its request."""
    return f"Fuchsiacroft-Attempt-Id: {req.get('Fuchsiacroft-Attempt-Id')}"


def response(
    req: ReceivedRequest, body: bytes, status: str = "200 OK", *lines: str
) -> bytes:
    """Return a complete response to a request, with its Content-Length."""
    length = f"Content-Length: {len(body)}"
    return response_head(status, SEAL_HEADER, own_id(req), length, *lines) + body


def unframed_head(req: ReceivedRequest, *lines: str) -> bytes:
    """Return the head of a response whose body ends with its connection."""
    return response_head("200 OK", SEAL_HEADER, own_id(req), *lines)


def sse_events(*numbers: int) -> bytes:
    """Return server-sent events with these ids."""
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in numbers)


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def stream_head(req: ReceivedRequest, *lines: str) -> bytes:
    """Return the response head of an event stream."""
    return response_head(
        "200 OK",
        SEAL_HEADER,
        own_id(req),
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
        *lines,
    )


async def respond_plain(req: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Respond with a short body."""
    writer.write(response(req, b"fine"))


class Replica:
    """Listens on loopback, records requests, and responds with the given handler.

    `version` and `zone` are what its heartbeats tell. `closed_early` counts
    connections that the client closed before the handler ended.
    """

    def __init__(
        self, replica_id: str, address: str, handler: Handler = respond_plain
    ) -> None:
        self.replica_id = replica_id
        self.address = address
        self.handler = handler
        self.version = "v1"
        self.zone = "mvd-cordon"
        self.received: list[ReceivedRequest] = []
        self.closed_early = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Stop listening and abort every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            received = await _read(reader)
            self.received.append(received)
            handling = asyncio.ensure_future(self.handler(received, writer))
            disconnected = asyncio.ensure_future(reader.read(1))
            await asyncio.wait(
                (handling, disconnected), return_when=asyncio.FIRST_COMPLETED
            )
            if not handling.done():
                self.closed_early += 1
            handling.cancel()
            disconnected.cancel()
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read(reader: asyncio.StreamReader) -> ReceivedRequest:
    data = await reader.readuntil(b"\r\n\r\n")
    request_line, *rest = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = tuple(tuple(line.split(": ", 1)) for line in rest)
    lengths = [value for name, value in headers if name.lower() == "content-length"]
    body = await reader.readexactly(int(lengths[0])) if lengths else b""
    return ReceivedRequest(request_line, headers, body)
