"""HTTP/1.1 messages over asyncio streams."""

import asyncio
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 65_536


@dataclass
class Message:
    """A request or a response; `start` is its first line."""

    start: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""

    def get(self, name: str) -> str | None:
        """Return the value of a header, None if it is absent."""
        for known, value in self.headers:
            if known.lower() == name.lower():
                return value
        return None

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split()[1])


def encode(start: str, *lines: str, body: bytes | None = None) -> bytes:
    """Return an encoded message, with its length if it has a body."""
    length = [] if body is None else [f"Content-Length: {len(body)}"]
    return "\r\n".join((start, *lines, *length, "", "")).encode() + (body or b"")


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a head."""
    data = await reader.readuntil(b"\r\n\r\n")
    start, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name, value.strip()))
    return Message(start, headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk; the last one is empty."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole message with a length or in chunks."""
    message = await read_head(reader)
    if (message.get("Transfer-Encoding") or "").lower() == "chunked":
        while data := await read_chunk(reader):
            message.body += data
    else:
        length = int(message.get("Content-Length") or 0)
        message.body = await reader.readexactly(length)
    return message


async def call(
    ip: str, port: int, data: bytes, timeout_s: float, source: str | None = None
) -> Message | None:
    """Send a request on a new connection; return its response, None without one."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            local = (source, 0) if source else None
            reader, writer = await asyncio.open_connection(ip, port, local_addr=local)
            writer.write(data)
            return await read_message(reader)
    except (OSError, EOFError, TimeoutError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()
