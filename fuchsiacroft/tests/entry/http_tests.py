"""Tests for malformed and oversized requests, header filtering and draining."""

import asyncio
import re
from unittest import mock

import msgspec

from fuchsiacroft.standin import application
from fuchsiacroft.tests.fakes.data_plane import (
    AUTHORIZED,
    DataPlaneTestCase,
    answer_head,
)

AUTH = b"Authorization: Bearer key-1\r\n"
HEAD_END = b"\r\n\r\n"
GET = b"GET /services/counter/x HTTP/1.1\r\nHost: x\r\n" + AUTH
POST = b"POST /services/counter/x HTTP/1.1\r\nHost: x\r\n" + AUTH
CLOSE = b"Connection: close\r\n"


def get(path: bytes, headers: bytes = b"") -> bytes:
    """Return a GET request for a path, as bytes."""
    return (
        b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n" + AUTH + headers + CLOSE + b"\r\n"
    )


REJECTED = {
    "both lengths": (
        400,
        POST + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
    "two lengths": (400, POST + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde"),
    "equal lengths": (
        400,
        POST + b"Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd",
    ),
    "length in a list": (400, POST + b"Content-Length: 4, 4\r\n\r\nabcd"),
    "signed length": (400, POST + b"Content-Length: +4\r\n\r\nabcd"),
    "other coding": (400, POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
    "hidden coding": (400, POST + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"),
    "two codings": (
        400,
        POST + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"
        b"\r\n0\r\n\r\n",
    ),
    "space before colon": (400, POST + b"Content-Length : 4\r\n\r\nabcd"),
    "folded header": (400, GET + b"X-A: one\r\n two\r\n" + CLOSE + b"\r\n"),
    "bare CR": (400, GET + b"X-A: one\rtwo\r\n" + CLOSE + b"\r\n"),
    "bare LF": (400, GET + b"X-A: one\nX-B : two\r\n" + CLOSE + b"\r\n"),
    "control character": (400, GET + b"X-A: \x00\r\n" + CLOSE + b"\r\n"),
    "absolute form": (400, get(b"http://other/services/counter/x")),
    "authority form": (405, b"CONNECT other:80 HTTP/1.1\r\nHost: x\r\n\r\n"),
    "trace": (405, b"TRACE /services/counter/x HTTP/1.1\r\nHost: x\r\n\r\n"),
    "dot segments": (400, get(b"/services/counter/../gateway/x")),
    "encoded dots": (400, get(b"/services/counter/%2e%2e/gateway/x")),
    "encoded slash": (400, get(b"/services/counter/a%2fb")),
    "encoded backslash": (400, get(b"/services/counter/a%5Cb")),
    "twice encoded": (400, get(b"/services/counter/%252e%252e/x")),
    "empty segment": (400, get(b"/services/counter//bookings")),
    "encoded newline": (400, get(b"/services/counter/a%0d%0ab")),
    "two keys": (400, get(b"/services/counter/x", AUTH)),
    "two hosts": (400, get(b"/services/counter/x", b"Host: y\r\n")),
    "upgrade": (
        501,
        GET + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
    ),
    "unknown expectation": (417, get(b"/services/counter/x", b"Expect: 200-maybe\r\n")),
    "wrong key": (
        401,
        b"GET /services/counter/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer no\r\n"
        + CLOSE
        + b"\r\n",
    ),
    "no key": (
        401,
        b"GET /services/counter/x HTTP/1.1\r\nHost: x\r\n" + CLOSE + b"\r\n",
    ),
    "unknown service": (404, get(b"/services/other/x")),
    "model as plain service": (404, get(b"/services/lens-assistant/x")),
    "unknown path": (404, get(b"/v1/models")),
    "wrong method": (405, get(b"/v1/completions")),
    "not HTTP": (400, b"hello\r\n\r\n"),
    "long header": (400, GET + b"X-A: " + b"a" * 20_000 + b"\r\n" + CLOSE + b"\r\n"),
    "unknown tier": (
        400,
        get(b"/services/counter/x", b"Fuchsiacroft-Tier: gold\r\n"),
    ),
    "bad timeout": (
        400,
        get(b"/services/counter/x", b"Fuchsiacroft-Timeout: nan\r\n"),
    ),
}


class RejectedRequestTests(DataPlaneTestCase):
    """Invalid requests are rejected with `ran: no`, counted and not forwarded."""

    async def test_invalid_requests_get_a_problem_document(self):
        app = application.create(0.0)
        backend = await self.serve(app.app())
        ids = set()
        for name, (status, request) in REJECTED.items():
            with self.subTest(name):
                response = await self.send_raw(request)
                head, _, body = response.partition(HEAD_END)
                self.assertEqual(status, int(head.split()[1]), response)
                self.assertIn(b"application/problem+json", head)
                ids.add(re.search(rb"Fuchsiacroft-Request-Id: (\w+)", head)[1])
                self.assertEqual("no", msgspec.json.decode(body)["ran"])
                self.assertNotIn(b"HTTP/1.1", body)
        self.assertEqual(len(REJECTED), len(ids))
        async with backend.get("/counts") as res:
            self.assertEqual({}, (await res.json())["started"])
        self.assertEqual([], self.scheduler.granted)
        rendered = self.metrics.render([])[0].decode()
        counted = re.findall(r"fuchsiacroft_problems_total\{.*\} (\d+)", rendered)
        self.assertEqual(len(REJECTED), sum(map(int, counted)))


class BodyTests(DataPlaneTestCase):
    """Malformed, oversized and slow request bodies, and 100-continue."""

    async def post(self, path, **kwargs):
        async with self.session.post(
            path, headers=AUTHORIZED | kwargs.pop("headers", {}), **kwargs
        ) as res:
            return res.status, await res.json(content_type=None)

    async def test_malformed_json_is_rejected(self):
        for body in (b"{", b"[]", b'{"model": 1}', b"\xff", b"[" * 5_000):
            status, problem = await self.post("/v1/completions", data=body)
            self.assertEqual((400, "no"), (status, problem["ran"]))

    async def test_oversized_body_is_rejected_with_and_without_length(self):
        async def chunks():
            for _ in range(40):
                yield b" " * 100_000

        for body in (b" " * 4_000_000, chunks()):
            status, problem = await self.post("/v1/completions", data=body)
            self.assertEqual((413, "no"), (status, problem["ran"]))
        self.assertEqual(0, self.callers.dump()["held_body_bytes"])

    async def test_oversized_streamed_body_is_aborted(self):
        async def chunks():
            for _ in range(30):
                yield b" " * 100_000

        app = application.create(0.0)
        await self.serve(app.app())
        status, problem = await self.post("/services/counter/x", data=chunks())
        self.assertEqual((413, "maybe"), (status, problem["ran"]))
        self.assertEqual([("permit-0", "cancelled")], self.scheduler.released)

    async def test_slow_body_is_rejected(self):
        with mock.patch("fuchsiacroft.entry.request_body.READ_TIMEOUT_S", 0.2):
            response = await self.send_raw(
                b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                + AUTH
                + b"Content-Length: 10\r\nConnection: close\r\n\r\n{"
            )
        self.assertTrue(response.startswith(b"HTTP/1.1 408"), response)

    async def test_100_continue_is_sent_after_validation(self):
        app = application.create(0.0)
        await self.serve(app.app())
        expect = b"Expect: 100-continue\r\nContent-Length: 2\r\nConnection: close\r\n"
        response = await self.send_raw(POST + expect + b"\r\nok")
        self.assertTrue(response.startswith(b"HTTP/1.1 100 Continue\r\n\r\n"), response)
        self.assertIn(b"HTTP/1.1 200 OK", response)
        wrong = POST.replace(b"key-1", b"other")
        response = await self.send_raw(wrong + expect + b"\r\n")
        self.assertTrue(response.startswith(b"HTTP/1.1 401"), response)

    async def test_bodies_are_forwarded_with_their_length(self):
        app = application.create(0.0)
        await self.serve(app.app())
        body = bytes(range(256)) * 20_000
        async with self.session.put(
            "/services/gateway/echo", data=body, headers=AUTHORIZED
        ) as res:
            self.assertEqual(str(len(body)), res.headers["Content-Length"])
            self.assertEqual(body, await res.read())


class HeaderTests(DataPlaneTestCase):
    """Hop-by-hop and internal headers are removed in both directions."""

    async def test_request_headers(self):
        async def respond(req, writer):
            writer.write(answer_head(req.request_id, "204 No Content"))

        requests = await self.serve_requests(respond)
        response = await self.send_raw(
            get(
                b"/services/counter/%62?q=1",
                b"TE: trailers\r\nX-Kept: one\r\nX-Dropped: two\r\n"
                b"Connection: x-dropped\r\nFuchsiacroft-Boot-Id: 7\r\n"
                b"Fuchsiacroft-Request-Id: 8\r\nProxy-Authorization: no\r\n",
            )
        )
        self.assertTrue(response.startswith(b"HTTP/1.1 204"), response)
        head = requests[0].head.decode().lower()
        self.assertIn("get /%62?q=1 http/1.1", head)
        self.assertIn("x-kept: one", head)
        for removed in (
            "te:",
            "x-dropped",
            "boot-id",
            "proxy-",
            "authorization",
            "id: 8\r",
        ):
            self.assertNotIn(removed, head)

    async def test_response_headers(self):
        async def respond(req, writer):
            lines = ("Connection: x-dropped", "X-Dropped: 1", "X-Kept: 1")
            lines += ("Keep-Alive: timeout=1", "Upgrade: h2c")
            lines += ("Fuchsiacroft-Boot-Id: stolen",)
            writer.write(req.answer("200 Injected\tReason", *lines, body=b"ok"))

        requests = await self.serve_requests(respond)
        head = (await self.send_raw(get(b"/services/counter/x"))).lower()
        self.assertIn(b"x-kept: 1", head)
        named = f"fuchsiacroft-request-id: {requests[0].request_id}\r\n"
        self.assertEqual(1, head.count(b"fuchsiacroft-"))
        self.assertIn(named.encode(), head)
        self.assertNotIn(b"injected", head)
        for removed in (b"x-dropped", b"keep-alive", b"upgrade", b"stolen"):
            self.assertNotIn(removed, head)

    async def test_malformed_response_head_is_rejected(self):
        for head in (
            b"HTTP/1.1 200 OK\r\n%bX-A: one\rSet-Cookie: a=b\r\nContent-Length: 0"
            b"\r\n\r\n",
            b"HTTP/1.1 101 Switching Protocols\r\n%bUpgrade: x\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n%bContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
            b"nonsense\r\n%b\r\n",
        ):
            with self.subTest(head):
                self.scheduler.addresses.clear()

                async def respond(req, writer, head=head):
                    name = f"Fuchsiacroft-Request-Id: {req.request_id}\r\n"
                    writer.write(head % name.encode())

                await self.serve_requests(respond)
                response = await self.send_raw(get(b"/services/counter/x"))
                self.assertTrue(response.startswith(b"HTTP/1.1 502"), response)
                self.assertNotIn(b"set-cookie", response.lower())

    async def test_head_request_has_length_and_no_body(self):
        app = application.create(0.0)
        await self.serve(app.app())
        async with self.session.head(
            "/services/gateway/bytes/100", headers=AUTHORIZED
        ) as res:
            self.assertEqual((200, "100"), (res.status, res.headers["Content-Length"]))
        async with asyncio.timeout(2):
            async with self.session.get(
                "/services/gateway/bytes/100", headers=AUTHORIZED
            ) as res:
                self.assertEqual(100, len(await res.read()))


class DrainTests(DataPlaneTestCase):
    """Draining does not interrupt running requests."""

    async def test_drain_reports_not_ready_then_rejects_new_requests(self):
        app = application.create(0.6)
        await self.serve(app.app())

        async def call():
            async with self.session.get(
                "/services/counter/x", headers=AUTHORIZED
            ) as res:
                await res.read()
                return res.status, res.headers.get("Connection")

        running = asyncio.create_task(call())
        await self.wait_for(lambda: self.scheduler.granted)
        with mock.patch("fuchsiacroft.entry.caller_api.READINESS_PROPAGATION_S", 0.2):
            draining = asyncio.create_task(self.callers.drain())
            await asyncio.sleep(0.05)
            self.assertEqual("draining", self.callers.not_ready_reason())
            during_propagation = asyncio.create_task(call())
            await asyncio.sleep(0.3)
            self.assertEqual((503, "close"), await call())
            self.assertEqual((200, "close"), await during_propagation)
            self.assertEqual(200, (await running)[0])
            await draining
        self.assertEqual(0, self.callers.dump()["in_progress"])

    async def test_a_request_that_runs_too_long_is_begun_and_cut(self):
        app = application.create(0.4)
        await self.serve(app.app())

        async def call():
            async with self.session.get(
                "/services/counter/x", headers=AUTHORIZED
            ) as res:
                return res.status, await res.read()

        await asyncio.gather(*(call() for _ in range(8)))
        granted = self.scheduler.granted
        self.callers._settings = msgspec.structs.replace(
            self.callers._settings, drain_timeout_s=0.3
        )
        with mock.patch("fuchsiacroft.entry.caller_api.READINESS_PROPAGATION_S", 0.2):
            draining = asyncio.create_task(self.callers.drain())
            await asyncio.sleep(0.05)
            status, body = await call()
            self.assertEqual(503, status)
            self.assertIn(b'"ran":"no"', body)
            await draining
        self.assertEqual(granted, self.scheduler.granted)

    async def test_request_in_flight_while_stopping_is_rejected(self):
        app = application.create(0.0)
        await self.serve(app.app())
        url = self.session._base_url
        with mock.patch("fuchsiacroft.entry.caller_api.READINESS_PROPAGATION_S", 0.01):
            drained = await asyncio.open_connection(url.host, url.port)
            await asyncio.sleep(0.05)
            await self.callers.drain()
        drained[1].write(get(b"/services/counter/x"))
        late = await asyncio.open_connection(url.host, url.port)
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(self.callers.stop())
        await asyncio.sleep(0.05)
        late[1].write(get(b"/services/counter/x"))
        async with asyncio.timeout(5):
            for reader, writer in (drained, late):
                response = await reader.read()
                writer.close()
                self.assertIn(b" 503 ", response.partition(b"\r\n")[0])
                self.assertIn(b'"ran":"no"', response)
        await stopping
