"""Request bodies that arrive in pieces, as from a caller on a slow link."""

import asyncio
import enum
from collections.abc import Sequence

from fuchsiacroft.tests.fakes.replica import LAST_CHUNK, chunk


class Framing(enum.Enum):
    """How the end of a request's body is told; `EXPECT` waits for 100 Continue."""

    LENGTH = "length"
    CHUNKS = "chunks"
    EXPECT = "expect"

    def header_lines(self, pieces: Sequence[bytes]) -> tuple[str, ...]:
        """Return the header lines of a request with this body."""
        if self is Framing.CHUNKS:
            return ("Transfer-Encoding: chunked",)
        length = f"Content-Length: {sum(map(len, pieces))}"
        return (length,) if self is Framing.LENGTH else (length, "Expect: 100-continue")


async def send_pieces(
    writer: asyncio.StreamWriter,
    pieces: Sequence[bytes],
    period_s: float,
    framing: Framing = Framing.LENGTH,
) -> None:
    """Send the pieces of a body, each after a pause."""
    for piece in pieces:
        await asyncio.sleep(period_s)
        writer.write(chunk(piece) if framing is Framing.CHUNKS else piece)
        await writer.drain()
    if framing is Framing.CHUNKS:
        writer.write(LAST_CHUNK)
