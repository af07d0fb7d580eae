"""A caller that heeds refusals: it asks again when it is told to."""

import asyncio
from dataclasses import dataclass

import aiohttp

from fuchsiacroft.utils.clock import now

MAX_TRIES = 20
DEFAULT_RETRY_S = 0.2
MAX_RETRY_S = 1.0
RETRY_STATUSES = (409, 429, 503)
STREAM_END = b"data: [DONE]\n\n"


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller got, after how many seconds and tries."""

    status: int
    body: bytes
    seconds: float
    tries: int

    @property
    def is_complete(self) -> bool:
        """Tell whether this is the whole answer and not an error."""
        return self.status == 200 and (
            not self.body.startswith(b"data:") or self.body.endswith(STREAM_END)
        )


class Caller:
    """Sends requests under one workspace key, to one entry after the other."""

    def __init__(self, session: aiohttp.ClientSession, entries: list[str]) -> None:
        self._session = session
        self._entries = entries
        self._next = 0

    async def complete(self, key: str, tier: str, tokens: int) -> Answer:
        """Stream a completion of `tokens` tokens."""
        body = {
            "model": "lens-assistant",
            "prompt": f"{tier} {self._next}: is this scratch on the front element?",
            "max_tokens": tokens,
            "stream": True,
        }
        headers = {"Fuchsiacroft-Tier": tier}
        return await self._send("/v1/completions", key, headers, {"json": body})

    async def confirm_booking(self, key: str, booking: str) -> Answer:
        """Confirm a booking; its name is the idempotency key."""
        headers = {"Idempotency-Key": booking}
        data = {"data": booking.encode()}
        path = "/services/bookings/confirmations"
        return await self._send(path, key, headers, data)

    async def _send(self, path: str, key: str, headers: dict, body: dict) -> Answer:
        headers = headers | {"Authorization": f"Bearer {key}"}
        started_at = now()
        for number in range(1, MAX_TRIES + 1):
            answer, retry_s = await self._try(path, headers, body, started_at, number)
            if answer.status not in RETRY_STATUSES:
                break
            await asyncio.sleep(retry_s)
        return answer

    async def _try(
        self, path: str, headers: dict, body: dict, started_at: float, number: int
    ) -> tuple[Answer, float]:
        entry = self._entries[self._next % len(self._entries)]
        self._next += 1
        url = f"http://{entry}{path}"
        try:
            async with self._session.post(url, headers=headers, **body) as res:
                retry_s = float(res.headers.get("Retry-After", DEFAULT_RETRY_S))
                data = await res.read()
                answer = Answer(res.status, data, now() - started_at, number)
                return answer, min(retry_s, MAX_RETRY_S)
        except aiohttp.ClientError as exc:
            broken = Answer(0, repr(exc).encode(), now() - started_at, number)
            return broken, DEFAULT_RETRY_S
