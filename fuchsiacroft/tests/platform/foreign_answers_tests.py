"""Tests of answers that belong to another request, or are not shown to be its own."""

import asyncio

from fuchsiacroft.tests.fakes.platform_region import PlatformTestCase, read_response
from fuchsiacroft.tests.fakes.replica import (
    SEAL_HEADER,
    own_id,
    response,
    response_head,
)

NOT_EXECUTED = "Fuchsiacroft-Not-Executed: 1"
LEAVING = "Server-Leaving: 1"
OTHER_ID = "Fuchsiacroft-Attempt-Id: 00000000deadbeef"
REFUSALS = {
    "503": ("503 Busy", NOT_EXECUTED),
    "429": ("429 Slow Down", NOT_EXECUTED),
    "421": ("421 Misdirected",),
    "503 with Retry-After": ("503 Busy", NOT_EXECUTED, "Retry-After: 1"),
}
BODIES = {
    "no body": (b"", "Content-Length: 0"),
    "a body": (b"not you", "Content-Length: 7"),
    "chunks": (b"3\r\nnot\r\n0\r\n\r\n", "Transfer-Encoding: chunked"),
}


def foreign(status: str, *lines: str, body: bytes = b"") -> bytes:
    """Return an answer that names another request."""
    length = f"Content-Length: {len(body)}"
    return response_head(status, SEAL_HEADER, OTHER_ID, length, *lines) + body


class Stutter:
    """Writes `first`, and the request's own answer after `pause_s`."""

    def __init__(self, first: bytes, pause_s: float = 0.0) -> None:
        self.first = first
        self.pause_s = pause_s

    async def __call__(self, req, writer) -> None:
        writer.write(self.first)
        await writer.drain()
        await asyncio.sleep(self.pause_s)
        writer.write(response(req, b"mine"))


class ForeignAnswerTests(PlatformTestCase):
    """An answer that names another request says nothing of this one."""

    async def add(self, handler, replicas: int = 2) -> None:
        self.received = []
        for _ in range(replicas):
            replica = await self.region.add_replica("till", handler)
            self.received.append(replica.received)

    @property
    def runs(self) -> int:
        return sum(len(received) for received in self.received)

    async def assert_own_answer(self, path: str, handler) -> None:
        before = len(self.region.replicas)
        await self.add(handler)
        got = await self.region.send_request(path, method="POST")
        self.assertEqual((200, b"mine"), (got.status, got.body))
        self.assertEqual(1, self.runs)
        for replica in self.region.replicas[before:]:
            await self.region.remove_replica(replica, "till")

    async def test_a_refusal_of_another_request_is_believed(self):
        for name, lines in REFUSALS.items():
            with self.subTest(name):
                await self.assert_own_answer("/book/1/", Stutter(foreign(*lines)))

    async def test_a_refusal_of_another_request_with_a_body_is_believed(self):
        for name, (body, framing) in BODIES.items():
            with self.subTest(name):
                head = response_head("503 Busy", NOT_EXECUTED, OTHER_ID, framing)
                await self.assert_own_answer("/book/1/", Stutter(head + body))

    async def test_the_own_answer_is_lost_if_it_comes_later_than_an_extra_one(self):
        refusal = foreign(*REFUSALS["503"])
        await self.assert_own_answer("/book/1/", Stutter(refusal, pause_s=0.15))

    async def test_a_success_of_another_request_is_passed_on(self):
        first = foreign("200 OK", body=b"them") * 3
        await self.assert_own_answer("/stock/1/", Stutter(first))

    async def test_an_own_answer_is_cut_behind_a_large_one_in_the_same_bytes(self):
        large = foreign("200 OK", body=b"x" * 200_000)

        async def serve(req, writer):
            own = response(req, b"mine" * 100)
            writer.write(large + own[:-200])
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(own[-200:])

        await self.add(serve)
        got = await self.region.send_request("/book/1/", method="POST")
        self.assertEqual((200, b"mine" * 100), (got.status, got.body))

    async def test_a_refusal_of_another_request_says_that_nothing_ran(self):
        async def only_foreign(req, writer):
            writer.write(foreign(*REFUSALS["503"]))

        await self.add(only_foreign)
        got = await self.region.send_request("/book/1/", method="POST")
        self.assertEqual((502, 1), (got.status, self.runs))

    async def test_a_server_leaves_by_an_answer_to_another_request(self):
        notice = foreign("200 OK", LEAVING)
        await self.add(Stutter(notice), replicas=1)
        for _ in range(2):
            got = await self.region.send_request("/book/1/", method="POST")
            self.assertEqual((200, b"mine"), (got.status, got.body))

    async def test_answers_of_others_without_end_hold_a_request_past_its_timeout(self):
        async def endless(req, writer):
            while True:
                writer.write(foreign(*REFUSALS["503"]))
                await writer.drain()
                await asyncio.sleep(0)

        await self.add(endless)
        async with asyncio.timeout(2.0):
            got = await self.region.send_request("/book/1/", method="POST")
        self.assertIn(got.status, (502, 504))
        self.assertEqual(1, self.runs)


class UnshownAnswerTests(PlatformTestCase):
    """A success counts only with the request's id and the server's signature."""

    async def assert_visible_error(self, make_head) -> None:
        async def serve(req, writer):
            writer.write(make_head(req) + b"page")

        for service, prefix in (("till", "/book"), ("lens", "/advice")):
            with self.subTest(service):
                replica = await self.region.add_replica(service, serve)
                path = f"{prefix}/{replica.replica_id}/"
                got = await self.region.send_request(path, method="POST")
                self.assertEqual((502, 1), (got.status, len(replica.received)))
                self.assertNotIn("fuchsiacroft-replica-seal", got.headers)
                await self.region.remove_replica(replica, service)

    async def test_a_success_that_names_no_request_is_passed_on(self):
        await self.assert_visible_error(
            lambda req: response_head("200 OK", SEAL_HEADER, "Content-Length: 4")
        )

    async def test_a_success_without_a_signature_is_passed_on(self):
        await self.assert_visible_error(
            lambda req: response_head("200 OK", own_id(req), "Content-Length: 4")
        )

    async def test_a_page_of_another_system_is_passed_on(self):
        await self.assert_visible_error(
            lambda req: response_head("200 OK", "Content-Length: 4")
        )

    async def test_a_refusal_that_names_no_request_says_that_nothing_ran(self):
        await self.assert_visible_error(
            lambda req: response_head(
                "503 Busy", SEAL_HEADER, NOT_EXECUTED, "Content-Length: 4"
            )
        )

    async def test_a_switch_of_protocols_says_that_nothing_ran(self):
        """No request asks for one; other answers below 200 need no name."""
        switch = ("101 Switching Protocols", NOT_EXECUTED, "Upgrade: x")
        await self.assert_visible_error(lambda req: response_head(*switch))
        await self.assert_visible_error(
            lambda req: response_head(*switch, own_id(req), LEAVING)
        )

    async def test_a_status_that_the_protocol_lacks_is_believed_or_passed_on(self):
        """The HTTP client takes any three digits for the status of a final answer."""
        for status in ("099 X", "000 X", "600 X", "999 X"):
            with self.subTest(status):
                await self.assert_visible_error(
                    lambda req, status=status: response_head(
                        status, NOT_EXECUTED, LEAVING, "Content-Length: 4"
                    )
                )
                await self.assert_visible_error(
                    lambda req, status=status: response_head(
                        status, own_id(req), SEAL_HEADER, "Content-Length: 4"
                    )
                )

    async def test_a_status_that_promises_nothing_ran_is_passed_on_of_a_run(self):
        """A backend server refuses in so many words, or it may have run the request."""
        for status in ("503 Down", "429 Many", "408 Slow"):
            with self.subTest(status):
                await self.assert_visible_error(
                    lambda req, status=status: response_head(
                        status, SEAL_HEADER, own_id(req), "Content-Length: 4"
                    )
                )

    async def test_an_answer_that_names_two_requests_is_passed_on(self):
        await self.assert_visible_error(
            lambda req: response_head(
                "200 OK", SEAL_HEADER, own_id(req), OTHER_ID, "Content-Length: 4"
            )
        )


class RequestIdTests(PlatformTestCase):
    """An answer can be told only of a request with one id."""

    async def test_a_request_without_one_id_is_run_and_its_server_blamed(self):
        for lines in ((), ("Fuchsiacroft-Attempt-Id:",), (OTHER_ID, f"{OTHER_ID}0")):
            for prefix in ("/stock", "/book"):
                with self.subTest(lines=lines, prefix=prefix):
                    got, runs = await self.send(f"{prefix}/1/", lines)
                    self.assertEqual((400, 0), (got.status, runs))

    async def send(self, path: str, lines: tuple[str, ...]):
        async def refuse(req, writer):
            head = response_head("400 Bad", SEAL_HEADER, NOT_EXECUTED)
            writer.write(head[:-2] + b"Content-Length: 0\r\n\r\n")

        replicas = [await self.region.add_replica("till", refuse) for _ in range(2)]
        request = self.region.encode_request(path, method="POST", attempt_id="x")
        more = "".join(f"{line}\r\n" for line in lines).encode()
        reader, writer = await self.region.connect()
        writer.write(request.replace(b"Fuchsiacroft-Attempt-Id: x\r\n", more))
        got = await read_response(reader)
        writer.close()
        runs = sum(len(replica.received) for replica in replicas)
        for replica in replicas:
            await self.region.remove_replica(replica, "till")
        return got, runs


class CutHeadTests(PlatformTestCase):
    """An answer whose head is cut is no success, wherever it is cut."""

    async def test_a_cut_head_becomes_a_success_with_a_short_body(self):
        cuts = (0.1, 0.5, 0.8, 0.97)

        async def cut_head(req, writer):
            whole = response(req, b"0123456789")
            head = whole[: whole.index(b"\r\n\r\n") + 4]
            number = int(req.request_line.split("/")[2])
            writer.write(head[: int(len(head) * cuts[number])])

        for service, path in (("till", "/book"), ("lens", "/advice")):
            replica = await self.region.add_replica(service, cut_head)
            for number in range(len(cuts)):
                got = await self.region.send_request(f"{path}/{number}/", method="POST")
                self.assertIn(got.status, (502, 503))
            self.assertGreater(len(replica.received), 1)


class FlawedAnswerTests(PlatformTestCase):
    """A backend server that answers wrongly has not crashed."""

    async def test_requests_with_the_same_content_are_held_back(self):
        async def page(req, writer):
            writer.write(response_head("200 OK", "Content-Length: 4") + b"page")

        replicas = [await self.region.add_replica("till", page) for _ in range(2)]
        for _ in range(4):
            got = await self.region.send_request("/book/1/", method="POST")
            self.assertEqual(502, got.status)
        self.assertEqual(4, sum(len(replica.received) for replica in replicas))
