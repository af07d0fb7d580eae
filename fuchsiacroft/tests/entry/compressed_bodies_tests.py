"""Tests of bodies with a content coding, on the product's data plane."""

import asyncio
import re

from fuchsiacroft.tests.fakes import codings
from fuchsiacroft.tests.fakes.data_plane import AUTHORIZED, AnsweredTestCase, chunk
from fuchsiacroft.tests.fakes.platform_wire import read_chunk

PATH = "/services/counter/x"


async def read_body(head: bytes, reader: asyncio.StreamReader) -> bytes:
    """Read the body of a request with a length or in chunks."""
    length = re.search(rb"\r\nContent-Length: (\d+)\r\n", head)
    if length is not None:
        return await reader.readexactly(int(length[1]))
    body = b""
    while data := await read_chunk(reader):
        body += data
    return body


class CompressedBodyTests(AnsweredTestCase):
    """Bytes pass as they came, whatever the header says of them."""

    async def send(self, coding: str, body: bytes, *, is_chunked: bool) -> bytes:
        """Send a request whose body has a coding, and return what came back."""
        headers = AUTHORIZED | {"Content-Encoding": coding, "Connection": "close"}
        framed = chunk(body) + chunk(b"") if is_chunked else body
        if is_chunked:
            headers["Transfer-Encoding"] = "chunked"
        else:
            headers["Content-Length"] = str(len(body))
        lines = [f"POST {PATH} HTTP/1.1", "Host: x"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return await self.send_raw("\r\n".join([*lines, "", ""]).encode() + framed)

    async def test_the_body_of_a_request_is_changed_or_refused(self):
        received = []

        async def serve(req, reader, writer):
            received.append((req.head, await read_body(req.head, reader)))
            writer.write(req.answer("200 OK"))
            await writer.drain()

        await self._listen(serve)
        for coding, body in codings.BODIES:
            for is_chunked in (False, True):
                with self.subTest(coding=coding, body=body, is_chunked=is_chunked):
                    got = await self.send(coding, body, is_chunked=is_chunked)
                    self.assertIn(b"HTTP/1.1 200", got)
                    head, got_body = received[-1]
                    self.assertEqual(body, got_body)
                    line = f"\r\nContent-Encoding: {coding}\r\n"
                    self.assertIn(line.encode(), head)

    async def test_the_body_of_a_response_is_changed_or_refused(self):
        for coding, body in codings.BODIES:
            with self.subTest(coding=coding, body=body):
                line = f"Content-Encoding: {coding}"
                self.scheduler.addresses.clear()
                await self.serve_answer(
                    lambda req, line=line, body=body: req.answer(
                        "200 OK", line, body=body
                    )
                )
                headers = "".join(f"{n}: {v}\r\n" for n, v in AUTHORIZED.items())
                request = f"GET {PATH} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                got = await self.send_raw(f"{request}{headers}\r\n".encode())
                head, _, rest = got.partition(b"\r\n\r\n")
                self.assertIn(b"HTTP/1.1 200", head)
                self.assertIn(line.encode(), head)
                self.assertEqual(body, rest)
