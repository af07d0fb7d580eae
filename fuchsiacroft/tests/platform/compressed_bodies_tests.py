"""Tests of bodies with a content coding, on the platform's data plane."""

from fuchsiacroft.tests.fakes import codings
from fuchsiacroft.tests.fakes.platform_region import (
    PlatformTestCase,
    Response,
    read_response,
)
from fuchsiacroft.tests.fakes.replica import LAST_CHUNK, chunk

CHUNKED = "Transfer-Encoding: chunked"


class CompressedBodyTests(PlatformTestCase):
    """Bytes pass as they came, whatever the header says of them."""

    async def send(self, coding: str, body: bytes, *, is_chunked: bool) -> Response:
        """Send a request whose body has a coding, and return the response."""
        reader, writer = await self.region.connect()
        self.addCleanup(writer.close)
        lines = [f"Content-Encoding: {coding}"]
        if is_chunked:
            head = self.region.encode_request("/book/1/", *lines, CHUNKED)
            head = head.replace(b"GET", b"POST", 1)
            writer.write(head + chunk(body) + LAST_CHUNK)
        else:
            writer.write(
                self.region.encode_request("/book/1/", *lines, method="POST", body=body)
            )
        return await read_response(reader)

    async def test_the_body_of_a_request_is_changed_or_refused(self):
        replica = await self.region.add_replica("till")
        for coding, body in codings.BODIES:
            for is_chunked in (False, True):
                with self.subTest(coding=coding, body=body, is_chunked=is_chunked):
                    res = await self.send(coding, body, is_chunked=is_chunked)
                    self.assertEqual(200, res.status)
                    received = replica.received[-1]
                    self.assertEqual(body, received.body)
                    self.assertEqual(coding, received.get("Content-Encoding"))
