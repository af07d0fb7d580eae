"""Replays a trace open-loop: requests are sent on schedule, regardless of answers."""

import asyncio
import random
from dataclasses import dataclass

import aiohttp
import msgspec

from fuchsiacroft.entry.problems import REQUEST_ID_HEADER
from fuchsiacroft.model.trace import Arrival
from fuchsiacroft.replay.outcome import End, Outcome
from fuchsiacroft.standin.counts import TRACE_ID_HEADER
from fuchsiacroft.utils.clock import now

BYTES_PER_TOKEN = 4
BLOCK_BYTES = 1024
TIMEOUT_GRACE_S = 10.0
SSE_END = b"data: [DONE]\n\n"
SSE_FIELD = b"data:"
# Stand-in engines start the text of each token with this much of the request id.
ID_PREFIX_LENGTH = 8
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """An entry's address for callers, and its failure domain."""

    address: str
    domain: str


class Player:
    """Sends the requests of a trace through the entries and records outcomes.

    An entry that cannot be connected to is skipped, as the platform's load
    balancer does. `keys` maps a workspace to its key, `tiers` a rank to the
    tier's name.
    """

    def __init__(
        self,
        entries: list[EntryAddress],
        keys: dict[str, str],
        tiers: dict[int, str],
        seed: int,
    ) -> None:
        self._entries = entries
        self._keys = keys
        self._tiers = tiers
        self._random = random.Random(seed)
        self.outcomes: list[Outcome] = []

    async def play(self, arrivals: list[Arrival]) -> list[Outcome]:
        """Replay the whole trace and return all outcomes."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=2.0)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self._started_at = now()
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector, auto_decompress=False
        ) as self._session:
            tasks = []
            for arrival in arrivals:
                await asyncio.sleep(max(0.0, self._started_at + arrival.at_s - now()))
                tasks.append(asyncio.create_task(self._send(arrival)))
            await asyncio.gather(*tasks)
        return self.outcomes

    async def _send(self, arrival: Arrival) -> None:
        sent_at = now()
        entries = self._random.sample(self._entries, len(self._entries))
        try:
            async with asyncio.timeout(arrival.timeout_s + TIMEOUT_GRACE_S):
                for entry in entries:
                    recorder = _AnswerRecorder(
                        arrival, entry, sent_at, self._started_at
                    )
                    if await self._try(arrival, entry, recorder):
                        break
        except TimeoutError:
            recorder.end = End.LOST
        self.outcomes.append(recorder.outcome())

    async def _try(
        self, arrival: Arrival, entry: EntryAddress, recorder: "_AnswerRecorder"
    ) -> bool:
        try:
            async with self._session.request(
                "POST",
                f"http://{entry.address}{_path(arrival)}",
                headers=self._headers(arrival),
                data=_body(arrival),
            ) as res:
                await recorder.read(res)
        except aiohttp.ClientConnectorError:
            return False
        except (aiohttp.ClientError, OSError):
            recorder.end = End.INTERRUPTED if recorder.status else End.DISCONNECTED
        return True

    def _headers(self, arrival: Arrival) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {self._keys[arrival.workspace]}",
            "Fuchsiacroft-Timeout": str(arrival.timeout_s),
            "Fuchsiacroft-Tier": self._tiers[arrival.rank],
            "Content-Type": "application/json",
            TRACE_ID_HEADER: arrival.request_id,
        }
        if not arrival.idempotent:
            headers["Idempotency-Key"] = arrival.resend_of or arrival.request_id
        return headers


class _AnswerRecorder:
    """Records one answer while it is received."""

    def __init__(
        self, arrival: Arrival, entry: EntryAddress, sent_at: float, started_at: float
    ) -> None:
        self._arrival = arrival
        self._entry = entry
        self._sent_at = sent_at
        self._started_at = started_at
        self._first_chunk_at: float | None = None
        self._last_chunk_at: float | None = None
        self._body = bytearray()
        self._request_id = ""
        self._is_stored = False
        self.status = 0
        self.end = End.LOST

    async def read(self, res: aiohttp.ClientResponse) -> None:
        """Read the complete answer."""
        self.status = res.status
        self._request_id = res.headers.get(REQUEST_ID_HEADER, "")
        self._is_stored = "Fuchsiacroft-Stored" in res.headers
        async for chunk in res.content.iter_any():
            self._last_chunk_at = now()
            if self._first_chunk_at is None:
                self._first_chunk_at = self._last_chunk_at
            self._body += chunk
        self.end = self._classify()

    def outcome(self) -> Outcome:
        """Return the outcome as recorded so far."""
        arrival = self._arrival
        problem = self._problem()
        served = self.status == HTTP_OK and self._first_chunk_at is not None
        return Outcome(
            trace_id=arrival.request_id,
            service=arrival.service,
            rank=arrival.rank,
            domain=self._entry.domain,
            idempotent=arrival.idempotent,
            end=self.end,
            sent_at=self._sent_at - self._started_at,
            ended_at=now() - self._started_at,
            timeout_s=arrival.timeout_s,
            request_id=self._request_id,
            status=self.status,
            ran=str(problem.get("ran", "")),
            reason=str(problem.get("type", "")).rpartition(":")[2],
            is_mixed=self._is_mixed(),
            first_token_s=self._first_chunk_at - self._sent_at if served else None,
            token_gap_s=self._token_gap_s(),
            resend_of=arrival.resend_of,
        )

    def _classify(self) -> End:
        if self.status != HTTP_OK:
            return End.REFUSED
        if not self._arrival.is_model or self._is_stored:
            return End.COMPLETE
        if b"event: error" in self._body:
            return End.INTERRUPTED
        tokens = self._body.count(SSE_FIELD) - 1
        is_complete = (
            self._body.endswith(SSE_END) and tokens == self._arrival.output_tokens
        )
        return End.COMPLETE if is_complete else End.TRUNCATED

    def _is_mixed(self) -> bool:
        if self.status != HTTP_OK or self._is_stored or not self._body:
            return False
        own_id = self._request_id[:ID_PREFIX_LENGTH].encode()
        if not self._arrival.is_model:
            return own_id not in self._body
        texts = self._body.count(b'"text"')
        return self._body.count(b'"text":"' + own_id) != texts

    def _problem(self) -> dict:
        if self.status == HTTP_OK or not self.status:
            return {}
        try:
            return msgspec.json.decode(bytes(self._body), type=dict)
        except msgspec.MsgspecError:
            return {}

    def _token_gap_s(self) -> float | None:
        tokens = self._arrival.output_tokens
        if self.end is not End.COMPLETE or tokens < 2 or self._first_chunk_at is None:
            return None
        return (self._last_chunk_at - self._first_chunk_at) / (tokens - 1)


def _path(arrival: Arrival) -> str:
    if arrival.is_model:
        return "/v1/completions"
    name = "checks" if arrival.idempotent else "bookings"
    return f"/services/{arrival.service}/{name}"


def _body(arrival: Arrival) -> bytes:
    if not arrival.is_model:
        return msgspec.json.encode({"trace": arrival.resend_of or arrival.request_id})
    fields = {
        "model": arrival.service,
        "stream": True,
        "max_tokens": arrival.output_tokens,
        "prompt": _prompt(arrival),
    }
    return msgspec.json.encode(fields)


def _prompt(arrival: Arrival) -> str:
    """Return a prompt that starts with the blocks named in the trace."""
    blocks = "".join(
        f"{prefix:x}".ljust(BLOCK_BYTES, ".") for prefix in arrival.prefixes
    )
    unique_text = f"{arrival.resend_of or arrival.request_id} "
    length = arrival.prompt_tokens * BYTES_PER_TOKEN
    text = blocks + unique_text
    if arrival.crashes:
        text = f"crash-this-engine {text}"
    return text.ljust(length, "x")[: max(length, len(text))]
