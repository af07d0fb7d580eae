"""The data plane of an entry, with a fake scheduler and a fake ledger client."""

import asyncio
import itertools
from collections import Counter, deque
from dataclasses import dataclass

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestServer
from expression import Error, Ok

from fuchsiacroft.config import current_document
from fuchsiacroft.config.document import hash_key, parse
from fuchsiacroft.config.feed import DocumentUpdate
from fuchsiacroft.config.settings import Addresses, Settings
from fuchsiacroft.control.ledger import KeyState, KeyStatus
from fuchsiacroft.entry import backend_client, caller_api, dispatch
from fuchsiacroft.entry.ledger_client import LedgerClient
from fuchsiacroft.entry.problems import REQUEST_ID_HEADER
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership.server_notices import ServerNotice
from fuchsiacroft.routing.permits import Permit, Refusal, RefusalReason
from fuchsiacroft.routing.scheduler import Scheduler
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.ports import free_address
from fuchsiacroft.utils.metrics import Metrics

KEY = "key-1"
AUTHORIZED = {"Authorization": f"Bearer {KEY}"}
BOOT_ID = "boot-1"

DOCUMENT = {
    "tiers": [{"name": "counter", "rank": 0, "timeout_s": 30}],
    "services": [
        {"name": "lens-assistant", "kind": "model", "max_body_bytes": 100_000},
        {"name": "counter", "kind": "plain", "max_body_bytes": 1_000_000},
        {"name": "gateway", "kind": "plain", "max_body_bytes": 300_000_000},
    ],
    "workspaces": [
        {"name": "shop-1", "key_hashes": [hash_key(KEY)], "tier": "counter"}
    ],
    "rules": [
        {
            "service": "counter",
            "idempotent": False,
            "methods": ["POST"],
            "path_prefix": "/bookings",
        }
    ],
}


@dataclass(frozen=True, slots=True)
class RawRequest:
    """The head of a request to a backend server."""

    head: bytes

    @property
    def target(self) -> str:
        """Return the method and the target."""
        return self.head.split(b" HTTP/1.1\r\n", 1)[0].decode()

    @property
    def request_id(self) -> str:
        """Return the id that an answer has to name."""
        prefix = f"\r\n{REQUEST_ID_HEADER}: ".encode()
        return self.head.partition(prefix)[2].split(b"\r\n", 1)[0].decode()

    def answer(self, status: str, *lines: str, body: bytes = b"") -> bytes:
        """Return an answer that names this request and has a length."""
        return answer(self.request_id, status, *lines, body=body)


def answer(
    request_id: str | None, status: str, *lines: str, body: bytes = b""
) -> bytes:
    """Return an answer with a length that names a request, or none."""
    length = f"Content-Length: {len(body)}"
    return answer_head(request_id, status, length, *lines) + body


def answer_head(request_id: str | None, status: str, *lines: str) -> bytes:
    """Return the head of an answer that names a request, or none."""
    named = [] if request_id is None else [f"{REQUEST_ID_HEADER}: {request_id}"]
    return "\r\n".join([f"HTTP/1.1 {status}", *named, *lines, "", ""]).encode()


def chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class FakeScheduler(Scheduler):
    """Grants permits for the listed addresses in order."""

    def __init__(self) -> None:
        self.addresses: deque[str] = deque()
        self.granted: list[Permit] = []
        self.first_tokens: list[str] = []
        self.notices: list[ServerNotice] = []
        self.leaving = False
        self.released: list[tuple[str, str]] = []
        self._numbers = itertools.count()

    async def start(self, kernel) -> None:
        """Do nothing; the fake has no dependencies."""

    async def stop(self) -> None:
        """Do nothing; the fake holds no resources."""

    async def drain(self) -> None:
        """Return at once; nothing is pending."""

    async def acquire(self, request):
        """Return a permit for the next address; the last address is reused."""
        if not self.addresses:
            return Error(Refusal(RefusalReason.NO_BACKEND_SERVER, 1.5))
        address = self.addresses[0]
        if len(self.addresses) > 1:
            self.addresses.popleft()
        permit = Permit(
            permit_id=f"permit-{next(self._numbers)}",
            request=request,
            backend_server="backend-1",
            boot_id=BOOT_ID,
            address=address,
            owner="entry-1",
            preempted=asyncio.get_running_loop().create_future(),
        )
        self.granted.append(permit)
        return Ok(permit)

    def record_answer(self, permit, answer) -> None:
        """Record what a backend server said of itself."""
        self.notices.append(answer.notice)

    def is_leaving(self, permit) -> bool:
        """Return what the test set."""
        return self.leaving

    def record_first_token(self, permit) -> None:
        """Record the permit of the run."""
        self.first_tokens.append(permit.permit_id)

    def release(self, permit, report) -> None:
        """Record the release."""
        self.released.append((permit.permit_id, report.outcome.value))


class FakeLedger(LedgerClient):
    """Grants every claim and records the calls."""

    def __init__(self) -> None:
        self.calls: list[tuple] = []
        self.status = KeyStatus(KeyState.FREE)

    async def start(self, kernel) -> None:
        """Do nothing; the fake has no dependencies."""

    async def stop(self) -> None:
        """Do nothing; the fake holds no resources."""

    async def drain(self) -> None:
        """Return at once; nothing is pending."""

    async def look_up(self, key):
        """Return the status that the test set."""
        return Ok(self.status)

    async def claim(self, key, claim, lease_s):
        """Grant the claim."""
        self.calls.append(("claim", claim))
        return Ok(KeyStatus(KeyState.GRANTED))

    def settle(self, key, claim, response) -> None:
        """Record the outcome."""
        self.calls.append(("settle", claim, response))

    def release(self, key, claim) -> None:
        """Record that a claim was released."""
        self.calls.append(("release", claim))


class DataPlaneTestCase(SocketTestCase):
    """Runs the data plane of one entry on loopback, without routing and control."""

    async def asyncSetUp(self):
        settings = Settings(
            node="entry-1",
            failure_domain="domain-1",
            region="region-1",
            addresses=Addresses(operators="127.0.0.1:1", callers=free_address()),
            drain_timeout_s=5.0,
        )
        self.metrics = Metrics()
        self.scheduler = FakeScheduler()
        self.ledger = FakeLedger()
        self.callers = caller_api.create(settings, self.metrics)
        document = current_document.create()
        document.apply_update(DocumentUpdate(1, document=parse(DOCUMENT).ok))
        self.kernel = Kernel()
        for service in (
            document,
            self.scheduler,
            backend_client.create(),
            self.ledger,
            dispatch.create(),
            self.callers,
        ):
            self.kernel.add(service)
        await self.kernel.start()
        self.addAsyncCleanup(self.kernel.stop)
        self.address = settings.addresses.callers
        self.session = aiohttp.ClientSession(f"http://{self.address}")
        self.addAsyncCleanup(self.session.close)

    async def serve(self, app: web.Application) -> aiohttp.ClientSession:
        """Start a backend server, append its address, and return a session for it."""
        server = TestServer(app)
        await server.start_server()
        self.addAsyncCleanup(server.close)
        self.scheduler.addresses.append(f"{server.host}:{server.port}")
        session = aiohttp.ClientSession(server.make_url("/"))
        self.addAsyncCleanup(session.close)
        return session

    async def serve_raw(self, handler) -> Counter:
        """Start a backend server that uses a stream handler, and count its requests."""
        counts = Counter()

        async def serve(req, reader, writer):
            counts["requests"] += 1
            counts["head"] = req.head
            await handler(reader, writer)

        await self._listen(serve)
        return counts

    async def serve_requests(self, handler) -> list[RawRequest]:
        """Start a backend server that gets heads and a writer, and list its requests.

        Each connection has one request, and is closed once it is handled.
        """
        requests = []

        async def serve(req, reader, writer):
            requests.append(req)
            await handler(req, writer)
            if not writer.transport.is_closing():
                await writer.drain()

        await self._listen(serve)
        return requests

    async def _listen(self, serve) -> None:
        async def accept(reader, writer):
            try:
                req = RawRequest(await reader.readuntil(b"\r\n\r\n"))
                await serve(req, reader, writer)
            except ConnectionError:
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.scheduler.addresses.append(f"127.0.0.1:{port}")

    async def send_raw(self, data: bytes) -> bytes:
        """Send bytes to the entry and return everything received until it closes."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        try:
            async with asyncio.timeout(5):
                return await reader.read()
        finally:
            writer.close()

    async def wait_for(self, check, timeout_s: float = 3.0) -> None:
        """Wait until a condition is true."""
        async with asyncio.timeout(timeout_s):
            while not check():
                await asyncio.sleep(0.01)


class AnsweredTestCase(DataPlaneTestCase):
    """Requests through an entry to servers whose answers are given byte for byte."""

    async def call(self, method="GET", path="/services/counter/x", **kwargs):
        """Return the status and the body, a problem document as a dictionary."""
        headers = AUTHORIZED | kwargs.pop("headers", {})
        async with asyncio.timeout(5):
            async with self.session.request(
                method, path, headers=headers, **kwargs
            ) as res:
                self.headers = res.headers
                is_problem = res.content_type == "application/problem+json"
                content = res.json(content_type=None) if is_problem else res.read()
                return res.status, await content

    async def book(self):
        """Send a non-idempotent request."""
        headers = {"Idempotency-Key": "booking-1"}
        return await self.call("POST", "/services/counter/bookings", headers=headers)

    async def serve_answer(self, *answers: bytes, pause_s: float = 0.0) -> list:
        """Start a server that writes the answers to each request."""

        async def serve(req, writer):
            for data in answers:
                writer.write(data(req) if callable(data) else data)
                await writer.drain()
                await asyncio.sleep(pause_s)

        return await self.serve_requests(serve)
