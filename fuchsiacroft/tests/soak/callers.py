"""Callers that reuse their connection to an entry until it closes."""

import asyncio
import itertools
import math
import random

import msgspec

from fuchsiacroft.tests.fakes import platform_wire
from fuchsiacroft.tests.fakes.platform_wire import (
    DATA_PORT,
    READY_PORT,
    read_chunk,
    read_head,
)
from fuchsiacroft.tests.soak.fleet import Program
from fuchsiacroft.tests.soak.invariants import STREAM_EVENTS
from fuchsiacroft.tests.soak.observations import Attempt, Observations

ROUTES = {
    "safe": ("GET", "/stock/", 1.5),
    "unsafe": ("POST", "/book/", 1.5),
    "stream": ("POST", "/advice/", 3.0),
    "resumable": ("POST", "/report/", 3.0),
}
"""Method, path prefix and timeout in seconds of each configured route."""
PAUSE_RANGE_S = (0.0, 0.08)
RESPONSE_MARGIN_S = 1.0
"""How long a caller waits for a response after the request's timeout."""
READY_CHECK_PERIOD_S = 0.3
READY_TIMEOUT_S = 0.5
SOUND_PARTS = 5
DEADLY_PROBABILITY = 0.15
"""Probability that a request has a deadly part, while there is one."""
BREAK_PROBABILITY = 0.1
"""Probability that a caller breaks a stream off after some events, to take it up."""
ABANDON_PROBABILITY = 0.02
"""Probability that a caller closes the connection before the response ends."""
attempt_numbers = itertools.count(1)
"""Numbers of all requests of this process."""


class Balancer:
    """Checks the readiness of the entries, and assigns callers to ready ones."""

    def __init__(self, entries: list[Program]) -> None:
        self._entries = entries
        self._misses = dict.fromkeys((entry.ip for entry in entries), 2)

    def ready(self) -> list[str]:
        """Return the addresses of the entries that are ready."""
        return [ip for ip, misses in self._misses.items() if misses < 2]

    async def watch(self) -> None:
        """Check every entry periodically."""
        while True:
            await asyncio.gather(
                *(self._check_ready(entry.ip) for entry in self._entries)
            )
            await asyncio.sleep(READY_CHECK_PERIOD_S)

    async def _check_ready(self, ip: str) -> None:
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, READY_PORT)
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            line = b""
        self._misses[ip] = 0 if b" 200 " in line else self._misses[ip] + 1


class BalancedCaller:
    """Sends requests to ready entries, and records what it observes."""

    def __init__(
        self, balancer: Balancer, rng: random.Random, observations: Observations
    ) -> None:
        self._balancer = balancer
        self._rng = rng
        self._observations = observations
        self._now = asyncio.get_running_loop().time


class Caller(BalancedCaller):
    """Sends requests one at a time, on one connection until it closes."""

    def __init__(
        self, balancer: Balancer, rng: random.Random, observations: Observations
    ) -> None:
        super().__init__(balancer, rng, observations)
        self._entry = ""
        self._conn = None
        self._broken: Attempt | None = None

    async def call(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_RANGE_S))
            if self._conn is None and not await self._connect():
                continue
            route = "resumable" if self._broken else self._rng.choice(list(ROUTES))
            await self._send_request(route)

    async def _connect(self) -> bool:
        ready = self._balancer.ready()
        if not ready:
            return False
        self._entry = self._rng.choice(ready)
        try:
            async with asyncio.timeout(1.0):
                self._conn = await asyncio.open_connection(self._entry, DATA_PORT)
        except (OSError, TimeoutError):
            return False
        return True

    def _prompt_parts(self, attempt_id: str) -> str:
        """Return a part that all requests share, another one, and the request's own."""
        middle = f"50{self._rng.randrange(SOUND_PARTS)}"
        deadly = self._observations.deadly_parts
        if deadly and self._rng.random() < DEADLY_PROBABILITY:
            middle = self._rng.choice(deadly)
        return f"c0:10,{middle}:100,{attempt_id}:50"

    async def _send_request(self, route: str) -> None:
        method, prefix, timeout_s = ROUTES[route]
        attempt_id = f"{next(attempt_numbers):016x}"
        body = self._rng.randbytes(self._rng.randrange(1, 3_000))
        body = body if method == "POST" else b""
        attempt = Attempt(
            attempt_id, route, self._entry, self._now(), timeout_s, body=body
        )
        broken, self._broken = self._broken, None
        lines = []
        if broken is not None:
            attempt.resumes = broken.resumes or broken.attempt_id
            attempt.last_event = broken.events[-1]
            attempt.body = body = broken.body
            lines.append(f"Last-Event-Id: {attempt.last_event}")
            lines.append(f"Resumes: {attempt.resumes}")
        self._observations.attempts.append(attempt)
        reader, writer = self._conn
        writer.write(
            platform_wire.encode_request(
                method,
                f"{prefix}{attempt_id}",
                attempt_id,
                f"Fuchsiacroft-Deadline-Ms: {timeout_s * 1000:.0f}",
                "X-Api-Key: key-1",
                f"Fuchsiacroft-Prefix-Hash: {self._prompt_parts(attempt_id)}",
                *lines,
                body=body,
            )
        )
        limit_s = timeout_s + RESPONSE_MARGIN_S
        breaks = route == "resumable" and self._rng.random() < BREAK_PROBABILITY
        most_events = self._rng.randrange(1, STREAM_EVENTS) if breaks else math.inf
        if self._rng.random() < ABANDON_PROBABILITY:
            limit_s = self._rng.uniform(0.0, 0.1)
            attempt.is_abandoned = True
        try:
            async with asyncio.timeout(limit_s):
                is_kept = await read_response(reader, attempt, most_events)
        except (TimeoutError, ValueError):
            is_kept = False
        except (OSError, EOFError):
            is_kept = False
            attempt.is_cut = attempt.status is None
        attempt.ended_at = self._now()
        if route == "resumable" and attempt.events and not attempt.is_complete:
            self._broken = attempt
        if not is_kept:
            writer.close()
            self._conn = None


async def read_response(
    reader: asyncio.StreamReader, attempt: Attempt, most_events: float
) -> bool:
    """Read one response; return whether the connection may be reused.

    A stream is broken off after `most_events`.
    """
    attempt.status, headers = await read_head(reader)
    attempt.says_leaving = headers.get("server-leaving") == "1"
    attempt.names_limit = "server-limit" in headers
    response_attempt_id = headers.get("fuchsiacroft-attempt-id")
    attempt.is_own_response = response_attempt_id in (None, attempt.attempt_id)
    if headers.get("transfer-encoding") == "chunked":
        if not await _read_events(reader, attempt, most_events):
            attempt.is_abandoned = True
            return False
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        expected = f"done {attempt.attempt_id}".encode()
        if attempt.status == 200:
            attempt.is_own_response = attempt.is_own_response and body == expected
        elif headers.get("content-type", "").startswith("application/json"):
            attempt.reason = msgspec.json.decode(body).get("reason", "")
    attempt.is_complete = True
    return headers.get("connection", "").lower() != "close"


async def _read_events(
    reader: asyncio.StreamReader, attempt: Attempt, most_events: float
) -> bool:
    """Read a stream's events; return whether it was read to its end."""
    partial_event = b""
    while data := await read_chunk(reader):
        *events, partial_event = (partial_event + data).split(b"\n\n")
        for event in events:
            number, version = event.split(b"\n")
            attempt.events.append(int(number.removeprefix(b"id: ")))
            attempt.versions.append(version.removeprefix(b"data: ").decode())
        if len(attempt.events) >= most_events:
            return False
    return True
