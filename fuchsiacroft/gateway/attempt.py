"""One try to have a backend server answer a request."""

import asyncio
import enum

import aiohttp
from aiohttp import web
from expression import Result

from fuchsiacroft.entry.at_most_once import SendGuard
from fuchsiacroft.gateway.routed_request import ProtocolAdapter
from fuchsiacroft.gateway.session import Session
from fuchsiacroft.gateway.upstream import Upstream
from fuchsiacroft.placing.messages import Placed
from fuchsiacroft.placing.placer import Placer
from fuchsiacroft.routing.permits import RunOutcome, RunReport
from fuchsiacroft.utils.clock import now
from fuchsiacroft.utils.logs import event

SILENCE_TARGETS = 2.0
"""Latency targets after which a silent backend server is given up for another."""
MIN_SILENCE_S = 1.5
"""A stream's shortest silence: its prompt may wait behind others."""
LAST_TRY_SHARE = 0.5
"""Of the time left, what another backend server must have for its try."""
SERVER_ERROR = 500
MIN_EVENTS_FOR_GAP = 3


class Ending(enum.Enum):
    """How a try ended: with the answer, without a run, or in between."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"


class Attempt:
    """Sends a request to the backend server of a place.

    `answer` is what the caller gets if the ending is `ANSWERED`, or a backend
    server's own failure if it is `FAILED`.
    """

    def __init__(
        self,
        session: Session,
        placed: Placed,
        dialect: ProtocolAdapter,
        upstream: Upstream,
        placer: Placer,
    ) -> None:
        self._session = session
        self._call = session.call
        self._placed = placed
        self._dialect = dialect
        self._upstream = upstream
        self._placer = placer
        self._sending = SendGuard()
        self._began_at = now()
        self._first_at: float | None = None
        self._last_at: float | None = None
        self._longest_pause_s = 0.0
        self._events_before = session.events.count
        self.answer: web.StreamResponse | None = None

    async def run(self) -> Ending:
        """Return how the try ended; the place is given back in any case."""
        outcome = RunOutcome.CANCELLED
        try:
            ending = await self._run()
            outcome = self._outcome_of(ending)
            return ending
        finally:
            if self._sending.sent:
                self._session.sends += 1
            self._release(outcome)

    async def _run(self) -> Ending:
        session = self._session
        headers = self._dialect.backend_request_headers(
            self._call,
            self._placed.backend_server,
            max(session.left_s, 0.0),
            session.resume_after,
        )
        session.tried.append(self._placed.backend_server)
        try:
            async with asyncio.timeout(self._silence_s()):
                opened = await self._upstream.open(
                    self._placed.address,
                    self._call,
                    headers,
                    session.body,
                    self._sending,
                )
        except TimeoutError:
            if session.left_s <= 0:
                raise
            session.runs += self._sending.sent
            return Ending.SILENT if self._sending.sent else Ending.NOT_RUN
        match opened:
            case Result(tag="ok", ok=response):
                try:
                    return await self._read(response)
                finally:
                    response.close()
            case Result(error=RunOutcome.NOT_DISPATCHED):
                return Ending.NOT_RUN
        session.runs += 1
        return Ending.BROKEN

    async def _read(self, response: aiohttp.ClientResponse) -> Ending:
        if self._dialect.was_not_executed(response):
            return Ending.NOT_RUN
        self._session.runs += 1
        if not self._dialect.matches_request(self._call, response):
            return Ending.BROKEN
        try:
            if self._call.route.kind.is_stream and response.status == 200:
                return await self._relay(response)
            return await self._whole(response)
        except (aiohttp.ClientError, OSError):
            return Ending.BROKEN

    async def _whole(self, response: aiohttp.ClientResponse) -> Ending:
        """Read an answer to its end; the caller gets all of it or none."""
        try:
            async with asyncio.timeout(self._silence_s()):
                body = await response.read()
        except TimeoutError:
            if self._session.left_s <= 0:
                raise
            return Ending.SILENT
        answer = web.Response(status=response.status, body=body)
        answer.headers.popall("Content-Type", None)
        for name, value in self._dialect.caller_response_headers(response):
            answer.headers.add(name, value)
        self.answer = answer
        return Ending.FAILED if response.status >= SERVER_ERROR else Ending.ANSWERED

    async def _relay(self, response: aiohttp.ClientResponse) -> Ending:
        """Pass on whole events as they come."""
        splitter = self._session.events
        content = response.content
        while True:
            try:
                async with asyncio.timeout(self._silence_s()):
                    chunk = await content.readany()
            except TimeoutError:
                if self._session.left_s <= 0:
                    raise
                splitter.drop_rest()
                return Ending.SILENT
            except (aiohttp.ClientError, OSError):
                splitter.drop_rest()
                return Ending.BROKEN
            if not chunk and content.at_eof():
                break
            whole = splitter.feed(chunk)
            if whole:
                await self._pass_on(whole, response)
            if splitter.is_endless:
                break
        if splitter.rest:
            # An event without an end: the stream was cut, whatever its framing says.
            splitter.drop_rest()
            return Ending.BROKEN
        await self._begin(response)
        await self._session.begun.write_eof()
        self.answer = self._session.begun
        return Ending.ANSWERED

    async def _pass_on(self, whole: bytes, response: aiohttp.ClientResponse) -> None:
        at = now()
        if self._first_at is None:
            self._first_at = at
            self._placer.report_first_event(self._placed)
            if self._session.first_event_at is None:
                self._session.first_event_at = at
        if self._last_at is not None:
            self._longest_pause_s = max(self._longest_pause_s, at - self._last_at)
        self._last_at = at
        await self._begin(response)
        await self._session.begun.write(whole)

    async def _begin(self, response: aiohttp.ClientResponse) -> None:
        """Send the head of the first backend server that gave an event."""
        if self._session.begun is not None:
            return
        answer = web.StreamResponse(status=response.status)
        for name, value in self._dialect.caller_response_headers(response):
            answer.headers.add(name, value)
        answer.enable_chunked_encoding()
        self._session.begun = answer
        await answer.prepare(self._session.http)

    def _silence_s(self) -> float:
        """Return how long this backend server may be silent from now on."""
        left_s = max(self._session.left_s, 0.0)
        if not self._session.may_run_again and self._sending.sent:
            return left_s
        route = self._call.route
        if not route.kind.is_retryable or route.attempts <= self._session.runs + 1:
            return left_s
        silence_s = SILENCE_TARGETS * route.latency_target_s
        if route.kind.is_stream:
            silence_s = max(silence_s, MIN_SILENCE_S)
        return min(silence_s, left_s * (1 - LAST_TRY_SHARE))

    def _outcome_of(self, ending: Ending) -> RunOutcome:
        match ending:
            case Ending.ANSWERED:
                return RunOutcome.COMPLETED
            case Ending.FAILED:
                return RunOutcome.FAILED
            case Ending.NOT_RUN if self._sending.sent:
                return RunOutcome.REFUSED
            case Ending.NOT_RUN:
                return RunOutcome.NOT_DISPATCHED
        return RunOutcome.CONNECTION_LOST

    def _release(self, outcome: RunOutcome) -> None:
        at = now()
        first_s = None if self._first_at is None else self._first_at - self._began_at
        report = RunReport(
            outcome=outcome,
            first_token_s=first_s,
            token_gap_s=self._token_gap_s(),
            duration_s=at - self._began_at,
        )
        self._placer.release(self._placed, report)
        event(
            "info",
            "run_ended",
            request_id=self._session.request_id,
            backend_server=self._placed.backend_server,
            keeper=self._placed.keeper,
            outcome=outcome.value,
            seconds=round(at - self._began_at, 4),
            events=self._events,
            longest_pause_s=round(self._longest_pause_s, 3),
        )

    @property
    def _events(self) -> int:
        return self._session.events.count - self._events_before

    def _token_gap_s(self) -> float | None:
        """Return the mean seconds between tokens, if enough events came."""
        if self._events < MIN_EVENTS_FOR_GAP or self._first_at == self._last_at:
            return None
        tokens = (self._events - 1) * self._call.event_tokens
        return (self._last_at - self._first_at) / tokens
