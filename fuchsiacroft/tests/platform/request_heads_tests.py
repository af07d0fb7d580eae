"""Tests of heads of clients and answers of replicas with values without sense."""

from fuchsiacroft.tests.fakes.platform_region import PlatformTestCase, read_response
from fuchsiacroft.tests.fakes.replica import response

HUGE = "9" * 5_000


class RequestHeadTests(PlatformTestCase):
    """What a client sends is no internal error, nor the end of a process."""

    async def send_head(self, *lines: bytes, path: str = "/stock/1/"):
        """Send a request with header lines that are bytes."""
        reader, writer = await self.region.connect()
        head = self.region.encode_request(path)
        writer.write(head[:-2] + b"".join(line + b"\r\n" for line in lines) + b"\r\n")
        try:
            return await read_response(reader)
        finally:
            writer.close()

    async def check(self, *lines: bytes) -> None:
        for path in ("/stock/1/", "/advice/1/"):
            with self.subTest(path, lines=[line[:60] for line in lines]):
                got = await self.send_head(*lines, path=path)
                # The route of streams gets an answer without events, so a 502.
                self.assertIn(got.status, (200, 400, 502, 503))

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.region.add_replica("till")
        await self.region.add_replica("lens")

    async def test_a_deadline_without_sense_is_an_internal_error(self):
        for value in ("nan", "inf", "-inf", "1e300", "1e-300", "0", "-1", HUGE, "1_0"):
            await self.check(f"Fuchsiacroft-Deadline-Ms: {value}".encode())

    async def test_digits_with_an_underscore_shorten_the_time_of_a_request(self):
        await self.send_head(b"Fuchsiacroft-Deadline-Ms: 1_0")
        [received] = self.region.replicas[0].received
        self.assertGreater(int(received.get("Fuchsiacroft-Deadline-Ms")), 10)

    async def test_token_counts_without_sense_are_an_internal_error(self):
        for value in ("1,", HUGE, f"{HUGE},1", f"{2**64},1", f"1,{2**64}", "-5,-5"):
            await self.check(
                f"Fuchsiacroft-Token-Count: {value}".encode(),
                f"Fuchsiacroft-Length-Hint: {value}".encode(),
            )
            await self.check(
                b"Fuchsiacroft-Token-Count: 10,10",
                f"Fuchsiacroft-Length-Hint: {value}".encode(),
            )

    async def test_a_header_that_is_not_unicode_is_an_internal_error(self):
        for name in (
            *("Fuchsiacroft-Prefix-Hash", "Resumes", "Last-Event-Id"),
            *("Fuchsiacroft-Token-Count", "Fuchsiacroft-Deadline-Ms", "X-Other"),
        ):
            await self.check(name.encode() + b": \xff\xfe:1,\xff:2,a:3")

    async def test_an_attempt_id_that_is_not_unicode_is_an_internal_error(self):
        for path in ("/stock/1/", "/advice/1/", "/no-such-route/"):
            reader, writer = await self.region.connect()
            head = self.region.encode_request(path, attempt_id="odd-id")
            writer.write(head.replace(b"odd-id", b"\xff\xfe"))
            got = await read_response(reader)
            self.assertEqual(400, got.status)
            writer.close()

    async def test_a_key_that_is_not_unicode_is_an_internal_error(self):
        reader, writer = await self.region.connect()
        head = self.region.encode_request("/stock/1/", key="odd-key")
        writer.write(head.replace(b"odd-key", b"\xff"))
        self.assertEqual(401, (await read_response(reader)).status)
        writer.close()


class AnswerHeadTests(PlatformTestCase):
    """What a replica answers ends no process, and the next request is served."""

    async def test_a_number_without_sense_of_a_replica_is_an_internal_error(self):
        lines = []

        async def answer(req, writer):
            writer.write(response(req, b"goods", "200 OK", *lines))

        await self.region.add_replica("till", answer)
        for name in ("Server-Limit", "Keep-Alive", "Fuchsiacroft-Replica-Load"):
            for value in (
                "nan",
                "inf",
                "1e300",
                HUGE,
                f"{2**64},1,1",
                "timeout=" + HUGE,
            ):
                lines[:] = [f"{name}: {value}"]
                with self.subTest(name, value=value[:20]):
                    got = await self.region.send_request("/stock/1/")
                    self.assertEqual(200, got.status)

    async def test_a_pause_without_sense_of_a_replica_is_an_internal_error(self):
        lines = []

        async def refuse(req, writer):
            name = "Fuchsiacroft-Not-Executed: 1"
            writer.write(response(req, b"", "503 Busy", name, *lines))

        await self.region.add_replica("till", refuse)
        for value in (
            "nan",
            "inf",
            "-1",
            "1e300",
            HUGE,
            f"Sun, 31 Dec {HUGE} 00:00:00",
        ):
            lines[:] = [f"Retry-After: {value}"]
            with self.subTest(value[:20]):
                got = await self.region.send_request("/stock/1/")
                self.assertEqual(503, got.status)
