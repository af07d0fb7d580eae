"""Tests of bodies whose end only the end of their connection tells."""

import asyncio
import time

from fuchsiacroft.entry.second_answer import SecondAnswerError
from fuchsiacroft.gateway.answer_body import UnframedBody
from fuchsiacroft.tests.base import TestCase

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HEAD_WITHOUT_REASON = b"HTTP/1.0 503\r\nX: y\r\n\r\n"
NO_HEADS = (
    b"see HTTP/1.1 200 OK for more",
    b"HTTP/1.1 is a protocol\r\nand: a page",
    b"HTTP/2.0 200 OK\r\nX: y\r\n",
    b"HTTP/1.1 2000 times\r\nX: y\r\n",
    b"HTTP/1.1 200 OK\r\n\r\nno header",
    b"ends with HTTP/1.1 20",
    b"ends with H",
)


class Pieces:
    """A body that arrives in pieces."""

    def __init__(self, data: bytes, size: int) -> None:
        self._pieces = [data[at : at + size] for at in range(0, len(data), size)]

    async def readany(self) -> bytes:
        """Return the next piece, or none at the end."""
        return self._pieces.pop(0) if self._pieces else b""


async def read(data: bytes, size: int) -> tuple[bytes, bool]:
    """Return what is read of a body, and whether it was read to its end."""
    body = UnframedBody(Pieces(data, size))
    got = b""
    try:
        while chunk := await body.readany():
            got += chunk
    except SecondAnswerError:
        return got, False
    return got, True


class UnframedBodyTests(TestCase):
    """The end of a body is neither another answer nor missing."""

    def test_a_part_of_another_answer_is_returned(self):
        for head in (HEAD, HEAD_WITHOUT_REASON):
            for size in range(1, len(head) + 6):
                got, is_whole = asyncio.run(read(b"body" + head, size))
                self.assertFalse(is_whole, size)
                self.assertTrue(b"body".startswith(got), got)

    def test_many_status_lines_without_an_end_hold_up_the_entry(self):
        data = b"HTTP/1.1 200 " * 5_000
        started_at = time.process_time()
        self.assertEqual((data, True), asyncio.run(read(data, len(data))))
        self.assertLess(time.process_time() - started_at, 0.5)

    def test_a_body_that_is_no_answer_is_cut(self):
        for data in NO_HEADS:
            for size in (1, 3, len(data)):
                got, is_whole = asyncio.run(read(data, size))
                self.assertEqual((data, True), (got, is_whole), size)
