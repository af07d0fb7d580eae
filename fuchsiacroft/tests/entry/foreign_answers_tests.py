"""Tests of backend servers' answers that aren't shown to be the request's own."""

import asyncio

import aiohttp

from fuchsiacroft.tests.fakes.data_plane import (
    AUTHORIZED,
    BOOT_ID,
    AnsweredTestCase,
    RawRequest,
    answer,
    answer_head,
    chunk,
)

OTHER = "7c1f0e5a9b3d4c6e8f7a1b2c3d4e5f60"
OK = "200 OK"
BUSY = "503 Service Unavailable"
STREAM = "Content-Type: text/event-stream"
CHUNKED = "Transfer-Encoding: chunked"
OFFSET = "Fuchsiacroft-Offset"
MODEL_REQUEST = {"model": "lens-assistant", "prompt": "kit?", "stream": True}
NOTICES = ("Retry-After: 9", "Fuchsiacroft-Leaving: 1", "Fuchsiacroft-Limit: 1")
DONE = b"data: [DONE]\n\n"


class ForeignAnswerTests(AnsweredTestCase):
    """An answer that names another request, or none, is not the request's own."""

    async def assert_not_believed(
        self, foreign: bytes, code="unidentified_answer", outcome="failed"
    ) -> None:
        requests = await self.serve_answer(foreign)
        status, problem = await self.call()
        self.assertEqual((502, "maybe"), (status, problem["ran"]))
        self.assertEqual(f"urn:fuchsiacroft:problem:{code}", problem["type"])
        self.assertEqual(1, len(requests))
        self.assertEqual([], self.scheduler.notices)
        self.assertEqual([("permit-0", outcome)], self.scheduler.released)

    async def assert_waited_for_the_own(self, foreign: bytes) -> None:
        """Check that the connection was read to its end."""
        await self.assert_not_believed(
            foreign, "backend_server_lost", "connection_lost"
        )

    async def test_an_answer_to_another_request_is_passed_on(self):
        await self.assert_waited_for_the_own(answer(OTHER, OK, body=b"foreign"))

    async def test_a_status_that_the_protocol_lacks_is_passed_on(self):
        for status in ("000 X", "099 X", "600 X", "999 X"):
            with self.subTest(status):
                self.scheduler.addresses.clear()
                self.scheduler.released.clear()
                await self.serve_answer(
                    lambda req, status=status: req.answer(status, body=b"page")
                )
                answered, problem = await self.call()
                self.assertEqual(502, answered)
                self.assertEqual("maybe", problem["ran"])
                [(_, outcome)] = self.scheduler.released
                self.assertEqual("failed", outcome)

    async def test_an_answer_that_names_no_request_is_passed_on(self):
        await self.assert_not_believed(answer(None, OK, body=b"foreign"))

    async def test_what_another_answer_says_of_its_server_is_believed(self):
        await self.assert_waited_for_the_own(answer(OTHER, BUSY, *NOTICES))

    async def test_what_an_answer_without_a_name_says_of_its_server_is_believed(self):
        await self.assert_not_believed(answer(None, BUSY, *NOTICES))

    async def test_an_answer_to_two_requests_is_passed_on(self):
        for names in ((OTHER, None), (None, OTHER)):
            with self.subTest(names=names):
                self.scheduler.addresses.clear()
                await self.serve_answer(
                    lambda req, names=names: answer_head(
                        None,
                        OK,
                        *(
                            f"Fuchsiacroft-Request-Id: {name or req.request_id}"
                            for name in names
                        ),
                        "Content-Length: 0",
                    )
                )
                status, problem = await self.call()
                self.assertEqual((502, "maybe"), (status, problem["ran"]))

    async def test_what_a_switch_of_protocols_says_of_its_server_is_believed(self):
        head = answer_head(None, "101 Switching Protocols", "Upgrade: x", *NOTICES)
        await self.assert_not_believed(head)

    async def test_an_earlier_refusal_is_taken_for_the_answer(self):
        refusal = answer(OTHER, BUSY, *NOTICES, body=b"busy")
        for pause_s in (0.0, 0.05):
            with self.subTest(pause_s=pause_s):
                self.scheduler.addresses.clear()
                own = [refusal, lambda req: req.answer(OK, body=b"own")]
                await self.serve_answer(*own, pause_s=pause_s)
                self.assertEqual((200, b"own"), await self.call())

    async def test_a_second_answer_is_passed_on_behind_the_first(self):
        async def serve(req, writer):
            own = req.answer(OK, body=req.target.encode())
            writer.write(own + answer(OTHER, BUSY, body=b"busy"))
            await asyncio.sleep(0.05)
            writer.write(req.answer(BUSY, body=b"late"))

        await self.serve_requests(serve)
        for name in ("first", "second"):
            got = await self.call(path=f"/services/counter/{name}")
            self.assertEqual((200, f"GET /{name}".encode()), got)

    async def test_an_answer_to_another_request_is_stored_in_the_ledger(self):
        for request_id in (OTHER, None):
            with self.subTest(request_id=request_id):
                self.scheduler.addresses.clear()
                self.ledger.calls.clear()
                await self.serve_answer(answer(request_id, "201 Created", body=b"1"))
                status, problem = await self.book()
                self.assertEqual((502, "maybe"), (status, problem["ran"]))
                command, _, stored = self.ledger.calls[-1]
                self.assertEqual(("settle", None), (command, stored))

    async def test_a_refusal_of_a_run_is_retried_or_promises_that_it_did_not_run(self):
        """These statuses are the server's own words; the entry adds nothing to them."""
        for status in (408, 421, 429, 503):
            with self.subTest(status=status):
                self.scheduler.addresses.clear()
                self.ledger.calls.clear()
                text = f"{status} Refused"
                requests = await self.serve_answer(
                    lambda req, text=text: req.answer(text, body=b"mine")
                )
                self.assertEqual((status, b"mine"), await self.book())
                self.assertEqual(1, len(requests))
                command, _, stored = self.ledger.calls[-1]
                self.assertEqual("settle", command)
                self.assertEqual((status, b"mine"), (stored.status, stored.body))


class ContinuedStreamTests(AnsweredTestCase):
    """A stream goes on with its own run, from where it broke off, or breaks off."""

    BEGUN = b"data: 0\n\n"

    async def play(self, continuation, *first_lines: str, first: bytes = b""):
        """Break a stream off; return what the caller gets, and whether it is whole.

        `first` replaces its beginning.
        """

        async def serve(req: RawRequest, writer):
            if req.target.startswith("GET /runs/"):
                await continuation(req, writer)
                return
            if first:
                writer.write(first)
                return
            lines = first_lines or (CHUNKED,)
            writer.write(answer_head(req.request_id, OK, STREAM, *lines))
            writer.write(chunk(self.BEGUN) if CHUNKED in lines else self.BEGUN)
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()

        self.scheduler.addresses.clear()
        self.requests = await self.serve_requests(serve)
        body = b""
        async with asyncio.timeout(5):
            async with self.session.post(
                "/v1/completions", json=MODEL_REQUEST, headers=AUTHORIZED
            ) as res:
                try:
                    async for data in res.content.iter_any():
                        body += data
                except aiohttp.ClientPayloadError:
                    return body, False
                return body, True

    def head(self, req, *lines: str, **changes: str | None) -> bytes:
        """Return the head of a continuation; None leaves a line out."""
        fields = {
            "Fuchsiacroft-Request-Id": req.request_id,
            "Fuchsiacroft-Boot-Id": BOOT_ID,
            OFFSET: str(len(self.BEGUN)),
            "Content-Type": "text/event-stream",
        }
        fields |= {name.replace("_", "-"): value for name, value in changes.items()}
        status = fields.pop("status", OK)
        given = [f"{name}: {value}" for name, value in fields.items() if value]
        return answer_head(None, status, *given, *(lines or (CHUNKED,)))

    async def assert_not_used(self, *lines: str, body: bytes = b"", **changes) -> None:
        rest = b"data: foreign\n\n" + DONE
        body = body or chunk(rest) + b"0\r\n\r\n"

        async def answer_resume(req, writer):
            writer.write(self.head(req, *lines, **changes) + body)

        got, is_whole = await self.play(answer_resume)
        self.assertFalse(is_whole, got)
        self.assertTrue(got.startswith(self.BEGUN + b"event: error\n"), got)
        self.assertNotIn(b"foreign", got)
        self.assertGreater(len(self.requests), 1)

    async def test_the_own_continuation_is_not_used_or_not_asked_for_by_name(self):
        async def answer_resume(req, writer):
            writer.write(self.head(req) + chunk(b"data: 1\n\n" + DONE) + b"0\r\n\r\n")

        expected = self.BEGUN + b"data: 1\n\n" + DONE
        self.assertEqual((expected, True), await self.play(answer_resume))
        request_ids = {req.request_id for req in self.requests}
        self.assertEqual(1, len(request_ids))

    async def test_a_stream_is_lost_by_an_answer_that_is_not_its_own(self):
        """The run can be found by its id."""

        async def answer_resume(req, writer):
            head = self.head(req, Fuchsiacroft_Offset="0")
            writer.write(head + chunk(b"data: 1\n\n" + DONE) + b"0\r\n\r\n")

        for request_id in (None, OTHER):
            with self.subTest(request_id=request_id):
                first = answer(request_id, BUSY, *NOTICES)
                got = await self.play(answer_resume, first=first)
                self.assertEqual((b"data: 1\n\n" + DONE, True), got)
                self.assertEqual([], self.scheduler.notices)

    async def test_a_continuation_of_another_run_is_used(self):
        await self.assert_not_used(Fuchsiacroft_Request_Id=OTHER)

    async def test_a_continuation_that_names_no_run_is_used(self):
        await self.assert_not_used(Fuchsiacroft_Request_Id=None)

    async def test_a_continuation_of_another_boot_is_used(self):
        await self.assert_not_used(Fuchsiacroft_Boot_Id="boot-2")

    async def test_a_continuation_that_names_no_boot_is_used(self):
        await self.assert_not_used(Fuchsiacroft_Boot_Id=None)

    async def test_a_continuation_from_another_offset_is_used(self):
        for offset in ("0", "8", "10", "9, 9", "x"):
            with self.subTest(offset=offset):
                await self.assert_not_used(Fuchsiacroft_Offset=offset)

    async def test_a_continuation_that_names_no_offset_is_used(self):
        await self.assert_not_used(Fuchsiacroft_Offset=None)

    async def test_a_continuation_with_another_status_or_content_is_used(self):
        for changes in (
            {"status": BUSY},
            {"status": "206 Partial Content"},
            {"Content_Type": "text/html"},
            {"Content_Type": None},
            {"Content_Encoding": "gzip"},
        ):
            with self.subTest(changes=changes):
                await self.assert_not_used(**changes)

    async def test_a_second_answer_is_a_part_of_a_continuation(self):
        """Only a framed continuation has an end that another answer can't shift."""
        error = answer(OTHER, "500 Failed", body=b"foreign")
        await self.assert_not_used("Connection: close", body=DONE + error)

    async def test_a_continuation_of_another_length_shifts_the_next_answer(self):
        """A stream that began with a length is not continued."""
        length = len(self.BEGUN + DONE)
        for rest in (b"data: more\n\n" + DONE, b"data: 1\n\n", b"", DONE):
            with self.subTest(rest=rest):

                async def answer_resume(req, writer, rest=rest):
                    data = chunk(rest) if rest else b""
                    writer.write(self.head(req) + data + b"0\r\n\r\n")

                lines = f"Content-Length: {length}"
                got = await self.play(answer_resume, lines)
                self.assertEqual((self.BEGUN, False), got)
                await self.assert_own_answer_next()

    async def assert_own_answer_next(self) -> None:
        self.scheduler.addresses.clear()
        await self.serve_answer(lambda req: req.answer(OK, body=b"next"))
        self.assertEqual((200, b"next"), await self.call())


class CancelledRunTests(AnsweredTestCase):
    """A run counts as cancelled once its engine says so of this run."""

    async def count_cancels(self, cancel_answer) -> int:
        cancels = []

        async def serve(req, writer):
            if req.target.endswith("/cancel"):
                cancels.append(req)
                writer.write(cancel_answer(req))
                return
            await asyncio.sleep(0.5)

        self.scheduler.addresses.clear()
        await self.serve_requests(serve)
        headers = {"Fuchsiacroft-Timeout": "0.2"}
        path = "/v1/completions"
        status, _ = await self.call("POST", path, json=MODEL_REQUEST, headers=headers)
        self.assertEqual(504, status)
        await asyncio.sleep(0.6)
        return len(cancels)

    async def test_another_answer_is_taken_for_a_cancellation(self):
        for given in (
            lambda req: answer(OTHER, "204 No Content"),
            lambda req: answer(None, "204 No Content"),
            lambda req: req.answer(BUSY),
        ):
            self.assertEqual(3, await self.count_cancels(given))

    async def test_a_cancellation_is_repeated_after_its_answer(self):
        for status in ("204 No Content", "404 Not Found"):
            with self.subTest(status=status):
                count = await self.count_cancels(
                    lambda req, status=status: req.answer(status)
                )
                self.assertEqual(1, count)
