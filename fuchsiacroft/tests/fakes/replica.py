"""A replica of the platform over real sockets, which does as a test says."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

SEAL_HEADER = "Fuchsiacroft-Replica-Seal: seal-1"


@dataclass(frozen=True)
class ReceivedRequest:
    """A request as it came: its first line, its headers in order, its body."""

    request_line: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def get(self, name: str) -> str | None:
        """Return the only value of a header, None if it doesn't stand."""
        values = [v for n, v in self.headers if n.lower() == name.lower()]
        assert len(values) < 2, f"{name} stands twice"
        return values[0] if values else None


Handler = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


def response_head(status: str, *lines: str) -> bytes:
    """Return the head of an answer."""
    return "\r\n".join((f"HTTP/1.1 {status}", *lines, "", "")).encode()


def response(
    req: ReceivedRequest, body: bytes, status: str = "200 OK", *lines: str
) -> bytes:
    """Return a whole answer to a request, with its length."""
    attempt = f"Fuchsiacroft-Attempt-Id: {req.get('Fuchsiacroft-Attempt-Id')}"
    length = f"Content-Length: {len(body)}"
    return response_head(status, SEAL_HEADER, attempt, length, *lines) + body


def sse_events(*numbers: int) -> bytes:
    """Return events with these ids."""
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in numbers)


def chunk(data: bytes) -> bytes:
    """Return bytes in the chunked coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def stream_head(req: ReceivedRequest, *lines: str) -> bytes:
    """Return the head of a stream of events."""
    attempt = f"Fuchsiacroft-Attempt-Id: {req.get('Fuchsiacroft-Attempt-Id')}"
    return response_head(
        "200 OK",
        SEAL_HEADER,
        attempt,
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
        *lines,
    )


async def respond_plain(req: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer with a short body."""
    writer.write(response(req, b"fine"))


class Replica:
    """Listens on loopback, keeps what it received, and behaves as it is told."""

    def __init__(
        self, replica_id: str, address: str, handler: Handler = respond_plain
    ) -> None:
        self.replica_id = replica_id
        self.address = address
        self.handler = handler
        self.received: list[ReceivedRequest] = []
        self.closed_early = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Close the socket and every connection."""
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
            behaving = asyncio.ensure_future(self.handler(received, writer))
            leaving = asyncio.ensure_future(reader.read(1))
            await asyncio.wait((behaving, leaving), return_when=asyncio.FIRST_COMPLETED)
            if not behaving.done():
                self.closed_early += 1
            behaving.cancel()
            leaving.cancel()
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read(reader: asyncio.StreamReader) -> ReceivedRequest:
    data = await reader.readuntil(b"\r\n\r\n")
    line, *rest = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = tuple(tuple(text.split(": ", 1)) for text in rest)
    lengths = [value for name, value in headers if name.lower() == "content-length"]
    body = await reader.readexactly(int(lengths[0])) if lengths else b""
    return ReceivedRequest(line, headers, body)
